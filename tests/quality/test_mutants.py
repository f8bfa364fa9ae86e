"""Disables each safety mechanism and checks that a scenario then fails.

A mechanism that no scenario depends on would be superfluous or untested.
"""

import pathlib

from foxtailrelay_node.internal.callers import caller_answer
from foxtailrelay_node.internal.callers import model_dispatcher
from foxtailrelay_node.internal.catalogue import catalogue_state
from foxtailrelay_node.internal.clients import engine_outcomes
from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_node.internal.ledger import partition
from foxtailrelay_node.internal.ledger import reconciler
from foxtailrelay_node.internal.ledger import record
from foxtailrelay_node.internal.ledger import sender
from foxtailrelay_node.internal.members import link_manager
from foxtailrelay_node.internal import node as nodes
from foxtailrelay_node.internal.placement import placement_controller
from foxtailrelay_node.internal import reclaim_notice_watcher
from foxtailrelay_node.internal.streams import batch_writer
from foxtailrelay_node.internal.streams import write_outcomes
import pytest

from common import fake_backends
from common import fake_engines
from common import scenario
from common import virtual_time

_SCENARIOS = pathlib.Path(__file__).parent.parent.joinpath(
    'cover', 'scenarios'
)


async def _do_nothing(*args, **kwargs):
    return None


def _without_ownership_check(patch):
    patch.setattr(partition.Partition, 'holds', lambda *args: True)


def _without_dispatch_record(patch):
    original = partition.Partition.write

    async def write(self, kind, *args, **fields):
        if kind is record.RecordKind.DISPATCHING:
            return write_outcomes.Written(0)
        return await original(self, kind, *args, **fields)

    patch.setattr(partition.Partition, 'write', write)
    patch.setattr(partition.Partition, 'holds', lambda *args: True)


def _without_release(patch):
    patch.setattr(reconciler.Reconciler, '_release', _do_nothing)


def _without_takeover(patch):
    patch.setattr(reconciler.Reconciler, '_take_over', _do_nothing)


def _without_cancelling_abandoned_claims(patch):
    patch.setattr(
        reconciler.Reconciler, '_cancel_abandoned_claim', _do_nothing
    )


def _without_resolving_unconfirmed_appends(patch):
    async def resolve_unconfirmed(self, applied, cause):
        return write_outcomes.WriteUnconfirmed(cause)

    patch.setattr(
        batch_writer.BatchWriter, '_resolve_unconfirmed', resolve_unconfirmed
    )


def _without_status_query(patch):
    patch.setattr(sender.Sender, 'query_answer', _do_nothing)


def _with_retry_after_unclear_outcome(patch):
    original = fake_backends.FakeBackends.call

    async def call(self, address, backend_call):
        outcome = await original(self, address, backend_call)
        if isinstance(outcome, http_outcomes.Unclear):
            return http_outcomes.NotSent(outcome.cause)
        return outcome

    patch.setattr(fake_backends.FakeBackends, 'call', call)


def _without_unknown_outcome_after_forwarding(patch):
    patch.setattr(caller_answer.CallerAnswer, 'is_not_run', False)


def _without_revision_check(patch):
    patch.setattr(
        catalogue_state.CatalogueState, '_check_conflict', lambda *args: None
    )


def _without_configuration_exchange(patch):
    async def merge_only(self, link, answer):
        self._membership.merge(answer.members)

    patch.setattr(link_manager.LinkManager, '_handle_heartbeat', merge_only)


def _with_broken_stream_as_complete(patch):
    original = model_dispatcher.ModelDispatcher._forward_events

    async def forward_events(self, *args):
        await original(self, *args)
        return engine_outcomes.StreamEnd()

    patch.setattr(
        model_dispatcher.ModelDispatcher, '_forward_events', forward_events
    )


def _without_reclaim_notices(patch):
    patch.setattr(
        reclaim_notice_watcher.ReclaimNoticeWatcher, 'run', _do_nothing
    )


def _without_drain(patch):
    patch.setattr(nodes.Node, '_drain', _do_nothing)


def _without_fencing_numbers(patch):
    original = fake_engines.FakeEngines.send_order

    async def order(self, address, fencing, action, argument):
        return await original(self, address, 10**9, action, argument)

    patch.setattr(fake_engines.FakeEngines, 'send_order', order)


def _without_order_expiry(patch):
    patch.setattr(
        placement_controller.PlacementController,
        '_is_order_expired',
        lambda *args: False,
    )


_MUTANTS = [
    (_without_ownership_check, 'cut-node'),
    (_without_dispatch_record, 'cut-node'),
    (_without_release, 'accepted-while-leaving'),
    (_without_takeover, 'accepted-survives-kill'),
    (_without_cancelling_abandoned_claims, 'log-very-slow'),
    (_without_resolving_unconfirmed_appends, 'log-answer-lost'),
    (_without_status_query, 'backend-answer-lost'),
    (_with_retry_after_unclear_outcome, 'silent-backend'),
    (_without_unknown_outcome_after_forwarding, 'forwarded-then-silent'),
    (_without_revision_check, 'operators-race'),
    (_without_configuration_exchange, 'drained-backend'),
    (_without_fencing_numbers, 'paused-leader'),
    (_without_order_expiry, 'paused-leader-no-fencing'),
    (_with_broken_stream_as_complete, 'engine-dies'),
    (_without_reclaim_notices, 'leaving-backend'),
    (_without_drain, 'graceful-stop'),
]


@pytest.mark.parametrize(
    'mutate, name', _MUTANTS, ids=[m.__name__[1:] for m, _ in _MUTANTS]
)
def test_scenario_fails_without_mechanism(mutate, name, monkeypatch):
    text = _SCENARIOS.joinpath(f'{name}.scn').read_text()
    mutate(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup)) as caught:
        virtual_time.run(
            scenario.ScenarioRunner(scenario.Scenario.from_text(text)).run
        )
    assert _is_check_failure(caught.value)


def _is_check_failure(error):
    """Return whether a check failed, rather than the test itself."""
    if isinstance(error, ExceptionGroup):
        return any(_is_check_failure(e) for e in error.exceptions)
    return isinstance(error, AssertionError)
