"""Limits of organisations that hold over all nodes together."""

import random
import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.catalogue import organisation
from foxtailrelay_node.internal.relay.policy import sliding_window_counter

SLOT_S = 0.5
# For how long a peer is taken to go on as it did in its last report, in
# seconds; longer silence is answered by shares instead.
_EXTRAPOLATED_S = 2.0
# Part of the tolerance that is used on purpose; the rest covers what peers
# have spent since their last reports.
_TOLERANCE_PART = 0.25
# Slots from which the present rate of a node is taken.
_RATE_SLOTS = 2
# Where this many peers tell what they spend, one node's rate says little, and
# the mean of those that were heard of within this time is taken, in seconds.
_MANY_PEERS = 9
_FRESH_S = 2.5
# For this long what nodes let pass may not be in each other's views, in
# seconds; this part of the tolerance covers it.
_UNSEEN_S = 1.5
_UNSEEN_TOLERANCE_PART = 0.6
# A node may spend this multiple of its share of what is left without a draw,
# as callers are never spread evenly.
_SHARE_FACTOR = 1.1
# With this many requests of an organisation in as many slots, or more, their
# number tells its present rate.
_TELLING_COUNT = 5
_TELLING_SLOTS = 4
# Parts of the window in which the limit holds as well, so that what is
# allowed does not come all at once when an old burst leaves the window.
_WINDOW_PARTS = (1.0, 0.5, 0.25)


class Allowed(typing.NamedTuple):
    """The request is within the limit; ``units`` were taken."""

    units: int


class OverLimit(typing.NamedTuple):
    """The request is beyond the limit.

    Parameters
    ----------
    spent, limit : float
        Units spent in the window by all nodes, and units allowed in it.
    retry_after_s : float
        When a place is expected, in seconds.
    """

    spent: float
    limit: float
    retry_after_s: float


class _Spending(typing.NamedTuple):
    """What one node spent in the slots before a time, and its rate since."""

    slots: tuple[int, ...]
    at_s: float
    rate_per_s: float = 0.0

    def within(self, window_s: float, now_s: float) -> float:
        """Return what was spent in a window that ends now."""
        age_s = max(0.0, now_s - self.at_s)
        slot_count = round((window_s - age_s) / SLOT_S) + 1
        if slot_count <= 0:
            return 0.0
        spent = float(sum(self.slots[:slot_count]))
        if age_s < _EXTRAPOLATED_S:
            spent += self.rate_per_s * age_s
        return spent


