"""Rate limits of organisations, enforced over all nodes together."""

import random
import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.catalogue import organisation
from foxtailrelay_node.internal.relay.policy import sliding_window_counter
from foxtailrelay_node.internal.relay.policy import spending

SLOT_S = spending.SLOT_S
# Share of the tolerance that is used on purpose; the rest covers what peers
# have spent since their last reports.
_TOLERANCE_SHARE = 0.25
# With this many peers, the rate of a single node is a poor estimate, and the
# mean rate of this node and of the peers with fresh reports is used.
_LARGE_CLUSTER_PEERS = 9
_FRESH_REPORT_S = 2.5
# Requests that a node admitted within this time may not have been reported to
# the others; this share of the tolerance covers them.
_UNREPORTED_S = 1.5
_UNREPORTED_TOLERANCE_SHARE = 0.6
# A node may spend this multiple of its equal share of the remaining limit
# before it admits requests at random, as callers are never spread evenly over
# nodes.
_EQUAL_SHARE_FACTOR = 1.1
# If a node received at least this many requests of an organisation in this
# many of its newest slots, their rate counts where it is above the average.
_CURRENT_RATE_MIN_REQUESTS = 5
_CURRENT_RATE_SLOTS = 4
# The limit also applies to these shares of the window, so that the units
# that become available when an old burst leaves the window are not spent all
# at once.
_WINDOW_SHARES = (1.0, 0.5, 0.25)
# A record of all spending is written each second, of reports that are up to
# half a second old; it includes what is expected to be spent until then.
_UNRECORDED_SLOTS = 3
UNRECORDED_S = _UNRECORDED_SLOTS * SLOT_S
_RECORDED_RATE_SLOTS = 4
# For this time nodes that have started together do not know each other's
# rates, and each spends an equal share.
_SETTLING_S = 1.5
# Share of the limit for a new node that knows nothing of the cluster.
_INITIAL_SHARE = 0.1


class Allowed(typing.NamedTuple):
    """The request is within the limit; ``units`` were acquired."""

    units: int


class OverLimit(typing.NamedTuple):
    """The request is beyond the limit.

    Parameters
    ----------
    spent, limit : float
        Units spent in the window by all nodes, and units allowed in it.
    retry_after_s : float
        Seconds until the limit is expected to allow the request.
    """

    spent: float
    limit: float
    retry_after_s: float


