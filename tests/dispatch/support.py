"""Builders of test objects, and replay of a load in simulated time."""

from dataclasses import dataclass, field

from carobspring.adapters.clock import SystemRandom
from carobspring.dispatch import AttemptOutcome, Dispatcher, DispatchQuery, Placement
from carobspring.domain import BackendServer, ServiceKind

#: Prompt tokens that a simulated engine reads in a second.
READ_TOKENS_PER_S = 60_000.0


def build_server(name, *, zone="a", kind=ServiceKind.MODEL, boot=1, slots=64):
    return BackendServer(
        server_id=name,
        boot=boot,
        service="svc",
        kind=kind,
        zone=zone,
        host="127.0.0.1",
        port=1000 + sum(name.encode()) % 60_000,
        slots=slots,
    )


def build_dispatcher(*servers, zone="a", seed=1):
    dispatcher = Dispatcher(zone=zone, random=SystemRandom(seed=seed))
    for server in servers:
        dispatcher.add_server(server, draining=False)
    return dispatcher


def build_query(request_id="q", *, parts=(), priority=0, now=0.0, **values):
    prompt = sum(tokens for _, tokens in parts)
    return DispatchQuery(
        request_id=request_id,
        service="svc",
        priority=priority,
        deadline=now + values.pop("deadline_s", 4.0),
        prompt_tokens=values.pop("prompt_tokens", prompt),
        parts=parts,
        is_stream=True,
        **values,
    )


@dataclass
class Engine:
    """Reads prompts one after the other and caches their parts."""

    free_at: float = 0.0
    read_tokens: int = 0
    cached_parts: set = field(default_factory=set)

    def submit(self, query, now, copied_parts=frozenset()):
        """Return the time of a request's first event.

        Parts that another engine has cached are copied at no cost.
        """
        unread = 0
        self.cached_parts |= copied_parts & {part for part, _ in query.parts}
        for part, tokens in query.parts:
            if part not in self.cached_parts:
                unread += tokens
                self.cached_parts.add(part)
        self.read_tokens += unread
        self.free_at = max(self.free_at, now) + unread / READ_TOKENS_PER_S
        return self.free_at + 0.07


class Replay:
    """Replays arrivals through the dispatchers of several entries."""

    def __init__(self, servers, *, entries=("a", "b", "c")):
        self.engines = {server.server_id: Engine() for server in servers}
        self.dispatchers = [
            build_dispatcher(*servers, zone=zone, seed=index)
            for index, zone in enumerate(entries)
        ]
        self.first_s = []
        self._due = []

    def run(self, arrivals):
        """Replay (time, entry, query); return the times to first events."""
        for now, entry, query in arrivals:
            self._finish_until(now)
            dispatcher = self.dispatchers[entry]
            placement = dispatcher.place(query, frozenset(), now)
            assert isinstance(placement, Placement), placement
            dispatcher.record_sent(placement, query, now)
            server_id = placement.server.server_id
            source = placement.prompt_source
            copied_parts = (
                self.engines[source.server_id].cached_parts if source else frozenset()
            )
            at = self.engines[server_id].submit(query, now, copied_parts)
            self.first_s.append(at - now)
            self._due.append((at, dispatcher, server_id, query.request_id))
        return self.first_s

    def _finish_until(self, now):
        for at, dispatcher, server_id, request_id in sorted(
            (due for due in self._due if due[0] <= now), key=lambda due: due[0]
        ):
            dispatcher.record_first_event(server_id, request_id, at)
            dispatcher.record_end(server_id, request_id, AttemptOutcome.ANSWERED, at)
        self._due = [due for due in self._due if due[0] > now]
