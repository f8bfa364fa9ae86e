"""Model engines under a load, placed on by nodes with stale views."""

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay import caller_request
from foxtailrelay_node.internal.relay.catalogue import service as services
from foxtailrelay_node.internal.relay.dispatch import dispatcher
from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import model_placer
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import placer as placers

from common import fake_clocks

# The engines of the users' data sheet: a step of a batch, its growth with
# each running request, prompt tokens read in a millisecond and in a step.
_STEP_S = 0.00388
_STEP_GROWTH_S = 0.0000276
_PREFILL_TOKENS_PER_S = 66_200.0
_CHUNK_TOKENS = 2048
_TOKENS_PER_EVENT = 8
_QUEUE = 25
_MAX_EVENT_GAP_S = 0.5
_MEMORY_TOKENS = 428_000
# How often nodes tell each other their loads, how long that takes at most,
# and how long a message between two nodes takes, in seconds.
_REPORT_S = 1.0
_TRAVEL_S = 1.0
_MESSAGE_S = 0.003


class RequestKind(typing.NamedTuple):
    """A kind of request and how often it is asked for."""

    name: str
    requests_per_s: float
    shared_tokens: int
    own_tokens: int
    events: int
    target_s: float
    deadline_s: float
    urgency: int
    prefix_count: int


@dataclasses.dataclass
class SimulatedRequest:
    """A request and what its caller got."""

    kind: RequestKind
    prefix: int
    arrival_s: float
    own_tokens: int
    events_left: int = 0
    prompt_tokens_left: int = 0
    generated_tokens: int = 0
    last_event_s: float | None = None
    first_event_latency_s: float | None = None
    max_event_gap_s: float = 0.0
    is_refused: bool = False
    record_first_event: typing.Callable[[], None] = lambda: None
    record_end: typing.Callable[[], None] = lambda: None

    @property
    def is_on_time(self) -> bool:
        """Whether the caller got all of it as soon as aimed for."""
        return (
            self.first_event_latency_s is not None
            and self.events_left == 0
            and self.first_event_latency_s <= self.kind.target_s
            and self.max_event_gap_s <= _MAX_EVENT_GAP_S
        )


class SimulatedEngine:
    """Reads prompts in turn, a chunk a step, while all others write on."""

    def __init__(self, name: str, speed: float, slots: int) -> None:
        self.server = backend_server.BackendServer(
            name, 'm', '10.0.0.1', 80, 'a', slots, False, True, 0
        )
        self.speed = speed
        self.prefilling: collections.deque[SimulatedRequest] = (
            collections.deque()
        )
        self.decoding: list[SimulatedRequest] = []
        self.waiting: collections.deque[SimulatedRequest] = collections.deque()
        self.cached_prefixes: set[tuple[str, int]] = set()

    def submit(self, asked: SimulatedRequest) -> bool:
        """Take a request in; False if the queue is full."""
        if len(self.waiting) >= _QUEUE:
            return False
        self.waiting.append(asked)
        self._admit()
        return True

    def _admit(self) -> None:
        slots = self.server.slots
        while (
            self.waiting and len(self.prefilling) + len(self.decoding) < slots
        ):
            asked = self.waiting.popleft()
            kind = asked.kind
            asked.prompt_tokens_left = asked.own_tokens
            if (kind.name, asked.prefix) not in self.cached_prefixes:
                asked.prompt_tokens_left += kind.shared_tokens
            asked.events_left = kind.events
            self.prefilling.append(asked)

    @property
    def is_busy(self) -> bool:
        """Whether there is a step to make."""
        return bool(self.prefilling or self.decoding)

    def step_duration_s(self) -> float:
        """Return how long the next step takes."""
        left = _CHUNK_TOKENS
        for asked in self.prefilling:
            left -= min(left, asked.prompt_tokens_left)
        read = _CHUNK_TOKENS - left
        step_s = _STEP_S + _STEP_GROWTH_S * len(self.decoding)
        return (step_s + read / _PREFILL_TOKENS_PER_S) / self.speed

    def finish_step(self, now_s: float) -> None:
        """Finish a step at ``now_s``."""
        left = _CHUNK_TOKENS
        for asked in list(self.decoding):
            asked.generated_tokens += 1
            if asked.generated_tokens % _TOKENS_PER_EVENT:
                continue
            if asked.last_event_s is None:
                asked.first_event_latency_s = now_s - asked.arrival_s
                asked.record_first_event()
            else:
                pause_s = now_s - asked.last_event_s
                asked.max_event_gap_s = max(asked.max_event_gap_s, pause_s)
            asked.last_event_s = now_s
            asked.events_left -= 1
            if not asked.events_left:
                self.decoding.remove(asked)
                asked.record_end()
        while self.prefilling and left:
            asked = self.prefilling[0]
            read = min(left, asked.prompt_tokens_left)
            asked.prompt_tokens_left -= read
            left -= read
            if not asked.prompt_tokens_left:
                self.prefilling.popleft()
                self.cached_prefixes.add((asked.kind.name, asked.prefix))
                self.decoding.append(asked)
        self._admit()


