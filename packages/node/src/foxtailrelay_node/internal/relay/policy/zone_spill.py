"""Decides when a request is sent to another data centre."""

import typing

from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import server_view

# Longest round trip between two data centres: 1.4 ms each way.
_ROUND_TRIP_S = 0.0028
# The bytes of a request that leaves its data centre cost 1 to 3% of its
# value, and a request that uses up the time until it is late loses all of it.
# The bytes are therefore worth the wait of as large a share of the time that
# is left.  The larger share applies until requests leave, the smaller one
# while they do.
_START_SHARE = 0.03
_STOP_SHARE = 0.01
# Two data centres that exchange work pay for the bytes twice.
_EXCHANGE_FACTOR = 2.0
# Requests of the service after which data centres count as no longer sending
# work to each other: about 0.6 s, for which a machine is slow, at the 215
# prompts a second of the largest deployment.
_LAPSE_REQUESTS = 128
# Share of the slots of a server up to which requests surely find a free one:
# nodes know the load of others as it was up to a second ago, and it may have
# doubled since.
_FREE_SLOTS_SHARE = 0.5
# Cost of another data centre while nothing runs at any server: only speeds,
# failures and cached prompts differ.
_IDLE_ENGINE_COST_S = 0.004
_IDLE_PLAIN_COST_S = 0.003


class Candidate(typing.NamedTuple):
    """A server that may serve a request.

    Parameters
    ----------
    view : ServerView
        State of the server.
    expected_s : float
        Expected seconds until the first event or, for plain services, the
        answer.
    cost_s : float
        Cost of the server in seconds, without that of its data centre.
    tie_weight : int
        Decides among servers of equal cost; the lowest is chosen.
    spread_s : float
        The part of the cost that spreads requests over servers with free
        slots, and for which nobody waits.
    """

    view: server_view.ServerView
    expected_s: float
    cost_s: float
    tie_weight: int
    spread_s: float = 0.0

    @property
    def is_free(self) -> bool:
        """Whether a request would not wait for a slot."""
        return self.view.running < max(1, self.view.server.slots)

    @property
    def wait_cost_s(self) -> float:
        """The cost without what spreads requests, while slots are free."""
        share = self.view.running / max(1, self.view.server.slots)
        if share <= _FREE_SLOTS_SHARE:
            return self.cost_s - self.spread_s
        return self.cost_s


class Choice(typing.NamedTuple):
    """The chosen candidate.

    Parameters
    ----------
    index : int
        Its position.
    why : str
        The rule that chose it, with its inputs if it is in another data
        centre.
    """

    index: int
    why: str


class _Flows:
    """Recent crossings of one service."""

    def __init__(self) -> None:
        self.request_count = 0
        self.last_by_pair: dict[tuple[str, str], int] = {}

    def is_open(self, origin: str, target: str) -> bool:
        """Whether work was sent from one data centre to another lately."""
        last = self.last_by_pair.get((origin, target))
        return last is not None and self.request_count - last < _LAPSE_REQUESTS

    def record(self, origin: str, target: str) -> None:
        """Record where a request was sent."""
        self.request_count += 1
        if origin != target:
            self.last_by_pair = {
                pair: last
                for pair, last in self.last_by_pair.items()
                if self.is_open(*pair)
            }
            self.last_by_pair[origin, target] = self.request_count