class Quota:
    """Decides by what this node spent and what its peers reported.

    A peer is taken to have gone on since its last report at its last rate, or
    at this node's own where that is higher; where there are many peers, at
    the mean rate of all.  While peers are silent, each side of a cut may
    spend only its share of the limit.  For one window after the start, when
    nobody may remember what was spent before, the limit grows with time.

    Parameters
    ----------
    window_s : float
        Window in which the limit holds, in seconds.
    started_s : float
        Time of the node's start.
    tolerance : float
        Units in a window by which the nodes together may be off.
    rng : random.Random, optional
        Draws who passes while nodes cannot know of each other.
    """

    def __init__(
        self,
        window_s: float,
        started_s: float,
        tolerance: float,
        rng: random.Random | None = None,
    ) -> None:
        self._window_s = window_s
        self._tolerance = _TOLERANCE_PART * tolerance
        self._whole_tolerance = tolerance
        self._unseen_tolerance = _UNSEEN_TOLERANCE_PART * tolerance
        self._started_s = started_s
        self._random = rng or random.Random()
        self._asked_by_name: dict[
            str, sliding_window_counter.SlidingWindowCounter
        ] = {}
        self._asked_units_by_name: dict[
            str, sliding_window_counter.SlidingWindowCounter
        ] = {}
        self._own_by_name: dict[
            str, sliding_window_counter.SlidingWindowCounter
        ] = {}
        self._peers_by_name: dict[str, dict[str, _Spending]] = {}
        self._share = 1.0
        self._has_history = False

    def request_units(
        self, holder: organisation.Organisation, tokens: int | None
    ) -> int:
        """Return what a request counts."""
        if not holder.counts_tokens:
            return 1
        return holder.default_tokens if tokens is None else tokens

    def acquire(
        self, holder: organisation.Organisation, units: int, now_s: float
    ) -> Allowed | OverLimit:
        """Take units for a request, or say when to come back."""
        if holder.rate_per_s <= 0:
            return Allowed(0)
        self._note_asked(holder.name, units, now_s)
        spendings = self._spendings(holder.name, now_s)
        for part in _WINDOW_PARTS:
            window_s = part * self._window_s
            limit = self._limit(holder, window_s, now_s)
            spent = sum(s.within(window_s, now_s) for s in spendings)
            # Half of the request counts: refusing below the limit and
            # passing beyond it are then about equally rare.
            over = spent + units / 2 - limit - self._tolerance
            if over <= 0 and len(spendings) > _MANY_PEERS:
                odds = self._odds(
                    holder.name, spendings, limit, window_s, now_s
                )
                if self._random.random() >= odds:
                    over = units / 2
            if over > 0:
                wait_s = min(self._window_s, over / holder.rate_per_s)
                return OverLimit(spent, limit, max(SLOT_S, wait_s))
        self._own(holder.name).add(units, now_s)
        return Allowed(units)

    def _odds(
        self,
        name: str,
        spendings: list[_Spending],
        limit: float,
        window_s: float,
        now_s: float,
    ) -> float:
        """Return the chance that a request passes, 1 for most.

        While reports travel, each of many nodes may let pass what is left;
        when an organisation suddenly asks for many times its limit, all do.
        With these odds all together let pass what is left, if they are
        asked as often as this node.  Long and short requests have the same.
        """
        told = sum(
            s._replace(rate_per_s=0.0).within(window_s, now_s)
            for s in spendings
        )
        left = max(0.0, limit + self._unseen_tolerance - told)
        count = len(spendings)
        own = sum(spendings[0].slots[:_RATE_SLOTS])
        asked = self._asked_by_name[name].slots(now_s)
        asked_units = self._asked_units_by_name[name].total(now_s)
        units = asked_units / max(1, sum(asked))
        if (
            count * units / 2 <= self._whole_tolerance
            and own <= _SHARE_FACTOR * left / count
        ):
            # One more request at all nodes would be within tolerance.
            return 1.0
        rate = sum(asked) / self._window_s
        last = sum(asked[:_TELLING_SLOTS])
        if last >= _TELLING_COUNT:
            rate = max(rate, last / (_TELLING_SLOTS * SLOT_S))
        expected = count * rate * _UNSEEN_S * max(1, units)
        return left / expected if expected else 1.0

    def refund(
        self, holder: organisation.Organisation, units: int, now_s: float
    ) -> None:
        """Give back the units of a request that was not run."""
        if units:
            self._own(holder.name).add(-units, now_s)

    def build_spends(self, now_s: float) -> tuple[messages.Spend, ...]:
        """Return what this node spent, for its report."""
        spends = (
            messages.Spend(name, own.slots(now_s))
            for name, own in self._own_by_name.items()
        )
        return tuple(spend for spend in spends if spend.slots)

    def record_peer_spends(
        self,
        node: str,
        spends: typing.Iterable[messages.Spend],
        at_s: float,
    ) -> None:
        """Replace what a start of a peer reported at ``at_s``."""
        for peers in self._peers_by_name.values():
            peers.pop(node, None)
        for spend in spends:
            peers = self._peers_by_name.setdefault(spend.organisation, {})
            peers[node] = _Spending(spend.slots, at_s)

    def set_reachable_share(self, share: float, has_history: bool) -> None:
        """Set the share of all nodes that this side reaches.

        Parameters
        ----------
        share : float
            Nodes heard from lately, this one too, of all that are known.
        has_history : bool
            Whether a peer that has been up for a window was heard.
        """
        self._share = share
        self._has_history = self._has_history or has_history

    def _limit(
        self, holder: organisation.Organisation, window_s: float, now_s: float
    ) -> float:
        up_s = now_s - self._started_s
        if up_s >= window_s or self._has_history:
            limit = holder.rate_per_s * window_s + holder.burst
        else:
            limit = holder.rate_per_s * (up_s + SLOT_S)
        return limit * self._share

    def _spendings(self, name: str, now_s: float) -> list[_Spending]:
        """Return what each node spent, this one first."""
        own = _Spending(self._own(name).slots(now_s), now_s)
        peers = self._peers_by_name.get(name, {}).values()
        fresh = [peer for peer in peers if now_s - peer.at_s <= _FRESH_S]
        if len(fresh) >= _MANY_PEERS:
            rates = [_rate(own.slots), *(_rate(p.slots) for p in fresh)]
            mean = sum(rates) / len(rates)
            return [own, *(p._replace(rate_per_s=mean) for p in peers)]
        own_rate = _rate(own.slots)
        spendings = [own]
        for peer in peers:
            rate = max(own_rate, _rate(peer.slots))
            spendings.append(peer._replace(rate_per_s=rate))
        return spendings

    def _note_asked(self, name: str, units: int, now_s: float) -> None:
        for counts, amount in (
            (self._asked_by_name, 1),
            (self._asked_units_by_name, units),
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


def _rate(slots: tuple[int, ...]) -> float:
    return sum(slots[:_RATE_SLOTS]) / (_RATE_SLOTS * SLOT_S)
