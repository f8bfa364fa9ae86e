"""Model of plain servers, one of which is slow for a while.

    .venv/bin/python bench/plain_speed_bench.py

Nodes choose servers with the placer of the relay; times are virtual.
"""

import heapq
import itertools
import random
import statistics
import typing

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import plain_placer

_SLOTS = 4
_WORK_S = 0.02
_WORK_SIGMA = 0.5
_SLOW_FACTOR = 8.0
_TARGETS_S = (0.1, 0.2, 1.0)
_DEADLINE_S = 2.0
_GOSSIP_INTERVAL_S = 1.0
_GOSSIP_DELAY_S = 0.2


class Load(typing.NamedTuple):
    """Requests of some nodes for some servers."""

    nodes: int
    servers: int
    per_s: float
    seconds: float


class Answer(typing.NamedTuple):
    """An answered request."""

    sent_at_s: float
    duration_s: float
    is_late: bool
    is_first_server: bool


class _Sent(typing.NamedTuple):
    loads: load_tracker.LoadTracker
    placed: placement_result.Placed
    at_s: float
    target_s: float


class _Clock(clocks.Clock):
    def __init__(self) -> None:
        self.now_s = 0.0

    def boot_s(self) -> float:
        return self.now_s

    def wall_s(self) -> float:
        return self.now_s


class PlainFleet:
    """Nodes before plain servers; the first server is slow for a while."""

    def __init__(self, load: Load, seed: int, slow_until_s: float) -> None:
        self.answers: list[Answer] = []
        self._load = load
        self._slow_until_s = slow_until_s
        self._rng = random.Random(seed)
        self._clock = _Clock()
        self._placer = plain_placer.PlainPlacer()
        self._loads = [
            load_tracker.LoadTracker(self._clock) for _ in range(load.nodes)
        ]
        self._servers = [
            backend_server.BackendServer(
                f's{n}', 'p', '10.0.0.1', 80, 'a', _SLOTS, False, False, 1
            )
            for n in range(load.servers)
        ]
        self._running_by_server = dict.fromkeys(self._servers, 0)
        self._queue_by_server = {s: [] for s in self._servers}
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, typing.Callable]] = []

    def run(self) -> list[Answer]:
        """Return all answers."""
        self._at(0.0, self._send)
        self._at(_GOSSIP_INTERVAL_S, self._exchange_loads)
        while self._events[0][0] < self._load.seconds:
            self._clock.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.answers

    def _at(self, delay_s: float, action: typing.Callable) -> None:
        at_s = self._clock.now_s + delay_s
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _send(self) -> None:
        self._at(self._rng.expovariate(self._load.per_s), self._send)
        loads = self._rng.choice(self._loads)
        target_s = self._rng.choice(_TARGETS_S)
        demand = demands.Demand(
            f'r{next(self._numbers)}',
            0,
            0,
            '',
            0,
            target_s,
            _DEADLINE_S,
            5,
            'a',
        )
        placed = self._placer.place(
            demand, [loads.view(s) for s in self._servers]
        )
        if isinstance(placed, placement_result.NotPlaced):
            return
        server = placed.view.server
        loads.record_sent(server, (), 0)
        sent = _Sent(loads, placed, self._clock.now_s, target_s)
        if self._running_by_server[server] < _SLOTS:
            self._begin(sent)
        else:
            self._queue_by_server[server].append(sent)

    def _begin(self, sent: _Sent) -> None:
        server = sent.placed.view.server
        self._running_by_server[server] += 1
        work_s = _WORK_S * self._rng.lognormvariate(0.0, _WORK_SIGMA)
        is_slow = self._clock.now_s < self._slow_until_s
        if server is self._servers[0] and is_slow:
            work_s *= _SLOW_FACTOR
        self._at(work_s, lambda: self._end(sent))

    def _end(self, sent: _Sent) -> None:
        server = sent.placed.view.server
        duration_s = self._clock.now_s - sent.at_s
        sent.loads.record_end(server)
        sent.loads.record_speed(
            server,
            sent.placed.expected_s / duration_s,
            sent.placed.view.speed_age,
        )
        self.answers.append(
            Answer(
                sent.at_s,
                duration_s,
                duration_s > sent.target_s,
                server is self._servers[0],
            )
        )
        self._running_by_server[server] -= 1
        if self._queue_by_server[server]:
            self._begin(self._queue_by_server[server].pop(0))

    def _exchange_loads(self) -> None:
        """Tell all nodes the sum of all loads, their own included."""
        self._at(_GOSSIP_INTERVAL_S, self._exchange_loads)
        running_by_server = dict.fromkeys((s.id for s in self._servers), 0)
        for loads in self._loads:
            for load in loads.build_loads():
                running_by_server[load.server] += load.running
        total = [
            messages.ServerLoad(server_id, running, 0)
            for server_id, running in running_by_server.items()
        ]
        for loads in self._loads:
            loads.record_peer_loads('all', total, _GOSSIP_DELAY_S)


def _describe(answers: list[Answer]) -> str:
    durations_ms = sorted(1000 * a.duration_s for a in answers)
    late = statistics.fmean(a.is_late for a in answers)
    share = statistics.fmean(a.is_first_server for a in answers)
    return (
        f'mean {statistics.fmean(durations_ms):5.1f} ms, '
        f'p99 {durations_ms[len(answers) * 99 // 100]:6.1f} ms, '
        f'late {late:.4f}, share {share:.3f}'
    )


def main() -> None:
    """Print what callers get while the server is slow, and later."""
    for load in (
        Load(3, 3, 40.0, 120.0),
        Load(9, 4, 10.0, 240.0),
        Load(9, 4, 300.0, 40.0),
        Load(9, 4, 420.0, 40.0),
        Load(350, 4, 70.0, 240.0),
    ):
        middle_s = load.seconds / 2
        answers = [
            answer
            for seed in range(3)
            for answer in PlainFleet(load, seed, middle_s).run()
        ]
        print(load)
        print('  slow ', _describe([a for a in answers if a[0] < middle_s]))
        print('  later', _describe([a for a in answers if a[0] >= middle_s]))


if __name__ == '__main__':
    main()
