"""Which requests are admitted while no engine can be on time."""

from foxtailrelay_core import errors
from foxtailrelay_core import settings
from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_node.internal.routing import decision
from foxtailrelay_node.internal.routing import engine_state
from foxtailrelay_node.internal.routing import fair_share
from foxtailrelay_node.internal.routing import overload_guard
import trio

from common import virtual_time

_GO = overload_guard.Admission.GO
_WAIT = overload_guard.Admission.WAIT


def _demand(is_batch=False, within_s=300.0):
    return decision.ModelDemand('r', 's', 1000, [], 100, is_batch, within_s)


def _decision(first_token_s, is_on_time):
    backend = options.Backend('s', 'h', 1, 'a')
    engine = engine_state.EngineState('e1', backend)
    estimate = decision.Estimate(engine, first_token_s, 100.0, 0.0)
    return decision.Decision(estimate, 'test', (estimate,), is_on_time)


def _run(function):
    async def scenario():
        function(overload_guard.OverloadGuard(settings.RoutingSettings()))

    virtual_time.run(scenario)


def test_large_organisation_is_refused_and_small_one_served():
    def scenario(guard):
        for _ in range(20):
            guard.admit('large', _demand(), _decision(0.1, True))
        assert guard.admit('small', _demand(), _decision(1.0, False)) is _GO
        refused = guard.admit('large', _demand(), _decision(1.0, False))
        assert refused.kind is errors.ErrorKind.OVERLOADED
        assert refused.effective_outcome is errors.Outcome.NOT_RUN
        assert refused.effective_retry_after_s >= 1

    _run(scenario)


def test_all_requests_are_refused_far_beyond_the_target():
    def scenario(guard):
        refused = guard.admit('small', _demand(), _decision(5.0, False))
        assert refused.kind is errors.ErrorKind.OVERLOADED

    _run(scenario)


def test_all_requests_are_admitted_while_engines_are_on_time():
    def scenario(guard):
        for _ in range(20):
            assert guard.admit('a', _demand(), _decision(0.1, True)) is _GO

    _run(scenario)


def test_batch_requests_wait_until_their_deadline_is_near():
    def scenario(guard):
        busy = _decision(2.0, False)
        assert guard.admit('a', _demand(True), busy) is _WAIT
        assert guard.admit('a', _demand(True, 30.0), busy) is _GO
        assert guard.admit('a', _demand(True), _decision(0.1, True)) is _GO

    _run(scenario)


def test_recorded_use_decays_with_time():
    async def scenario():
        shares = fair_share.FairShare()
        shares.record_use('a', 10_000)
        shares.record_use('b', 1000)
        assert shares.exceeds_share('a')
        assert not shares.exceeds_share('b')
        await trio.sleep(60)
        shares.record_use('b', 1000)
        shares.record_use('c', 500)
        assert shares.exceeds_share('b')
        assert not shares.exceeds_share('a')

    virtual_time.run(scenario)
