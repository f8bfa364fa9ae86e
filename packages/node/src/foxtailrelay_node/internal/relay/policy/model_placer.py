"""Places requests for model engines."""

import typing

from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import placer
from foxtailrelay_node.internal.relay.policy import rendezvous_hash
from foxtailrelay_node.internal.relay.policy import server_view

# Prompt tokens that an engine of usual speed computes in a second; told by
# the platform's data sheet of its engines.
PREFILL_TOKENS_PER_S = 66_200.0
# Time of a first event without any prompt, in seconds; same source.
_FIRST_EVENT_S = 0.016
# A step of a batch grows with each running request by this share of its
# shortest time; same source (0.0276 ms of 3.88 ms).
_STEP_GROWTH = 0.0071
# Time until a slot of a full engine is free, in seconds, for each request
# ahead; an answer of some hundred tokens takes about this long.
_SLOT_WAIT_S = 2.0
# Cost of a server that has failed lately, in seconds.
_FAILURE_COST_S = 1.0
# Cost of each request that runs there already, in seconds: it slows all
# streams of the engine.
_CROWDING_S = 0.002
# Cost of an engine in another data centre, in seconds: bytes between data
# centres are dear, and a round trip takes a little longer.
_OTHER_ZONE_S = 0.004


class PlacementPolicy(typing.NamedTuple):
    """How much a placer may rely on what it knows.

    Parameters
    ----------
    home_target_share : float
        The home engine of a prompt is kept while its first event is
        expected within this share of the aim; 0 for no home engines.
    home_cached_share : float
        Share of a shared prompt that its home engine is expected to have
        read for other nodes.
    reread_weight : float
        Cost of a second of an engine's time, in seconds of waiting: what is
        read again keeps other prompts waiting.
    patience_by_urgency : tuple of float
        A request is refused when its first event is expected later than
        this multiple of its aim, by its urgency; the last one counts for
        all that are less urgent.  Empty to wait until the caller gives up.
    """

    home_target_share: float
    home_expected_cached_share: float
    prefill_time_weight: float
    max_target_multiple_by_urgency: tuple[float, ...]


# For a node that sees other nodes' requests late.
LOCAL_POLICY = PlacementPolicy(0.6, 0.5, 0.0, ())
# For a node that places the requests of all nodes.  Under a load beyond what
# the engines bear, refusing the less urgent requests that would be late
# leaves time for others to be on time: tests/cover/relay/test_overload.py.
DISPATCHER_POLICY = PlacementPolicy(0.0, 0.0, 1.0, (2.0, 0.7))


class _Estimate(typing.NamedTuple):
    view: server_view.ServerView
    uncached_tokens: int
    first_event_s: float


class ModelPlacer(placer.Placer):
    """Keeps prompts that share a part together while that is in time.

    The load it answers: prompts of very different length, many of which
    share their beginning.  Nodes whose views of the engines are stale find
    the same home engine of a prompt by rendezvous hashing; a home that is
    expected to be too late is left for the soonest engine, and among engines
    that are about equal a hash of the request id decides.  A node that
    places for all sends a prompt to the engine that costs least, and refuses
    what would be late and keep more urgent requests waiting.

    Parameters
    ----------
    policy : Policy
        How much it may rely on what it knows.
    tokens_per_s : float
        Prompt tokens that an engine of usual speed computes in a second.
    """

    def __init__(
        self,
        policy: PlacementPolicy = LOCAL_POLICY,
        tokens_per_s: float = PREFILL_TOKENS_PER_S,
    ) -> None:
        self._policy = policy
        self._tokens_per_s = tokens_per_s

    def place(
        self, demand: demands.Demand, views: placer.Views
    ) -> placement_result.Placed | placement_result.NotPlaced:
        """Choose an engine, or say when a place is expected."""
        if not views:
            return placement_result.NotPlaced(
                'no engine is listed', 1.0, False
            )
        usable = [v for v in views if not v.is_avoided] or list(views)
        home = self._home(demand, usable)
        estimates = [self._estimate(demand, v, v is home) for v in usable]
        soonest = min(estimates, key=lambda e: self._cost(demand, e))
        patience_s = self._patience_s(demand)
        if soonest.first_event_s > patience_s:
            late_s = soonest.first_event_s - patience_s
            return placement_result.NotPlaced(
                f'the first event is expected in {soonest.first_event_s:.2f}'
                f' s, {late_s:.2f} s too late',
                late_s,
                True,
            )
        chosen, why = soonest, 'soonest'
        if home is not None:
            at_home = next(e for e in estimates if e.view is home)
            limit_s = max(
                self._policy.home_target_share * demand.target_s,
                soonest.first_event_s,
            )
            if (
                at_home.first_event_s <= limit_s
                and home.failure_share <= soonest.view.failure_share
            ):
                chosen, why = at_home, 'home'
        return placement_result.Placed(
            chosen.view, chosen.first_event_s, chosen.uncached_tokens, why
        )

    def _patience_s(self, demand: demands.Demand) -> float:
        """Return how late the first event may be, in seconds."""
        patience = self._policy.max_target_multiple_by_urgency
        # What has been sent before may have run, and is not given up while
        # there is time.
        if not patience or demand.is_repeat:
            return demand.left_s
        multiple = patience[min(demand.urgency, len(patience) - 1)]
        return min(demand.left_s, multiple * demand.target_s)

    def _home(
        self, demand: demands.Demand, views: placer.Views
    ) -> server_view.ServerView | None:
        if not demand.shared_id or not self._policy.home_target_share:
            return None
        return max(
            views,
            key=lambda v: rendezvous_hash.weight(
                demand.shared_id, v.server.id
            ),
        )

    def _estimate(
        self,
        demand: demands.Demand,
        view: server_view.ServerView,
        is_home: bool,
    ) -> _Estimate:
        cached = view.cached_tokens
        if is_home:
            share = self._policy.home_expected_cached_share
            cached = max(cached, int(share * demand.shared_tokens))
        uncached = max(1, demand.prompt_tokens - cached)
        speed = view.speed * self._tokens_per_s
        wait_s = (view.pending_tokens + uncached) / speed
        wait_s += _FIRST_EVENT_S * (1 + _STEP_GROWTH * view.running)
        ahead = view.running + 1 - view.server.slots
        if ahead > 0:
            wait_s += _SLOT_WAIT_S * ahead / view.server.slots
        return _Estimate(view, uncached, wait_s)

    def _cost(self, demand: demands.Demand, estimate: _Estimate) -> tuple:
        cost_s = estimate.first_event_s
        cost_s += _FAILURE_COST_S * estimate.view.failure_share
        cost_s += _CROWDING_S * estimate.view.running / estimate.view.speed
        if estimate.view.server.zone != demand.zone:
            cost_s += _OTHER_ZONE_S
        cost_s += (
            self._policy.prefill_time_weight
            * estimate.uncached_tokens
            / self._tokens_per_s
        )
        server_id = estimate.view.server.id
        return cost_s, rendezvous_hash.weight(demand.request_id, server_id)