class Quota:
    """Enforces limits by the spending of this node and of its peers.

    Since its last report, a peer is assumed to have spent units at the rate
    of that report or, if higher, at this node's rate; with many peers, at
    the mean rate of all.  While peers are unreachable, each side of a
    network partition may spend only its share of the limit.  For one window
    after the start, while no reachable node has a record of earlier spending,
    the limit grows with time, or by what is left of it if a record of the
    spending has been read.  Nodes that may have started too but are not
    reachable yet keep their shares, and at first each node spends its own.

    Parameters
    ----------
    window_s : float
        Length of the window that limits apply to.
    started_s : float
        Time since boot at the node's start.
    tolerance : float
        Units per window by which all nodes together may deviate from a
        limit.
    rng : random.Random, optional
        Decides which requests are admitted at random.
    """

    def __init__(
        self,
        window_s: float,
        started_s: float,
        tolerance: float,
        rng: random.Random | None = None,
    ) -> None:
        self._window_s = window_s
        self._tolerance = _TOLERANCE_SHARE * tolerance
        self._whole_tolerance = tolerance
        self._unreported_tolerance = _UNREPORTED_TOLERANCE_SHARE * tolerance
        self._started_s = started_s
        self._random = rng or random.Random()
        self._requests_by_name: dict[
            str, sliding_window_counter.SlidingWindowCounter
        ] = {}
        self._requested_units_by_name: dict[
            str, sliding_window_counter.SlidingWindowCounter
        ] = {}
        self._own_by_name: dict[
            str, sliding_window_counter.SlidingWindowCounter
        ] = {}
        self._organisation_by_name: dict[str, organisation.Organisation] = {}
        self._peers_by_name: dict[str, dict[str, spending.Spending]] = {}
        self._earlier_by_name: dict[str, spending.Spending] | None = None
        self._share = 1.0
        self._start_share = _INITIAL_SHARE
        self._own_share = _INITIAL_SHARE
        self._has_history = False

    def request_units(
        self, organisation: organisation.Organisation, tokens: int | None
    ) -> int:
        """Return how many units a request counts."""
        if not organisation.counts_tokens:
            return 1
        return organisation.default_tokens if tokens is None else tokens

    def acquire(
        self, organisation: organisation.Organisation, units: int, now_s: float
    ) -> Allowed | OverLimit:
        """Acquire units for a request, or return when to retry."""
        if organisation.rate_per_s <= 0:
            return Allowed(0)
        self._record_request(organisation.name, units, now_s)
        self._organisation_by_name[organisation.name] = organisation
        spendings = self._spendings(organisation.name, now_s)
        if self._is_settling(now_s):
            spendings = spendings[:1]
        for share in _WINDOW_SHARES:
            window_s = share * self._window_s
            limit = self._limit(organisation, window_s, now_s)
            sums = spending.sums_within(spendings, window_s, now_s)
            spent = sums.reported + sums.expected
            # With half of the request counted, requests refused below the
            # limit and requests admitted beyond it are about equally rare.
            tolerance = self._tolerance * self._current_share(now_s)
            over = spent + units / 2 - limit - tolerance
            if over <= 0 and len(spendings) > _LARGE_CLUSTER_PEERS:
                probability = self._admission_probability(
                    organisation.name, spendings, limit, sums.reported, now_s
                )
                if self._random.random() >= probability:
                    over = units / 2
            if over > 0:
                wait_s = min(self._window_s, over / organisation.rate_per_s)
                return OverLimit(spent, limit, max(SLOT_S, wait_s))
        self._own(organisation.name).add(units, now_s)
        return Allowed(units)

    def _admission_probability(
        self,
        name: str,
        spendings: list[spending.Spending],
        limit: float,
        reported: float,
        now_s: float,
    ) -> float:
        """Return the probability that a request is admitted, usually 1.

        Before its peers have received its report, each of many nodes may
        admit the whole rest of a limit, and all do if an organisation
        suddenly sends many times its limit.  With this probability, all
        nodes together admit the rest if each receives requests at the rate
        of this node.  It is the same for long and short requests.
        """
        remaining = max(0.0, limit + self._unreported_tolerance - reported)
        count = len(spendings)
        own = sum(spendings[0].slots[: spending.RATE_SLOTS])
        requests = self._requests_by_name[name].slots(now_s)
        requested_units = self._requested_units_by_name[name].total(now_s)
        units = requested_units / max(1, sum(requests))
        if (
            count * units / 2 <= self._whole_tolerance
            and own <= _EQUAL_SHARE_FACTOR * remaining / count
        ):
            # One more request at each node would be within the tolerance.
            return 1.0
        rate = sum(requests) / self._window_s
        newest = sum(requests[:_CURRENT_RATE_SLOTS])
        if newest >= _CURRENT_RATE_MIN_REQUESTS:
            rate = max(rate, newest / (_CURRENT_RATE_SLOTS * SLOT_S))
        expected = count * rate * _UNREPORTED_S * max(1, units)
        return remaining / expected if expected else 1.0

    def refund(
        self, organisation: organisation.Organisation, units: int, now_s: float
    ) -> None:
        """Refund the units of a request that was not run."""
        if units:
            self._own(organisation.name).add(-units, now_s)

    def build_spends(self, now_s: float) -> tuple[messages.Spend, ...]:
        """Return what this node spent, for its report."""
        spends = (
            messages.Spend(name, own.slots(now_s))
            for name, own in self._own_by_name.items()
        )
        return tuple(spend for spend in spends if spend.slots)

    def record_peer_spends(
        self,
        start_id: str,
        spends: typing.Iterable[messages.Spend],
        at_s: float,
    ) -> None:
        """Record the spending of one start of a peer, reported at ``at_s``."""
        for peers in self._peers_by_name.values():
            peers.pop(start_id, None)
        for spend in spends:
            peers = self._peers_by_name.setdefault(spend.organisation, {})
            peers[start_id] = spending.Spending(spend.slots, at_s)

    def build_cluster_spends(self, now_s: float) -> tuple[messages.Spend, ...]:
        """Return what all known nodes spent, for a node that starts later.

        The newest slots are those until ``UNRECORDED_S`` from now, with what
        is expected to be spent in them.
        """
        names = {*self._own_by_name, *self._peers_by_name}
        earlier_by_name = self._earlier(now_s)
        spends = []
        for name in sorted(names | earlier_by_name.keys()):
            spendings = self._spendings(name, now_s)
            if name in earlier_by_name:
                spendings.append(earlier_by_name[name])
            slots = spending.sum_slots(spendings, self._window_s, now_s)
            if any(slots):
                expected = self._expected(name, slots, len(spendings), now_s)
                spends.append(messages.Spend(name, expected + slots))
        return tuple(spends)

    def _expected(
        self,
        name: str,
        slots: tuple[int, ...],
        node_count: int,
        now_s: float,
    ) -> tuple[int, ...]:
        """Return the units that nodes are expected to spend next, by slot.

        What an organisation requests is spent, up to its limit: units are
        admitted all at once when others leave the window.
        """
        newest = sum(slots[:_RECORDED_RATE_SLOTS])
        organisation = self._organisation_by_name.get(name)
        if organisation is not None:
            requested = self._requested_units_by_name[name].slots(now_s)
            requested_units = sum(requested[:_RECORDED_RATE_SLOTS])
            newest = max(newest, node_count * requested_units)
        units = newest * _UNRECORDED_SLOTS / _RECORDED_RATE_SLOTS
        if organisation is not None:
            rate, burst = organisation.rate_per_s, organisation.burst
            limit = rate * self._window_s + burst + self._tolerance
            remaining = limit - sum(slots[:-_UNRECORDED_SLOTS])
            units = min(units, max(0.0, remaining))
        return (round(units / _UNRECORDED_SLOTS),) * _UNRECORDED_SLOTS

    def record_earlier_spends(
        self, spends: typing.Iterable[messages.Spend], at_s: float
    ) -> None:
        """Record what all nodes had spent up to ``at_s``.

        Of several records the most units count in each slot.
        """
        if self._earlier_by_name is None:
            self._earlier_by_name = {}
        for spend in spends:
            entry = spending.Spending(spend.slots, at_s)
            known = self._earlier_by_name.get(spend.organisation)
            if known is not None:
                entry = spending.merge_records(known, entry)
            self._earlier_by_name[spend.organisation] = entry

    def _earlier(self, now_s: float) -> dict[str, spending.Spending]:
        """Return recorded spending before the start, unless peers know it."""
        is_new = now_s - self._started_s < self._window_s
        if self._earlier_by_name is None or self._has_history or not is_new:
            return {}
        return self._earlier_by_name

    def set_reachable_share(
        self,
        share: float,
        has_history: bool,
        start_share: float,
        own_share: float,
    ) -> None:
        """Set the share of the cluster's nodes that this node can reach.

        Parameters
        ----------
        share : float
            Live nodes, including this one, divided by all known nodes.
        has_history : bool
            Whether a live peer has been up for a whole window.
        start_share : float
            Live nodes, including this one, divided by all nodes that may have
            started when this one did.
        own_share : float
            The share of one of these.
        """
        self._share = share
        self._start_share = start_share
        self._own_share = own_share
        self._has_history = self._has_history or has_history

    @property
    def has_history(self) -> bool:
        """Whether a live peer has been up for a whole window."""
        return self._has_history

    def _limit(
        self,
        organisation: organisation.Organisation,
        window_s: float,
        now_s: float,
    ) -> float:
        up_s = now_s - self._started_s
        limit = organisation.rate_per_s * window_s + organisation.burst
        if self._earlier_by_name is not None:
            earlier = self._earlier(now_s).get(organisation.name)
            if earlier is not None:
                limit = max(0.0, limit - earlier.within(window_s, now_s))
        elif up_s < window_s and not self._has_history:
            limit = organisation.rate_per_s * (up_s + SLOT_S)
        return limit * self._current_share(now_s)

    def _current_share(self, now_s: float) -> float:
        """Return the share of the limit that reachable nodes may spend."""
        if self._is_settling(now_s):
            return min(self._share, self._own_share)
        is_new = now_s - self._started_s < self._window_s
        if is_new and not self._has_history:
            return min(self._share, self._start_share)
        return self._share

    def _is_settling(self, now_s: float) -> bool:
        """Whether this node spends its own share, whatever others spend."""
        return now_s - self._started_s < _SETTLING_S and not self._has_history

    def _spendings(self, name: str, now_s: float) -> list[spending.Spending]:
        """Return what each node spent, this one first."""
        own = spending.Spending(self._own(name).slots(now_s), now_s)
        peer_by_start_id = self._peers_by_name.get(name, {})
        for start_id, peer in list(peer_by_start_id.items()):
            if now_s - peer.at_s > self._window_s + SLOT_S:
                del peer_by_start_id[start_id]
        peers = peer_by_start_id.values()
        fresh = [
            peer for peer in peers if now_s - peer.at_s <= _FRESH_REPORT_S
        ]
        if len(fresh) >= _LARGE_CLUSTER_PEERS:
            rates = [
                own.recent_rate_per_s(),
                *(p.recent_rate_per_s() for p in fresh),
            ]
            mean = sum(rates) / len(rates)
            return [own, *(p.with_rate(mean) for p in peers)]
        own_rate = own.recent_rate_per_s()
        spendings = [own]
        for peer in peers:
            rate = max(own_rate, peer.recent_rate_per_s())
            spendings.append(peer.with_rate(rate))
        return spendings

    def _record_request(self, name: str, units: int, now_s: float) -> None:
        for counts, amount in (
            (self._requests_by_name, 1),
            (self._requested_units_by_name, units),
        ):
            if name not in counts:
                counts[name] = sliding_window_counter.SlidingWindowCounter(
                    self._window_s, SLOT_S
                )
            counts[name].add(amount, now_s)

    def _own(self, name: str) -> sliding_window_counter.SlidingWindowCounter:
        if name not in self._own_by_name:
            self._own_by_name[name] = (
                sliding_window_counter.SlidingWindowCounter(
                    self._window_s, SLOT_S
                )
            )
        return self._own_by_name[name]
