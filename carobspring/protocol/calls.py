"""Messages between an entry and the agent that runs a call."""

from dataclasses import dataclass

from carobspring.domain import CallHeaders, LoadReport, RunStatus


@dataclass(frozen=True, kw_only=True)
class RunCall:
    """Asks an agent to run one call; answered by a stream of CallEvent.

    ``call_id`` is unique to this attempt. ``claim`` is the number of the
    committed claim of a unique call, zero for a call that may be repeated; a
    unique call runs only under the agent's boot number ``boot``.
    """

    call_id: str
    boot: int
    workspace: str
    service_class: str
    method: str
    path: str
    headers: CallHeaders = ()
    body: bytes = b""
    stream: bool = False
    claim: int = 0
    #: Digest of the request, by which crashes are counted.
    request_hash: str = ""
    #: True when the call may run only while no other one is running.
    alone: bool = False
    #: Revision of the settings that the entry decided by.
    revision: int = 0
    #: Milliseconds since the entry received the call.
    age_ms: int = 0
    #: True when the call may be started again elsewhere if this run is lost.
    repeatable: bool = True


@dataclass(frozen=True, kw_only=True)
class ResumeCall:
    """Asks for the events of a call from a byte offset of its answer."""

    call_id: str
    offset: int
    #: Boot number that the call was sent under; zero when not known.
    boot: int = 0


@dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status and headers of the backend server's answer."""

    status: int
    headers: CallHeaders = ()


@dataclass(frozen=True, kw_only=True)
class CallEnd:
    """The last event of a call.

    With ``RunStatus.RAN`` the answer is whole. With ``NOT_RUN`` the agent has
    fenced the call identifier and refuses late copies of it. ``UNKNOWN`` means
    that the backend server failed before its answer was whole.
    """

    run_status: RunStatus
    #: A stable word for the cause, such as "queue_full"; empty for success.
    reason: str = ""
    #: When it is worth asking again, in milliseconds; zero for no advice.
    retry_after_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class CallEvent:
    """One step of a call: at most one of head, data and end is set.

    An event with none of them is a heartbeat: the call is queued or running
    and the connection is alive. ``offset`` is the count of body bytes before
    ``data``.
    """

    head: ResponseHead | None = None
    data: bytes = b""
    end: CallEnd | None = None
    offset: int = 0
    load: LoadReport | None = None
    #: Highest revision of the settings that the agent has seen.
    revision: int = 0
    #: The call that the event belongs to; empty from an older agent.
    call_id: str = ""


@dataclass(frozen=True, kw_only=True)
class CancelCall:
    """Tells an agent that nobody waits for a call any more."""

    call_id: str
    #: True to end the call only if it still waits, to send it elsewhere.
    only_waiting: bool = False


@dataclass(frozen=True, kw_only=True)
class CancelReply:
    """Says whether the agent knew the call and cancelled it."""

    cancelled: bool


@dataclass(frozen=True, kw_only=True)
class FenceClaim:
    """Asks what became of a claim, and bars it if it has not started."""

    claim: int
    boot: int


@dataclass(frozen=True, kw_only=True)
class FenceReply:
    """What an agent knows of a claim.

    ``NOT_RUN`` means that the claim is barred now and never runs here.
    ``RAN`` and ``UNKNOWN`` come with ``call_id`` when its events can be had by
    ResumeCall. A boot number that is not the present one gives ``UNKNOWN``
    without a call identifier.
    """

    run_status: RunStatus
    call_id: str = ""
