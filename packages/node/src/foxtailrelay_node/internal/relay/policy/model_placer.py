"""Places requests for model engines."""

import math
import typing

from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import first_event_model
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import placer
from foxtailrelay_node.internal.relay.policy import rendezvous_hash
from foxtailrelay_node.internal.relay.policy import server_view
from foxtailrelay_node.internal.relay.policy import zone_spill

# Prefill rate of an engine of nominal speed while none was learned.
PREFILL_TOKENS_PER_S = first_event_model.ASSUMED.tokens_per_s
# Time for which a request occupies a slot of an engine; an answer of a few
# hundred tokens takes about this long.
_SLOT_OCCUPIED_S = 2.0
# Cost of a server all of whose recent attempts have failed.
_FAILURE_COST_S = 1.0
# Cost per request that already runs on the engine: one more request slows
# down all of its streams.
_RUNNING_REQUEST_COST_S = 0.002
# Cost for each stream on the engine that a prompt makes pause for longer than
# callers accept.  It outweighs a later first event, which may still be within
# its target.
_LATE_STREAM_COST_S = 0.01
# Engines process a prompt in chunks, one with each token of the streams that
# run.  Between two events come at most 7 chunks of 1,024 tokens, or 9 of
# 2,048, on the engines that this was designed for; the second kind is so much
# faster that the lower bound does.
_MAX_TOKENS_IN_PAUSE = 8192
# Share of the target for pauses from which a pause may be too long: the
# machine may become slower, and steps vary.
_SAFE_PAUSE_SHARE = 0.7

# Why a request is not placed where its first event would be soonest.
SPARES_STREAMS = 'spares streams'


class PlacementPolicy(typing.NamedTuple):
    """Settings that depend on how current the placer's information is.

    Parameters
    ----------
    home_target_share : float
        The home engine of a prompt is preferred while its first event is
        expected within this share of the latency target; 0 disables home
        engines.
    home_expected_cached_share : float
        Share of the shared part of a prompt that its home engine is expected
        to have cached for requests of other nodes.
    prefill_time_weight : float
        Cost of a second of an engine's prefill time, in seconds of waiting:
        prompt tokens that are not cached delay other prompts.
    """

    home_target_share: float
    home_expected_cached_share: float
    prefill_time_weight: float


# For a node that receives the load of other nodes with a delay.
LOCAL_POLICY = PlacementPolicy(0.6, 0.5, 0.0)
# For a dispatcher, which places the requests of all nodes.  Whether an engine
# may take a request is decided by policy/admission.py.
DISPATCHER_POLICY = PlacementPolicy(0.0, 0.0, 1.0)


class _Estimate(typing.NamedTuple):
    view: server_view.ServerView
    uncached_tokens: int
    first_event_s: float
    late_streams: float


