"""Messages between an entry and the agent that runs a call."""

from dataclasses import dataclass

from carobspring.domain import CallHeaders, LoadReport, RunStatus


@dataclass(frozen=True, kw_only=True)
class RunCall:
    """Asks an agent to run one call; the reply is a stream of CallEvent.

    ``call_id`` is unique to this attempt. ``claim`` is the number of the
    committed claim of a unique call, or zero for a repeatable call. A unique
    call runs only if ``boot`` is the agent's current boot number.
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
    #: True when the call may run only while no other call is running.
    alone: bool = False
    #: Revision of the settings that the entry applied to this call.
    revision: int = 0
    #: Milliseconds since the entry received the call.
    age_ms: int = 0
    #: True when another server may run the call if this run is lost.
    repeatable: bool = True


@dataclass(frozen=True, kw_only=True)
class ResumeCall:
    """Asks for a call's events from a byte offset of its response body."""

    call_id: str
    offset: int
    #: Boot number that the call was sent to; zero when it is not known.
    boot: int = 0


@dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status and headers of the backend server's response."""

    status: int
    headers: CallHeaders = ()


@dataclass(frozen=True, kw_only=True)
class CallEnd:
    """The last event of a call.

    With ``RunStatus.RAN`` the response is complete. With ``NOT_RUN`` the agent
    has fenced the call identifier and refuses late duplicates of it.
    ``UNKNOWN`` means that the backend server failed before its response was
    complete.
    """

    run_status: RunStatus
    #: Stable code of the cause, such as "queue_full"; empty for success.
    reason: str = ""
    #: Suggested delay before a retry, in milliseconds; zero for none.
    retry_after_ms: int = 0


@dataclass(frozen=True, kw_only=True)
class CallEvent:
    """Part of a call's output: at most one of head, data and end is set.

    An event with none of them is a heartbeat: the call is queued or running
    and the connection works. ``offset`` is the number of body bytes before
    ``data``.
    """

    head: ResponseHead | None = None
    data: bytes = b""
    end: CallEnd | None = None
    offset: int = 0
    load: LoadReport | None = None
    #: Highest revision of the settings that the agent knows of.
    revision: int = 0
    #: Call that the event belongs to; agents of older versions leave it empty.
    call_id: str = ""


@dataclass(frozen=True, kw_only=True)
class CancelCall:
    """Asks an agent to cancel a call."""

    call_id: str
    #: True to cancel the call only while it is queued, so that the entry can
    #: send it to another server.
    only_waiting: bool = False


@dataclass(frozen=True, kw_only=True)
class CancelReply:
    """States whether the agent knew the call and cancelled it."""

    cancelled: bool


@dataclass(frozen=True, kw_only=True)
class FenceClaim:
    """Asks for the state of a claim, and fences it if it has not started."""

    claim: int
    boot: int


@dataclass(frozen=True, kw_only=True)
class FenceReply:
    """State of a claim at an agent.

    ``NOT_RUN`` means that the claim is now fenced and never runs at this
    agent. ``RAN`` and ``UNKNOWN`` come with ``call_id`` when ResumeCall can
    return the call's events. If the requested boot number is not the current
    one, the status is ``UNKNOWN`` without a call identifier.
    """

    run_status: RunStatus
    call_id: str = ""
