"""Each safety mechanism of the relay, switched off, is noticed by a test."""

import math

from foxtailrelay_node.internal.relay import answer_head
from foxtailrelay_node.internal.relay.attempts import attempts
from foxtailrelay_node.internal.relay.attempts import exchange
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.catalogue import route
from foxtailrelay_node.internal.relay.policies import quota
from foxtailrelay_node.internal.relay.policies import cluster_retry_budget
from foxtailrelay_node.internal.relay.dispatch import dispatcher
from foxtailrelay_node.internal.relay.dispatch import dispatcher_choice
from foxtailrelay_node.internal.relay.duties import lease_manager
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.duties import usage_reporter
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.peers import news
from foxtailrelay_node.internal.relay import request_timer
from foxtailrelay_node.internal.relay.state import keyed_view
from foxtailrelay_node.internal.relay import true_time
from foxtailrelay_platform import header_format
import pytest

from cover.relay import test_clocks as clocks
from cover.relay import test_dispatch as dispatches
from cover.relay import test_keyed_view as views
from cover.relay import test_lease as leases
from cover.relay import test_news as newses
from cover.relay import test_quota as quotas
from cover.relay import test_cluster_retry_budget as budgets
from cover.relay import test_request_promises as promises
from cover.relay import test_server_list as lists
from cover.relay import test_stream_promises as streams
from cover.relay import test_usage_reporter as reporters


def _always(value):
    return lambda *args, **kwargs: value


def _set(owner, name, value):
    return lambda patch: patch.setattr(owner, name, value)


def _run_machine(case):
    return lambda: case('runTest').runTest()


_begin_exchange = exchange.Exchange.__init__


def _forget_runs(patch):
    def begin(self, *args):
        _begin_exchange(self, *args)
        self._had_run_before = False

    patch.setattr(exchange.Exchange, '__init__', begin)


_replace_copy = keyed_view.KeyedView.replace


def _replace_always(self, newest, as_of_s):
    self.end = min(self.end, newest.end)
    return _replace_copy(self, newest, as_of_s)


def _do_not_share_repeats(patch):
    budget = cluster_retry_budget.ClusterRetryBudget
    patch.setattr(budget, 'record_peer_attempt_counts', _always(None))
    patch.setattr(budget, 'set_node_count', _always(None))


async def _kept(self, window, counts):
    return True


async def _watch_nothing(self, scope):
    return None