class ModelPlacer(placer.Placer):
    """Sends prompts with a common prefix to one engine if it is in time.

    Designed for prompts of very different length, many of which share a
    prefix.  Nodes whose views of the engines are stale find the same home
    engine of a prompt by rendezvous hashing.  If the home engine is expected
    to be too late, the engine of the lowest cost is chosen, and among
    engines of equal cost a hash of the request id decides.  A dispatcher
    always chooses the engine of the lowest cost.  A request is refused here
    only if its first event is expected after its deadline.

    Where engines report how long work takes on their machines, a prompt that
    would make the streams of an engine pause for too long costs extra there.
    Designed for prompts of over 6,000 uncached tokens, streams whose pauses
    may take 0.3 s, and machines that are 2.5 times slower now and then.

    Parameters
    ----------
    policy : PlacementPolicy
        Settings that fit how current the views of the engines are.
    tokens_per_s : float
        Prompt tokens per second of an engine of nominal speed, while
        nothing was learned of the service.
    """

    def __init__(
        self,
        policy: PlacementPolicy = LOCAL_POLICY,
        tokens_per_s: float = PREFILL_TOKENS_PER_S,
    ) -> None:
        self._policy = policy
        self._assumed = first_event_model.ASSUMED._replace(
            tokens_per_s=tokens_per_s
        )
        self._spill = zone_spill.ZoneSpill.for_engines()

    def place(
        self, demand: demands.Demand, views: placer.Views
    ) -> placement_result.Placed | placement_result.NotPlaced:
        """Choose an engine, or return when to retry."""
        if not views:
            return placement_result.NotPlaced(
                'no engine is listed', 1.0, False
            )
        usable = [v for v in views if not v.is_avoided] or list(views)
        home = self._home(demand, usable)
        if not any(v.reports_duration for v in usable):
            demand = demand._replace(pause_target_s=math.inf)
        estimates = [self._estimate(demand, v, v is home) for v in usable]
        cheapest, why = self._cheapest(demand, estimates)
        if cheapest.first_event_s > demand.remaining_s:
            late_s = cheapest.first_event_s - demand.remaining_s
            return placement_result.NotPlaced(
                f'the first event is expected in {cheapest.first_event_s:.2f}'
                f' s, {late_s:.2f} s too late',
                late_s,
                True,
            )
        chosen = cheapest
        if home is not None:
            home_estimate = next(e for e in estimates if e.view is home)
            limit_s = max(
                self._policy.home_target_share * demand.target_s,
                cheapest.first_event_s,
            )
            if (
                home_estimate.first_event_s <= limit_s
                and home.failure_share <= cheapest.view.failure_share
                and home_estimate.late_streams <= cheapest.late_streams
            ):
                chosen, why = home_estimate, 'home'
        self._spill.record(demand, chosen.view)
        return placement_result.Placed(
            chosen.view, chosen.first_event_s, chosen.uncached_tokens, why
        )

    def wait_s(self, view: server_view.ServerView) -> float:
        """Return the seconds before an engine begins another prompt."""
        figures = view.figures or self._assumed
        wait_s = view.pending_tokens / (view.speed * figures.tokens_per_s)
        return (wait_s + _slot_wait_s(view)) * view.relative_duration

    def _cheapest(
        self, demand: demands.Demand, estimates: list[_Estimate]
    ) -> tuple[_Estimate, str]:
        """Return the engine of the lowest cost, and why.

        Streams elsewhere are not spared by a first event that is too late.
        """
        max_first_event_s = min(demand.remaining_s, demand.admitted_s)
        choice = self._choose(demand, estimates, max_first_event_s)
        cheapest = estimates[choice.index]
        if not any(e.late_streams for e in estimates):
            return cheapest, choice.why
        soonest = self._choose(
            demand,
            [e._replace(late_streams=0.0) for e in estimates],
            max_first_event_s,
        )
        if (
            soonest.index == choice.index
            or cheapest.first_event_s > max_first_event_s
        ):
            return estimates[soonest.index], soonest.why
        return cheapest, SPARES_STREAMS

    def _choose(
        self,
        demand: demands.Demand,
        estimates: list[_Estimate],
        max_first_event_s: float,
    ) -> zone_spill.Choice:
        return self._spill.choose(
            demand,
            [
                zone_spill.Candidate(
                    e.view,
                    e.first_event_s,
                    *self._cost(demand, e),
                    _running_cost_s(e.view),
                )
                for e in estimates
            ],
            max_first_event_s,
        )

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
        if view.figures is None:
            speed = view.speed * self._assumed.tokens_per_s
            wait_s = (view.pending_tokens + uncached) / speed
            wait_s += self._assumed.first_event_s(0, view.running)
        else:
            wait_s = view.figures.first_event_s(
                view.pending_tokens + uncached, view.running
            )
            wait_s /= view.speed
        wait_s += _slot_wait_s(view)
        return _Estimate(
            view,
            uncached,
            wait_s * view.relative_duration,
            self._late_streams(demand, view, uncached),
        )

    def _late_streams(
        self,
        demand: demands.Demand,
        view: server_view.ServerView,
        uncached_tokens: int,
    ) -> float:
        """Return how many streams the prompt probably makes late."""
        if not 0 < demand.pause_target_s < math.inf or not view.running:
            return 0.0
        before = self._late_share(demand, view, view.pending_tokens)
        tokens = view.pending_tokens + uncached_tokens
        after = self._late_share(demand, view, tokens)
        return (after - before) * min(view.running, view.server.slots)

    def _late_share(
        self, demand: demands.Demand, view: server_view.ServerView, tokens: int
    ) -> float:
        """Return the probability that ``tokens`` make a stream late."""
        pause_s = (view.figures or self._assumed).first_event_s(
            min(tokens, _MAX_TOKENS_IN_PAUSE), view.running
        )
        pause_s *= view.relative_duration / view.speed
        safe_s = _SAFE_PAUSE_SHARE * demand.pause_target_s
        share = (pause_s - safe_s) / (demand.pause_target_s - safe_s)
        return max(0.0, min(1.0, share))

    def _cost(self, demand: demands.Demand, estimate: _Estimate) -> tuple:
        cost_s = estimate.first_event_s
        cost_s += _FAILURE_COST_S * estimate.view.failure_share
        cost_s += _running_cost_s(estimate.view)
        cost_s += _LATE_STREAM_COST_S * estimate.late_streams
        cost_s += (
            self._policy.prefill_time_weight
            * estimate.uncached_tokens
            / (estimate.view.figures or self._assumed).tokens_per_s
        )
        server_id = estimate.view.server.id
        return cost_s, rendezvous_hash.weight(demand.request_id, server_id)


def _slot_wait_s(view: server_view.ServerView) -> float:
    """Return the seconds until a slot of an engine is free."""
    ahead = view.running + 1 - view.server.slots
    if ahead <= 0:
        return 0.0
    return _SLOT_OCCUPIED_S * ahead / view.server.slots


def _running_cost_s(view: server_view.ServerView) -> float:
    return (
        _RUNNING_REQUEST_COST_S
        * view.running
        * view.relative_duration
        / view.speed
    )