class ZoneSpill:
    """Weighs a queue in the caller's data centre against crossing.

    Designed for four data centres with round trips of up to 2.8 ms, whose
    bytes cost 1 to 3% of a request's value when they cross, and for latency
    targets of 0.15 to 2 s.  A request stays in its data centre unless the
    cost of a server elsewhere, with its queue and cached prompts, is lower by
    the worth of the bytes.  Where no server at home has a free slot, or the
    request would be late or refused there, only the round trip counts.  A
    data centre without usable servers sends all its work elsewhere, to the
    server of the lowest cost.

    Two data centres don't exchange work: a request needs twice the reason to
    leave for a data centre that sent work here lately.  Where requests leave
    already, less reason is needed, so that they do not alternate.  The state
    is this object's; a lost one is replaced by an empty one, which only
    forgets the hysteresis.

    Parameters
    ----------
    idle_cost_s : float
        Cost of another data centre while nothing runs at any server.
    """

    def __init__(self, idle_cost_s: float) -> None:
        self._idle_cost_s = idle_cost_s
        self._flows_by_service: dict[str, _Flows] = {}

    @classmethod
    def for_engines(cls) -> typing.Self:
        """Return the rules for model engines."""
        return cls(_IDLE_ENGINE_COST_S)

    @classmethod
    def for_plain_servers(cls) -> typing.Self:
        """Return the rules for plain servers."""
        return cls(_IDLE_PLAIN_COST_S)

    def choose(
        self,
        demand: demands.Demand,
        candidates: typing.Sequence[Candidate],
        refused_after_s: float,
    ) -> Choice:
        """Choose a server.

        Parameters
        ----------
        demand : Demand
            What the request needs.
        candidates : sequence of Candidate
            At least one server.
        refused_after_s : float
            Expected seconds from which the request would be refused.
        """
        best_by_zone: dict[str, tuple[tuple[float, int], int]] = {}
        is_idle = is_home_full = True
        for index, candidate in enumerate(candidates):
            view = candidate.view
            zone = view.server.zone
            order = candidate.cost_s, candidate.tie_weight
            best = best_by_zone.get(zone)
            if best is None or order < best[0]:
                best_by_zone[zone] = order, index
            if view.running or view.pending_tokens:
                is_idle = False
            if is_home_full and zone == demand.zone and candidate.is_free:
                is_home_full = False
        best_home = best_by_zone.pop(demand.zone, None)
        if best_home is None:
            _, index = min(best_by_zone.values())
            return Choice(index, 'soonest, no server at home')
        _, home_index = best_home
        home = candidates[home_index]
        if not best_by_zone:
            return Choice(home_index, 'soonest')
        chosen = Choice(home_index, 'soonest')
        chosen_order = home.wait_cost_s, home.tie_weight
        for _, index in best_by_zone.values():
            away = candidates[index]
            price_s, reason = self._idle_cost_s, 'sooner'
            if not is_idle:
                price_s, reason = self._price(
                    demand, home, away, is_home_full, refused_after_s
                )
            order = (away.cost_s + price_s, away.tie_weight)
            if order < chosen_order:
                chosen_order = order
                chosen = Choice(
                    index,
                    f'{reason}, {home.wait_cost_s - away.cost_s:.4f} s less '
                    f'than at home for {price_s:.4f} s',
                )
        return chosen

    def record(
        self, demand: demands.Demand, view: server_view.ServerView
    ) -> None:
        """Record where a request was sent."""
        server = view.server
        flows = self._flows_by_service.setdefault(server.service, _Flows())
        flows.record(demand.zone, server.zone)

    def _price(
        self,
        demand: demands.Demand,
        home: Candidate,
        away: Candidate,
        is_home_full: bool,
        refused_after_s: float,
    ) -> tuple[float, str]:
        """Return what a crossing costs in seconds, and a reason for it."""
        if is_home_full and away.is_free:
            return _ROUND_TRIP_S, 'home is full'
        slack_s = min(demand.target_s, refused_after_s) - home.expected_s
        if slack_s <= 0.0:
            return _ROUND_TRIP_S, 'late at home'
        origin, target = demand.zone, away.view.server.zone
        share = _START_SHARE
        flows = self._flows_by_service.get(away.view.server.service)
        if flows is not None:
            if flows.is_open(target, origin):
                share *= _EXCHANGE_FACTOR
            elif flows.is_open(origin, target):
                share = _STOP_SHARE
        return _ROUND_TRIP_S + share * slack_s, 'sooner'