_MUTANTS = {
    'every request may be repeated': (
        _set(route.Route, 'is_idempotent', property(_always(True))),
        promises.test_a_non_idempotent_request_is_never_sent_twice,
    ),
    'a repeat forgets that the request may have run': (
        _forget_runs,
        promises.test_what_may_have_run_is_never_told_as_not_run,
    ),
    'every success counts as signed': (
        _set(answer_head.AnswerHead, 'is_signed', property(_always(True))),
        promises.test_a_success_without_signature_is_not_passed_on,
    ),
    'the id of an answer is not looked at': (
        _set(answer_head.AnswerHead, 'request_id', 'r1'),
        promises.test_an_answer_to_another_request_is_not_passed_on,
    ),
    'connections are reused with extra bytes': (
        _set(
            backend_connection.BackendConnection,
            'prepare_reuse',
            lambda self: self._http.start_next_cycle() or True,
        ),
        promises.test_a_connection_with_extra_bytes_is_not_used_again,
    ),
    'the order of events is not looked at': (
        _set(exchange.Exchange, '_in_order', lambda self, events: events),
        streams.test_a_stream_with_a_gap_is_broken_off,
    ),
    'callers that leave are not noticed': (
        _set(
            caller_connection.CallerConnection,
            '_watch_for_close',
            _watch_nothing,
        ),
        streams.test_a_caller_that_leaves_ends_the_work_at_the_server,
    ),
    'time while suspended does not count': (
        _set(request_timer, '_SMALLEST_PAUSE_S', math.inf),
        promises.test_time_while_suspended_counts_against_the_deadline,
    ),
    'headers of the caller go before those of the relay': (
        _set(header_format, '_SET_BY_RELAY', frozenset()),
        promises.test_the_relay_sets_its_own_headers_and_keeps_the_key,
    ),
    'an old configuration is certain': (
        _set(node_state, '_CERTAIN_S', math.inf),
        promises.test_an_unknown_route_is_refused_only_while_that_is_certain,
    ),
    'keys need no proof': (
        _set(node_state.NodeState, 'is_proved', _always(True)),
        promises.test_no_key_is_served_without_proof,
    ),
    'keys are not looked at again before sending': (
        _set(attempts.Attempts, '_refuse_key', _always(None)),
        promises.test_a_key_revoked_while_connecting_ends_the_request,
    ),
    'servers are not looked at again before sending': (
        _set(server_list.ServerList, 'is_usable', _always(True)),
        promises.test_a_server_that_leaves_while_connecting_gets_no_request,
    ),
    'units of refused requests are kept': (
        _set(quota.Quota, 'refund', _always(None)),
        promises.test_a_refused_request_counts_nothing_against_the_limit,
    ),
    'entries of the dispatcher never expire': (
        _set(dispatcher, '_LONGEST_ENTRY_S', math.inf),
        dispatches.test_requests_that_nobody_ends_do_not_count_for_ever,
    ),
    'a dispatcher that does not answer is asked again': (
        _set(dispatcher_choice, '_MOST_SILENCES', 9),
        dispatches.test_a_silent_dispatcher_costs_a_fifth_of_a_second_twice,
    ),
    'weak nodes dispatch': (
        _set(dispatcher_choice, '_STRONG_PART', 0.0),
        dispatches.test_all_nodes_choose_the_same_strong_node,
    ),
    'the dispatcher is followed without a look at the own list': (
        _set(
            server_list.ServerList,
            'find',
            lambda self, name: next(
                iter(self._server_by_id.values())
            )._replace(id=name, host='10.0.0.99'),
        ),
        dispatches.test_a_server_that_only_the_dispatcher_lists_is_not_used,
    ),
    'a lapse counts as a removal': (
        _set(server_list, 'LAPSE_KEEP_S', -1.0),
        lists.test_an_entry_that_lapses_while_the_store_is_away_is_kept,
    ),
    'older copies are taken': (
        _set(keyed_view.KeyedView, 'replace', _replace_always),
        _run_machine(views.TestTopicMachine),
    ),
    'peers do not count against limits': (
        _set(quota.Quota, 'record_peer_spends', _always(None)),
        quotas.test_an_organisation_far_beyond_its_limit_is_held_to_it,
    ),
    'both sides of a cut have the whole limit': (
        _set(quota.Quota, 'set_reachable_share', _always(None)),
        quotas.test_both_sides_of_a_cut_together_keep_the_limit,
    ),
    'a start is taken to know what was spent': (
        lambda patch: patch.setattr(
            quota.Quota,
            '_limit',
            lambda self, holder, window_s, now_s: (
                holder.rate_per_s * window_s + holder.burst
            ),
        ),
        quotas.test_a_restart_of_all_nodes_does_not_double_the_limit,
    ),
    'nodes do not share the budget of repeats': (
        _do_not_share_repeats,
        budgets.test_repeats_stay_within_the_budget_while_every_try_fails,
    ),
    'a lease is taken over at once': (
        _set(lease_view.LeaseView, 'age_s', _always(math.inf)),
        _run_machine(leases.TestLeaseMachine),
    ),
    'a holder acts until its lease is long over': (
        _set(lease_manager, '_STOP_EARLY_S', -3.0),
        leases.test_a_lease_of_a_node_that_is_gone_is_taken_over_in_time,
    ),
    'a report is sent before it is kept': (
        _set(usage_reporter.UsageReporter, '_append_report', _kept),
        reporters.test_a_successor_repeats_a_report_exactly,
    ),
    'what peers tell counts as known now': (
        lambda patch: patch.setattr(news, '_age_ms', _always(0)),
        newses.test_what_a_peer_tells_is_dated_no_later_than_the_peer_knew_it,
    ),
    'jumps of the time of day are followed': (
        _set(true_time, '_LARGEST_DRIFT_S', math.inf),
        clocks.test_a_jump_of_the_time_of_day_is_ignored,
    ),
}


@pytest.mark.parametrize('name', _MUTANTS)
def test_the_mutant_is_noticed(name, monkeypatch):
    apply, check = _MUTANTS[name]
    apply(monkeypatch)
    with pytest.raises(BaseException):
        check()
