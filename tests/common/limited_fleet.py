"""Model of nodes without a dispatcher that share a limited server."""

import heapq
import itertools
import math
import random

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import server_limits
from foxtailrelay_node.internal.relay.dispatch import limit_allowances
from foxtailrelay_node.internal.relay.policy import limit_share

from common import fake_clocks

_ANSWER_S = 0.05
_TOLD_S = 0.5
WINDOW_S = 4.0


class LimitedFleet:
    """Nodes that send to one server as often as they may.

    Parameters
    ----------
    seed : int
        Draws arrivals.
    node_count : int
        Number of nodes.
    gossip_s : float
        Age at which a report reaches the other nodes.

    Attributes
    ----------
    named_per_s : float
        The limit that the server names; infinite for none.
    live : set of int
        Nodes that run and hear of each other.
    deaf : set of int
        Running nodes that receive no reports.
    withheld_s : list of float
        Times of the requests that a node kept away from the server.
    """

    def __init__(self, seed, node_count, gossip_s):
        self.named_per_s = math.inf
        self.live = set(range(node_count))
        self.deaf = set()
        self.clock = fake_clocks.ManualClock()
        self.arrivals = []
        self.withheld_s = []
        self._rng = random.Random(seed)
        self._gossip_s = gossip_s
        self._numbers = itertools.count()
        self._events = []
        self._told_s = {}
        self._server = backend_server.BackendServer(
            's1', 'plain', 'h', 1, 'a', 8, False, False, 1
        )
        self._limits = {}
        self._allowances = {}
        for node in range(node_count):
            self.restart(node)

    def restart(self, node):
        """Let a node start and lose what it knows."""
        self.live.add(node)
        self._told_s.pop(node, None)
        self._limits[node] = server_limits.ServerLimits(self.clock)
        self._allowances[node] = limit_allowances.LimitAllowances(
            self._limits[node],
            self.clock,
            lambda server_id, per_s: self._share(node, server_id, per_s),
        )

    def start_callers(self, per_s):
        """Send requests to random nodes from now on."""

        def send():
            self._send(self._rng.choice(sorted(self.live)))
            self._at(self._rng.expovariate(per_s), send)

        send()

    def start_gossip(self):
        """Exchange reports from now on."""

        def exchange():
            for node in self.live:
                entries = self._limits[node].build_limits()
                made_at_s = self.clock.now_s
                self._at(
                    self._rng.uniform(0, self._gossip_s),
                    lambda n=node, e=entries, m=made_at_s: self._merge(
                        n, e, m
                    ),
                )
            self._at(self._gossip_s / 3, exchange)

        exchange()

    def run(self, seconds):
        """Run for some seconds."""
        end_s = self.clock.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.clock.now_s, _, action = heapq.heappop(self._events)
            action()
        self.clock.now_s = end_s

    def most_from_told_nodes(self, from_s):
        """Return the most arrivals in a window from nodes that were told."""
        times = [
            at_s
            for at_s, told_s in self.arrivals
            if at_s >= from_s and told_s + _TOLD_S <= at_s
        ]
        return max(
            (
                sum(start <= at_s < start + WINDOW_S for at_s in times)
                for start in times
            ),
            default=0,
        )

    def count_since(self, from_s):
        """Return the arrivals since a time."""
        return sum(at_s >= from_s for at_s, _ in self.arrivals)

    def _at(self, delay_s, action):
        at_s = self.clock.now_s + delay_s
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _share(self, node, server_id, per_s):
        others = [f'n{other}' for other in self.live if other != node]
        return limit_share.limit_share(server_id, per_s, f'n{node}', others)

    def _send(self, node):
        allowances = self._allowances[node]
        if allowances.wait_s(self._server) > 0:
            self.withheld_s.append(self.clock.now_s)
            return
        allowances.spend(self._server)
        told_s = self._told_s.get(node, math.inf)
        self.arrivals.append((self.clock.now_s, told_s))
        named_per_s = self.named_per_s

        def answer():
            if named_per_s < math.inf:
                self._told_s.setdefault(node, self.clock.now_s)
            self._limits[node].record_answer(self._server, named_per_s)

        self._at(_ANSWER_S, answer)

    def _merge(self, sender, entries, made_at_s):
        # Through the encoding of reports, as between nodes.
        report = messages.NodeReport(
            'a', 'h', 1, False, (), (), (), (), limits=entries
        )
        decoded = messages.decode_report(messages.encode_report(report))
        for node in self.live - self.deaf - {sender}:
            self._limits[node].merge_peer_limits(
                decoded.limits, made_at_s, f'n{sender}'
            )
