"""Model of engines that crash on some prompts, behind nodes that gossip."""

import heapq
import itertools
import random
import typing

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.backends import crash_quarantine

from common import fake_clocks

SERVICE = 'm'
_FIRST_EVENT_S = 0.1
_CRASH_S = 0.07
_PLAIN_ANSWER_S = 0.03
_SUSPECT_S = 1.0
_GOSSIP_INTERVAL_S = 0.5


class Sent(typing.NamedTuple):
    """A request that a node sent to an engine or refused for its prompt."""

    at_s: float
    node: int
    is_crashing: bool
    was_refused: bool
    has_engines: bool


class _Running(typing.NamedTuple):
    node: int
    part_ids: tuple[str, ...]
    sent_at_s: float


class CrashFleet:
    """Nodes without a dispatcher, which see only their own requests.

    Parameters
    ----------
    seed : int
        Draws arrivals, parts, nodes and engines.
    nodes, engines : int
        Numbers of nodes and of engines.
    boot_s : float
        Time from the end of an engine to the start of its replacement.

    Attributes
    ----------
    requests : list of Sent
        All requests in order.
    crashes_at_s : list of float
        Ends of engines that a crashing part caused.
    """

    def __init__(self, seed, nodes=7, engines=12, boot_s=4.0):
        self.rng = random.Random(seed)
        self.clock = fake_clocks.ManualClock()
        self.quarantines = [self._start_node(nodes) for _ in range(nodes)]
        self._started_at_s = [self.clock.now_s] * nodes
        self.requests: list[Sent] = []
        self.crashes_at_s: list[float] = []
        self.deaf_nodes: set[int] = set()
        self._running_by_engine = {f'e{n}': {} for n in range(engines)}
        self._boot_s = boot_s
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, typing.Callable]] = []

    def at(self, delay_s, action):
        """Run an action later."""
        at_s = self.clock.now_s + delay_s
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def run(self, seconds):
        """Run for some seconds."""
        end_s = self.clock.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.now_s = at_s
            action()
        self.clock.now_s = end_s

    def start_gossip(self):
        """Exchange reports between all nodes, from now on."""
        for node in range(len(self.quarantines)):
            self.at(
                self.rng.uniform(0, _GOSSIP_INTERVAL_S), self._gossip(node)
            )

    def start_sound(self, per_s, first_parts=8, users=124):
        """Send sound requests from now on."""

        def send():
            parts = (
                f'a{self.rng.randrange(first_parts)}',
                f'u{self.rng.randrange(users)}',
            )
            self._send(parts, False, retries=1)
            self.at(self.rng.expovariate(per_s), send)

        send()

    def start_crashing(
        self, part_id, per_s, clump=1, users=124, first_parts=8
    ):
        """Send requests with a part that crashes engines, from now on."""

        def send():
            for _ in range(clump):
                parts = [f'a{self.rng.randrange(first_parts)}', part_id]
                if self.rng.random() < 0.5:
                    parts.insert(1, f'u{self.rng.randrange(users)}')
                self._send(tuple(parts), True, retries=1)
            self.at(self.rng.expovariate(per_s / clump), send)

        send()

    def start_requests(self, ids, per_s, clump=1, is_crashing=False):
        """Send whole requests, each with one fingerprint, from now on."""

        def send():
            for _ in range(clump):
                suspect_ids = (self.rng.choice(ids),)
                self._send(suspect_ids, is_crashing, 1, _PLAIN_ANSWER_S)
            self.at(self.rng.expovariate(per_s / clump), send)

        send()

    def end_engine(self, engine, is_counted=False):
        """End an engine; it is replaced later."""
        running = self._running_by_engine.pop(engine, None)
        if running is None:
            return
        if is_counted:
            self.crashes_at_s.append(self.clock.now_s)
        key = (engine, 1)
        for request in running.values():
            first_s = request.sent_at_s + _FIRST_EVENT_S
            quarantine = self.quarantines[request.node]
            if self.clock.now_s - first_s < _SUSPECT_S:
                quarantine.record_crash(
                    SERVICE, key, request.part_ids, request.sent_at_s
                )
            else:
                quarantine.record_answer(
                    SERVICE, request.part_ids, first_s + _SUSPECT_S
                )
        new = f'e{next(self._numbers)}'
        self.at(
            self._boot_s, lambda: self._running_by_engine.update({new: {}})
        )

    def engines(self):
        """Return the names of the running engines."""
        return sorted(self._running_by_engine)

    def restart_node(self, node):
        """Let a node lose what it knows."""
        self.quarantines[node] = self._start_node(len(self.quarantines))
        self._started_at_s[node] = self.clock.now_s
        for quarantine in self.quarantines:
            quarantine.observed_since_s = min(self._started_at_s)

    def crashing_after(self, at_s):
        """Return the crashing requests sent to engines after a time."""
        return [
            sent
            for sent in self.requests
            if sent.is_crashing
            and sent.has_engines
            and not sent.was_refused
            and sent.at_s > at_s
        ]

    def sound_refused_share(self):
        """Return the share of the sound requests that were refused."""
        sound = [sent for sent in self.requests if not sent.is_crashing]
        return sum(sent.was_refused for sent in sound) / len(sound)

    def _start_node(self, node_count):
        quarantine = crash_quarantine.CrashQuarantine(
            self.clock, random.Random(self.rng.random())
        )
        quarantine.set_node_count(node_count)
        quarantine.observed_since_s = self.clock.now_s
        return quarantine

    def _send(self, part_ids, is_crashing, retries, answer_s=None):
        node = self.rng.randrange(len(self.quarantines))
        quarantine = self.quarantines[node].find(SERVICE, part_ids)
        was_refused = quarantine is not None
        has_engines = bool(self._running_by_engine)
        self.requests.append(
            Sent(self.clock.now_s, node, is_crashing, was_refused, has_engines)
        )
        if was_refused or not has_engines:
            return
        engine = self.rng.choice(self.engines())
        number = next(self._numbers)
        running = self._running_by_engine[engine]
        running[number] = _Running(node, part_ids, self.clock.now_s)

        def end():
            if engine not in self._running_by_engine:
                if retries:
                    self._send(part_ids, is_crashing, retries - 1, answer_s)
            elif is_crashing:
                self.end_engine(engine, is_counted=True)
                self.at(0.05, end)
            else:
                del running[number]
                self.quarantines[node].record_answer(SERVICE, part_ids)

        duration_s = _CRASH_S
        if not is_crashing and answer_s is not None:
            duration_s = self.rng.expovariate(1 / answer_s)
        elif not is_crashing:
            duration_s = _FIRST_EVENT_S + self.rng.expovariate(1 / 1.5)
        self.at(duration_s, end)

    def _gossip(self, node):
        def exchange():
            if node not in self.deaf_nodes:
                report = self._report(node)
                for peer, quarantine in enumerate(self.quarantines):
                    if peer != node and peer not in self.deaf_nodes:
                        quarantine.merge_peer_report(
                            report, self.clock.now_s, f'n{node}'
                        )
            self.at(_GOSSIP_INTERVAL_S, exchange)

        return exchange

    def _report(self, node):
        quarantine = self.quarantines[node]
        report = messages.NodeReport(
            'a', 'h', 1, False, (), (), (), (),
            crashes=quarantine.build_crashes(),
            quarantined_suspects=quarantine.build_quarantined(),
            answered_suspects=quarantine.build_answered(),
        )  # fmt: skip
        return messages.decode_report(messages.encode_report(report))