class _Servers:
    """The part of the list of servers that a dispatcher uses."""

    def __init__(self, engines: list[SimulatedEngine]) -> None:
        self._servers = [engine.server for engine in engines]

    def usable(self, service: str) -> list[backend_server.BackendServer]:
        return self._servers


class _Table(typing.NamedTuple):
    service_by_name: dict[str, services.Service]


class _State(typing.NamedTuple):
    table: _Table


class EngineFleet:
    """Nodes that place requests on engines.

    Parameters
    ----------
    node_count : int
        How many nodes.
    engines : list of Engine
        Engines.
    dispatches : bool
        Whether one node places for all; otherwise each places by itself
        and tells the others once a second.
    clump : int
        Largest number of requests that come at the same moment.
    lone_placer : Placer, optional
        How nodes that place by themselves choose.
    """

    def __init__(
        self,
        node_count: int,
        engines: list[SimulatedEngine],
        has_dispatcher: bool,
        max_burst: int = 3,
        seed: int = 1,
        local_placer: placers.Placer | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.clock = fake_clocks.ManualClock()
        self.load_trackers = [
            load_tracker.LoadTracker(self.clock) for _ in range(node_count)
        ]
        self.engines = {engine.server.id: engine for engine in engines}
        self.requests: list[SimulatedRequest] = []
        self._placer = local_placer or model_placer.ModelPlacer()
        self._dispatcher = None
        if has_dispatcher:
            slots = engines[0].server.slots
            profile = services.ModelProfile(slots, _MEMORY_TOKENS)
            service = services.Service('m', profile, None)
            self._dispatcher = dispatcher.Dispatcher(
                _Servers(engines), _State(_Table({'m': service})), self.clock
            )
        self._max_burst = max_burst
        self._number = itertools.count()
        self._events: list[tuple[float, int, typing.Callable]] = []

    def run(
        self, kinds: list[RequestKind], seconds: float
    ) -> list[SimulatedRequest]:
        """Ask for ``seconds``, and finish what is under way."""
        start_s = self.clock.now_s
        for kind in kinds:
            self._at(start_s, lambda k=kind: self._ask(k, start_s + seconds))
        for node in range(len(self.load_trackers)):
            self._at(
                start_s + self.random.uniform(0, _REPORT_S),
                lambda n=node: self._report(n, start_s + seconds),
            )
        while self._events:
            self.clock.now_s, _, act = heapq.heappop(self._events)
            act()
        return self.requests

    def _at(self, at_s: float, act: typing.Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._number), act))

    def _ask(self, kind: RequestKind, until_s: float) -> None:
        now_s = self.clock.now_s
        if now_s >= until_s:
            return
        count = self.random.randint(1, self._max_burst)
        for _ in range(count):
            asked = SimulatedRequest(
                kind,
                int(kind.prefix_count * self.random.random() ** 1.5),
                now_s,
                self.random.randint(1, 2 * kind.own_tokens),
            )
            self.requests.append(asked)
            self._send(asked)
        mean_s = (1 + self._max_burst) / 2 / kind.requests_per_s
        pause_s = self.random.expovariate(1 / mean_s)
        self._at(now_s + pause_s, lambda: self._ask(kind, until_s))

    def _send(self, asked: SimulatedRequest) -> None:
        kind = asked.kind
        parts = (
            caller_request.PromptPart(
                f'{kind.name}-{asked.prefix}', kind.shared_tokens
            ),
            caller_request.PromptPart(
                f'own-{next(self._number)}', asked.own_tokens
            ),
        )
        if self._dispatcher is not None:
            self._send_by_dispatcher(asked, parts)
        else:
            self._send_alone(asked, parts)

    def _send_by_dispatcher(self, asked: SimulatedRequest, parts) -> None:
        kind = asked.kind
        booking = next(self._number)
        answer = self._dispatcher.handle_call(
            messages.PlaceCall(
                f'r{booking}',
                'm',
                tuple(part.id for part in parts),
                tuple(part.tokens for part in parts),
                sum(part.tokens for part in parts),
                kind.events * _TOKENS_PER_EVENT,
                round(kind.target_s * 1000),
                round(kind.deadline_s * 1000),
                kind.urgency,
                'a',
                False,
                (),
                booking,
            )
        )
        if not answer.server:
            asked.is_refused = True
            return
        sent_at_s = self.clock.now_s

        def note(event: messages.PlaceEvent) -> None:
            first_us = int((self.clock.now_s - sent_at_s) * 1e6)
            told = messages.PlaceNote(booking, event, first_us)
            self._at(
                self.clock.now_s + _MESSAGE_S,
                lambda: self._dispatcher.handle_note(told),
            )

        asked.record_first_event = lambda: note(messages.PlaceEvent.BEGUN)
        asked.record_end = lambda: note(messages.PlaceEvent.DONE)
        if not self._give(asked, self.engines[answer.server]):
            note(messages.PlaceEvent.FAILED)

    def _send_alone(self, asked: SimulatedRequest, parts) -> None:
        kind = asked.kind
        book = self.load_trackers[
            self.random.randrange(len(self.load_trackers))
        ]
        demand = demands.Demand(
            f'r{next(self._number)}',
            sum(part.tokens for part in parts),
            kind.events * _TOKENS_PER_EVENT,
            parts[0].id,
            kind.shared_tokens,
            kind.target_s,
            kind.deadline_s,
            kind.urgency,
            'a',
        )
        views = [
            book.view(engine.server, parts, _MEMORY_TOKENS)
            for engine in self.engines.values()
        ]
        placed = self._placer.place(demand, views)
        if isinstance(placed, placement_result.NotPlaced):
            asked.is_refused = True
            return
        server = placed.view.server
        sent_at_s = self.clock.now_s

        def begun() -> None:
            book.record_first_event(server, placed.uncached_tokens)
            taken_s = max(0.002, self.clock.now_s - sent_at_s)
            book.record_speed(server, placed.expected_s / taken_s)

        asked.record_first_event = begun
        asked.record_end = lambda: book.record_end(server)
        if self._give(asked, self.engines[server.id]):
            book.record_sent(server, parts, placed.uncached_tokens)

    def _give(self, asked: SimulatedRequest, engine: SimulatedEngine) -> bool:
        """Hand a request to an engine; False if its queue is full."""
        was_busy = engine.is_busy
        if not engine.submit(asked):
            asked.is_refused = True
            return False
        if not was_busy:
            at_s = self.clock.now_s + engine.step_duration_s()
            self._at(at_s, lambda: self._step(engine))
        return True

    def _step(self, engine: SimulatedEngine) -> None:
        engine.finish_step(self.clock.now_s)
        if engine.is_busy:
            at_s = self.clock.now_s + engine.step_duration_s()
            self._at(at_s, lambda: self._step(engine))

    def _report(self, node: int, until_s: float) -> None:
        now_s = self.clock.now_s
        if now_s >= until_s:
            return
        loads = self.load_trackers[node].build_loads()
        for other, book in enumerate(self.load_trackers):
            if other != node:
                delay_s = self.random.uniform(0, _TRAVEL_S)
                self._at(
                    now_s + delay_s,
                    lambda b=book, d=delay_s: b.record_peer_loads(
                        str(node), loads, d
                    ),
                )
        self._at(now_s + _REPORT_S, lambda: self._report(node, until_s))


def share_on_time(
    asked: typing.Iterable[SimulatedRequest], name: str = ''
) -> float:
    """Return the share of requests of a kind that were in time."""
    chosen = [a for a in asked if not name or a.kind.name == name]
    return sum(a.is_on_time for a in chosen) / len(chosen)
