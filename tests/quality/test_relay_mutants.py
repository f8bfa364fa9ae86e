"""Disables each safety mechanism of the relay and checks that a test fails."""

import itertools
import math
import re

from foxtailrelay_core import messages
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.relay import answer_head
from foxtailrelay_node.internal.relay.attempts import crash_evidence
from foxtailrelay_node.internal.relay.attempts import http_exchange
from foxtailrelay_node.internal.relay.attempts import progress
from foxtailrelay_node.internal.relay.attempts import request_checks
from foxtailrelay_node.internal.relay.attempts import results
from foxtailrelay_node.internal.relay.attempts import server_end_checker
from foxtailrelay_node.internal.relay.attempts import stream_versions
from foxtailrelay_node.internal.relay.attempts import worker_watch
from foxtailrelay_node.internal.relay.backends import crash_quarantine
from foxtailrelay_node.internal.relay.backends import departure_notices
from foxtailrelay_node.internal.relay.backends import process_signs
from foxtailrelay_node.internal.relay.backends import quiet_periods
from foxtailrelay_node.internal.relay.backends import server_limits
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.backends import version_history
from foxtailrelay_node.internal.relay.catalogue import route
from foxtailrelay_node.internal.relay import clock
from foxtailrelay_node.internal.relay import corrected_clock
from foxtailrelay_node.internal.relay.dispatch import dispatcher
from foxtailrelay_node.internal.relay.dispatch import dispatcher_selector
from foxtailrelay_node.internal.relay.dispatch import limit_allowances
from foxtailrelay_node.internal.relay.duties import duty_log
from foxtailrelay_node.internal.relay.duties import lease_manager
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.duties import usage_reporter
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.http import chunk_decoder
from foxtailrelay_node.internal.relay.http import connection_end
from foxtailrelay_node.internal.relay.http import joined_heads
from foxtailrelay_node.internal.relay.http import request_reader
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.peers import message_age
from foxtailrelay_node.internal.relay.peers import origin_transfer
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.peers import stream_origins
from foxtailrelay_node.internal.relay.peers import topic_exchange
from foxtailrelay_node.internal.relay.policy import answer_end
from foxtailrelay_node.internal.relay.policy import cluster_retry_budget
from foxtailrelay_node.internal.relay.policy import crash_attribution
from foxtailrelay_node.internal.relay.policy import incomplete_requests
from foxtailrelay_node.internal.relay.policy import limit_share
from foxtailrelay_node.internal.relay.policy import model_placer
from foxtailrelay_node.internal.relay.policy import quarantine_probes
from foxtailrelay_node.internal.relay.policy import quota
from foxtailrelay_node.internal.relay.policy import request_fingerprint
from foxtailrelay_node.internal.relay.policy import server_pace
from foxtailrelay_node.internal.relay.policy import speed_estimate
from foxtailrelay_node.internal.relay.policy import stream_position
from foxtailrelay_node.internal.relay.policy import stream_version
from foxtailrelay_node.internal.relay import request_timer
from foxtailrelay_node.internal.relay.state import keyed_view
from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_platform import era_reader
from foxtailrelay_platform import header_format
import pytest
import test_store_restore as restores

from cover.relay import test_answer_memory as answers
from cover.relay import test_broken_off_streams as broken
from cover.relay import test_chunk_decoder as chunks
from cover.relay import test_clocks as clocks
from cover.relay import test_cluster_retry_budget as budgets
from cover.relay import test_crash_attribution as attributions
from cover.relay import test_crash_quarantine as prompts
from cover.relay import test_dispatch as dispatches
from cover.relay import test_early_answers as early
from cover.relay import test_ended_workers as workers
from cover.relay import test_gossip as gossips
from cover.relay import test_joined_heads as joined
from cover.relay import test_keyed_view as views
from cover.relay import test_lease as leases
from cover.relay import test_peer_memory as peer_memories
from cover.relay import test_plain_server_speeds as speeds
from cover.relay import test_quarantine_after_restart as restarted
from cover.relay import test_quota as quotas
from cover.relay import test_repeated_requests as repeats
from cover.relay import test_request_guarantees as checks
from cover.relay import test_request_memory as memories
from cover.relay import test_server_limits as limits
from cover.relay import test_server_list as lists
from cover.relay import test_server_notices as notices
from cover.relay import test_server_pace as paces
from cover.relay import test_stalled_requests as stalled
from cover.relay import test_stalls as stalls
from cover.relay import test_stream_guarantees as streams
from cover.relay import test_stream_versions as versions
from cover.relay import test_uneven_engines as uneven
from cover.relay import test_usage_reporter as reporters


def _always(value):
    return lambda *args, **kwargs: value


_NUMBERS = itertools.count()
_original_record_answer = server_limits.ServerLimits.record_answer


def _keep_limit(self, server, per_s):
    if per_s is not None and per_s < math.inf:
        _original_record_answer(self, server, per_s)


def _count_all(crashes, answered_at_s_by_suspect):
    parts = {
        suspect_id for crash in crashes for suspect_id in crash.suspect_ids
    }
    return dict.fromkeys(parts, list(crashes))


def _always_async(value):
    async def function(*args, **kwargs):
        return value

    return function


async def _never(*_):
    return False


def _set(owner, name, value):
    return lambda patch: patch.setattr(owner, name, value)


_original_wait = worker_watch.WorkerWatch._wait


async def _wait_without_idle_time(self, *arguments):
    idle_s, has_input = await _original_wait(self, *arguments)
    return 0.0 if has_input else idle_s, has_input


def _count_idle_timeouts(patch):
    patch.setattr(answer_end, '_SAME_MOMENT_S', math.inf)
    patch.setattr(worker_watch.WorkerWatch, '_wait', _wait_without_idle_time)


def _run_machine(case):
    return lambda: case('runTest').runTest()


_original_init = http_exchange.HttpExchange.__init__


def _ignore_earlier_attempts(patch):
    def init(self, *args):
        _original_init(self, *args)
        self._may_have_run_before = False

    patch.setattr(http_exchange.HttpExchange, '__init__', init)


_original_replace = keyed_view.KeyedView.replace


def _replace_always(self, newest, as_of_s):
    self.end = min(self.end, newest.end)
    return _original_replace(self, newest, as_of_s)


def _do_not_share_retry_counts(patch):
    budget = cluster_retry_budget.ClusterRetryBudget
    patch.setattr(budget, 'record_peer_attempt_counts', _always(None))
    patch.setattr(budget, 'set_node_count', _always(None))


async def _return_true(self, window, counts):
    return True


async def _do_nothing(self, scope):
    return None


_MUTANTS = {
    'every request may be retried': (
        _set(route.Route, 'is_idempotent', property(_always(True))),
        checks.test_non_idempotent_request_is_never_sent_twice,
    ),
    'a retry ignores that an earlier attempt may have run': (
        _ignore_earlier_attempts,
        checks.test_request_that_may_have_run_is_never_reported_as_not_run,
    ),
    'every success response counts as signed': (
        _set(answer_head.AnswerHead, 'is_signed', property(_always(True))),
        checks.test_unsigned_success_is_not_forwarded,
    ),
    'the request id of a response is not checked': (
        _set(answer_head.AnswerHead, 'request_id', 'r1'),
        checks.test_answer_to_another_request_is_not_forwarded,
    ),
    'the measured speed of a plain server is trusted always': (
        _set(speed_estimate, 'age', _always(0.0)),
        lambda: speeds.test_server_that_is_fast_again_gets_requests(3, 40.0),
    ),
    'nodes with few requests try slow servers as often as others': (
        _set(speed_estimate, '_LIFETIME_REQUESTS', 0.01),
        lambda: speeds.test_server_that_stays_slow_gets_few_requests(9, 10.0),
    ),
    'requests that cannot wait try slow servers': (
        _set(speed_estimate, '_LATE_LIFETIME_FACTOR', 1.0),
        speeds.test_requests_that_cannot_wait_seldom_try_a_slow_server,
    ),
    'implausible figures of peers are used': (
        _set(server_pace, 'MIN_DURATION', 0.0),
        lambda: paces.test_implausible_figure_of_a_peer_is_ignored(0.01),
    ),
    'long prompts are placed whatever streams they make late': (
        _set(model_placer, '_LATE_STREAM_COST_S', 0.0),
        uneven.test_long_prompt_is_not_placed_beside_streams_it_makes_late,
    ),
    'reported figures never age': (
        _set(server_pace, '_HALF_LIFE_S', math.inf),
        paces.test_report_counts_half_after_its_half_life,
    ),
    'connections with unexpected bytes are reused': (
        _set(
            backend_connection.BackendConnection,
            'prepare_reuse',
            lambda self: self._http.start_next_cycle() or True,
        ),
        checks.test_connection_with_extra_bytes_is_not_reused,
    ),
    'an answer is never early': (
        _set(
            backend_connection.BackendConnection,
            '_is_request_incomplete',
            _never,
        ),
        lambda: early.test_answer_is_early_until_its_request_was_received(
            False
        ),
    ),
    'the end after a lost write is an orderly one': (
        lambda patch: patch.setattr(
            connection_end.EndTracker,
            '_is_reset',
            property(_always(False), _always(None)),
            raising=False,
        ),
        early.test_end_after_a_lost_write_is_no_orderly_end,
    ),
    'a head that begins within another one is accepted': (
        _set(joined_heads, 'is_joined', _always(False)),
        joined.test_part_of_a_head_gives_no_length_to_the_next_answer,
    ),
    'a call accepts a head that begins within another one': (
        _set(joined_heads, 'is_joined', _always(False)),
        lambda: joined.test_part_of_a_head_answers_no_call(b'HTTP/1.1 200 '),
    ),
    'the order of events is not checked': (
        _set(
            stream_position.StreamPosition,
            'find_fault',
            _always(''),
        ),
        streams.test_stream_with_a_missing_event_is_aborted,
    ),
    'caller disconnects are not detected': (
        _set(
            caller_connection.CallerConnection,
            '_watch_for_close',
            _do_nothing,
        ),
        streams.test_caller_disconnect_ends_the_work_at_the_server,
    ),
    'suspended time does not count against deadlines': (
        _set(request_timer, '_MIN_PAUSE_S', math.inf),
        checks.test_suspended_time_counts_against_the_deadline,
    ),
    'headers of the caller override those of the relay': (
        _set(header_format, '_SET_BY_RELAY', frozenset()),
        checks.test_relay_sets_its_own_headers_and_does_not_forward_the_key,
    ),
    'an old configuration counts as recent': (
        _set(node_state, '_MAX_CERTAIN_AGE_S', math.inf),
        checks.test_unknown_route_gets_404_only_while_configuration_is_recent,
    ),
    'API keys need no confirmed configuration': (
        _set(node_state.NodeState, 'is_fresh', _always(True)),
        checks.test_no_key_is_accepted_while_configuration_is_stale,
    ),
    'API keys are not checked again before sending': (
        _set(request_checks.RequestChecks, 'recheck_key', _always(None)),
        checks.test_key_revoked_while_connecting_fails_the_request,
    ),
    'servers are not checked again before sending': (
        _set(server_list.ServerList, 'is_usable', _always(True)),
        checks.test_server_that_drains_while_connecting_gets_no_request,
    ),
    'quota of refused requests is not refunded': (
        _set(quota.Quota, 'refund', _always(None)),
        checks.test_refused_request_is_not_counted_against_the_limit,
    ),
    'reservations never expire': (
        _set(dispatcher, '_RESERVATION_TIMEOUT_S', math.inf),
        dispatches.test_reservations_that_are_never_ended_expire,
    ),
    'an unresponsive dispatcher is used for many requests': (
        _set(dispatcher_selector, '_MAX_TIMEOUTS', 9),
        dispatches.test_unresponsive_dispatcher_delays_only_two_requests,
    ),
    'nodes with little CPU can be the dispatcher': (
        _set(dispatcher_selector, '_MIN_CPU_RATIO', 0.0),
        dispatches.test_all_nodes_choose_the_same_powerful_node,
    ),
    'servers that only the dispatcher lists are used': (
        _set(
            server_list.ServerList,
            'find_usable',
            lambda self, name: next(
                iter(self._server_by_id.values())
            )._replace(id=name, host='10.0.0.99'),
        ),
        dispatches.test_server_listed_only_by_the_dispatcher_is_not_used,
    ),
    'lapsed entries are removed at once': (
        _set(server_list, 'LAPSED_RETENTION_S', -1.0),
        lists.test_entry_that_lapses_during_a_store_outage_is_kept,
    ),
    'announced departures are ignored': (
        _set(departure_notices.DepartureNotices, 'is_leaving', _always(False)),
        notices.test_no_request_follows_an_answer_that_announces_departure,
    ),
    'announced departures are not gossiped': (
        _set(departure_notices.DepartureNotices, 'own_notices', _always(())),
        notices.test_peers_receive_a_notice,
    ),
    'quiet periods are ignored': (
        _set(quiet_periods.QuietPeriods, 'remaining_s', _always(0.0)),
        notices.test_no_request_reaches_a_server_in_its_quiet_period,
    ),
    'a dispatcher is not told which engines are quiet': (
        _set(server_list.ServerList, 'withheld_ids', _always(set())),
        notices.test_an_engine_in_its_quiet_period_is_not_dispatched_to,
    ),
    'a request for a pause counts as a failure': (
        _set(results, 'is_blameless', _always(False)),
        notices.test_a_request_for_a_pause_is_no_failure_of_the_server,
    ),
    'the era of the store is ignored': (
        _set(era_reader, '_parse_era', _always(0)),
        restores.test_offsets_of_two_eras_are_never_mistaken_for_each_other,
    ),
    'answers of earlier eras are used': (
        _set(era_reader.EraReader, 'read', lambda self, answer: self.latest),
        restores.test_an_answer_of_an_earlier_era_is_not_used,
    ),
    'a lease outlives a restore': (
        _set(duty_log.DutyLog, 'is_outdated', False),
        restores.test_a_holder_stops_when_any_answer_shows_a_later_era,
    ),
    'a node does not wait for leases that a restore has lost': (
        _set(duty_log.DutyLog, '_record_restore', _always(None)),
        _run_machine(restores.TestRestoredLeaseMachine),
    ),
    'leases of earlier eras are valid': (
        _set(duty_log.DutyLog, '_is_of_era', _always(True)),
        restores.test_a_lease_in_the_copy_does_not_end_the_holders_term,
    ),
    'lost reports are reported anew': (
        _set(usage_reporter.UsageReporter, '_may_be_reported', _always(False)),
        restores.test_another_holder_leaves_out_windows_that_may_be_reported,
    ),
    'a restored entry of a server that left is used': (
        _set(keyed_view.KeyedView, '_was_removed', _always(False)),
        restores.test_a_server_that_left_since_the_copy_is_not_used_again,
    ),
    'a restored entry replaces a newer one': (
        _set(server_list.ServerList, 'order_of', _always(None)),
        restores.test_a_server_that_drains_since_the_copy_stays_unused,
    ),
    'a restore is not treated as an outage': (
        _set(store_health.StoreHealth, 'record_restore', _always(None)),
        restores.test_servers_missing_in_the_copy_are_used_for_a_while,
    ),
    'an entry that lapses is kept for longer than the platform says': (
        _set(server_list, 'LAPSED_RETENTION_S', 2.5),
        lambda: lists.test_entry_removed_after_an_outage_is_not_kept_longer(
            1.6
        ),
    ),
    'a single lost call is an outage': (
        lambda patch: patch.setattr(
            store_health.StoreHealth,
            '_min_outage_s',
            property(_always(0.0), _always(None)),
            raising=False,
        ),
        lists.test_entry_removed_after_a_single_lost_call_is_unusable,
    ),
    'what peers read of the store does not count': (
        _set(store_health.StoreHealth, '_record_served', _always(None)),
        lists.test_entry_removed_while_peers_read_the_store_is_unusable,
    ),
    'a call that fails late prolongs an outage': (
        _set(store_health.StoreHealth, '_served_at_s', _always(-math.inf)),
        lambda: lists.test_call_that_fails_late_does_not_prolong_an_outage(
            False
        ),
    ),
    'configurations lost in a restore are not taken from peers': (
        _set(topic_exchange.TopicExchange, '_is_lost_version', _always(False)),
        restores.test_a_node_that_starts_after_a_restore_asks_a_peer,
    ),
    'a node that starts after a restore trusts the copy': (
        _set(node_state.NodeState, '_may_be_restored_copy', _always(False)),
        restores.test_a_node_without_peers_refuses_keys_right_after_a_restore,
    ),
    'older copies replace newer ones': (
        _set(keyed_view.KeyedView, 'replace', _replace_always),
        _run_machine(views.TestTopicMachine),
    ),
    'spending at peers does not count against limits': (
        _set(quota.Quota, 'record_peer_spends', _always(None)),
        quotas.test_an_organisation_far_over_its_limit_is_held_to_it,
    ),
    'both sides of a network partition have the whole limit': (
        _set(quota.Quota, 'set_reachable_share', _always(None)),
        quotas.test_both_sides_of_a_partition_together_keep_the_limit,
    ),
    'new nodes that have not reached each other have the whole limit': (
        lambda patch: patch.setattr(
            quota.Quota, '_current_share', lambda self, now_s: self._share
        ),
        quotas.test_nodes_that_restart_apart_keep_the_limit_together,
    ),
    'new nodes that have just met each take the rest of a limit': (
        _set(quota.Quota, '_is_settling', _always(False)),
        quotas.test_nodes_that_have_just_met_keep_the_limit_together,
    ),
    'a record lacks what is spent before the next one': (
        _set(quota.Quota, '_expected', _always((0, 0, 0))),
        quotas.test_a_record_counts_what_is_spent_before_the_next_one,
    ),
    'the record of what all nodes spent is not used': (
        _set(quota.Quota, 'record_earlier_spends', _always(None)),
        quotas.test_a_restart_of_all_nodes_at_any_time_keeps_the_limit,
    ),
    'what an ended start spent is forgotten by the nodes after it': (
        _set(peer_table.PeerTable, 'merge_ended', _always(None)),
        gossips.test_a_new_node_learns_what_starts_that_have_ended_had_spent,
    ),
    'a restarted node has the whole limit': (
        lambda patch: patch.setattr(
            quota.Quota,
            '_limit',
            lambda self, organisation, window_s, now_s: (
                organisation.rate_per_s * window_s + organisation.burst
            ),
        ),
        quotas.test_a_restart_of_all_nodes_does_not_double_the_limit,
    ),
    'nodes do not share the retry budget': (
        _do_not_share_retry_counts,
        budgets.test_retries_stay_within_the_budget_while_every_attempt_fails,
    ),
    'a lease is acquired before it expires': (
        _set(lease_view.LeaseView, 'age_s', _always(math.inf)),
        _run_machine(leases.TestLeaseMachine),
    ),
    'a holder acts after its lease has expired': (
        _set(lease_manager, '_STOP_EARLY_S', -3.0),
        leases.test_the_lease_of_a_failed_node_is_taken_over_in_time,
    ),
    'a usage report is sent before it is stored': (
        _set(usage_reporter.UsageReporter, '_append_report', _return_true),
        reporters.test_the_next_lease_holder_repeats_a_report_exactly,
    ),
    'the age of data from peers is ignored': (
        lambda patch: patch.setattr(message_age, 'age_ms', _always(0)),
        gossips.test_a_copy_from_a_peer_is_no_fresher_than_at_the_peer,
    ),
    'answers do not clear parts of prompts': (
        _set(crash_quarantine.CrashQuarantine, 'record_answer', _always(0)),
        prompts.test_answer_releases_a_part,
    ),
    'nodes keep crashes to themselves': (
        _set(crash_quarantine.CrashQuarantine, 'build_crashes', _always(())),
        prompts.test_nodes_that_see_one_crash_each_reach_a_verdict_together,
    ),
    'quarantines are not passed on': (
        _set(
            crash_quarantine.CrashQuarantine,
            'build_quarantined',
            _always(()),
        ),
        prompts.test_node_that_starts_minutes_later_learns_the_part,
    ),
    'answers at other nodes do not clear parts': (
        _set(crash_quarantine.CrashQuarantine, 'build_answered', _always(())),
        prompts.test_part_answered_at_a_peer_needs_more_crashes,
    ),
    'a crash is blamed on every part of its prompt': (
        _set(crash_attribution, '_count', _count_all),
        attributions.test_victim_of_all_crashes_is_not_blamed,
    ),
    'victims stay in quarantine once the cause is known': (
        _set(
            crash_quarantine.CrashQuarantine,
            '_release_explained',
            _always(None),
        ),
        prompts.test_part_whose_crashes_another_one_explains_is_released,
    ),
    'a reset connection counts as an ended server': (
        _set(
            server_end_checker.ServerEndChecker,
            '_check_address',
            _always_async((server_end_checker.ServerCheck.ENDED, 'always')),
        ),
        prompts.test_reset_connection_of_a_running_engine_is_not_blamed,
    ),
    'announced ends of servers are blamed on prompts': (
        _set(departure_notices.DepartureNotices, 'is_leaving', _always(False)),
        prompts.test_engine_that_announced_its_end_is_not_blamed_on_the_prompt,
    ),
    'long answers are blamed for the end of their server': (
        _set(crash_evidence, '_PROMPT_CRASH_DELAY_S', math.inf),
        prompts.test_engine_that_ends_late_in_an_answer_is_not_blamed,
    ),
    'a prompt that a server outlived is cleared by whole answers only': (
        _set(crash_evidence.CrashEvidence, '_record_survival', _always(None)),
        prompts.test_part_that_an_engine_outlived_is_not_blamed,
    ),
    'answers that end with their connection are not checked': (
        _set(
            backend_connection,
            '_find_framing',
            _always(backend_connection.Framing.CHUNKS),
        ),
        prompts.test_close_delimited_stream_of_a_crashed_engine_is_blamed,
    ),
    'ends of workers are not noticed': (
        _set(process_signs.ProcessSignsTable, 'record_lost', _always(None)),
        workers.test_stream_of_a_worker_that_ended_goes_on_at_another_server,
    ),
    'idle timeouts count as ends of workers': (
        _count_idle_timeouts,
        workers.test_stream_outlives_an_idle_connection_of_its_server,
    ),
    'requests are known again by their id': (
        _set(
            request_fingerprint,
            'fingerprint',
            lambda *fields: f'request:{next(_NUMBERS)}',
        ),
        repeats.test_fourth_request_is_refused_at_once_as_not_run,
    ),
    'bodies of a caller are not told apart': (
        _set(
            request_fingerprint,
            'fingerprint',
            lambda caller, method, target, body: f'request:{caller}{target}',
        ),
        repeats.test_other_requests_are_served,
    ),
    'servers that close new connections count as running': (
        _set(server_end_checker, '_CLOSE_TIMEOUT_S', 0.0),
        repeats.test_server_that_closes_new_connections_has_ended,
    ),
    'servers that have started again are not noticed': (
        _set(server_list.ServerList, 'is_replaced', _always(False)),
        repeats.test_server_that_has_started_again_had_ended,
    ),
    'errors of grey servers clear a request': (
        _set(crash_evidence, '_FIRST_SERVER_ERROR', 600),
        repeats.test_errors_of_a_server_do_not_clear_a_request,
    ),
    'common parts stay in quarantine until its end': (
        _set(quarantine_probes, 'may_probe', _always(False)),
        prompts.test_common_part_is_released_by_the_answer_to_a_single_request,
    ),
    'common parts of a cluster that has just started stay in quarantine': (
        _set(quarantine_probes, 'MIN_OBSERVED_S', 0.0),
        restarted.test_common_part_is_probed_after_all_nodes_restarted,
    ),
    'rare parts of a cluster that has just started are probed': (
        _set(quarantine_probes, '_MIN_REQUEST_SHARE', 0.0),
        restarted.test_rare_cause_is_not_probed_after_all_nodes_restarted,
    ),
    'parts that end a server under a probe are probed again': (
        _set(quarantine_probes, 'may_probe', _always(True)),
        prompts.test_part_that_ends_one_more_server_is_not_probed_again,
    ),
    'polls at every server are blamed for two crashing requests': (
        _set(
            crash_attribution,
            '_prefer_unanswered',
            lambda blamed, *_: blamed,
        ),
        attributions.test_poll_at_the_crashes_of_two_requests_is_not_blamed,
    ),
    'streams go on at any version': (
        _set(stream_version.VersionRequirement, 'allows', _always(True)),
        versions.test_stream_goes_on_at_its_version_only,
    ),
    'a stream without a known version goes on anywhere': (
        _set(
            stream_versions.StreamVersions, 'exclude_servers', _always(set())
        ),
        lambda: versions.test_stream_of_an_unknown_origin_is_refused_at_once(
            ('Last-Event-Id: 2',), 'k1', b'prompt'
        ),
    ),
    'nodes keep the origins of streams to themselves': (
        _set(
            stream_origins.StreamOrigins,
            'record',
            lambda self, origin: self.store(origin),
        ),
        lambda: versions.test_any_node_finds_the_origin_after_two_have_failed(
            7
        ),
    ),
    'nodes that start again are not sent the origins that they held': (
        _set(
            origin_transfer.OriginTransfer,
            'send_to_new_holders',
            _always_async(None),
        ),
        lambda: versions.test_origin_outlives_restarts_of_all_nodes_in_turn(4),
    ),
    'servers that ended while a node stood still ended when it woke': (
        _set(clock.Clock, 'happened_s', lambda self: self.boot_s()),
        stalls.test_servers_that_end_together_blame_nothing_after_a_stall,
    ),
    'a killed node keeps its places': (
        _set(dispatcher.Dispatcher, 'record_disconnect', _always(None)),
        lambda: dispatches.test_reservations_of_a_node_end_with_its_process(
            True, False, 1, 0
        ),
    ),
    'a node that is cut off from the dispatcher loses its places': (
        _set(peer_table.PeerTable, 'is_reporting', _always(False)),
        lambda: dispatches.test_reservations_of_a_node_end_with_its_process(
            True, True, 1, 3
        ),
    ),
    'a stream may end where a server broke it off in an event': (
        _set(stream_versions.StreamVersions, 'record_break', _always(None)),
        lambda: broken.test_stream_does_not_end_before_an_event_that_had_begun(
            b'i', False
        ),
    ),
    'a server is not checked again before a stream is sent to it': (
        _set(progress.Progress, 'may_use', _always(True)),
        versions.test_server_listed_while_another_is_chosen_is_not_used,
    ),
    'all nodes receive all origins': (
        _set(stream_origins, '_HOLDER_COUNT', 1000),
        versions.test_messages_and_memory_are_bounded_at_the_planned_size,
    ),
    'a version is the sole one whatever was listed': (
        _set(version_history.VersionHistory, 'find_sole', _always('v1')),
        versions.test_sole_version_needs_a_time_without_another_one,
    ),
    'nodes do not share the limit of a server': (
        _set(limit_share, 'limit_share', _always(1.0)),
        lambda: limits.test_nodes_without_a_dispatcher_keep_the_limit(
            0, 1.0, 66, 3.0
        ),
    ),
    'the limit of a server is ignored': (
        _set(limit_allowances.LimitAllowances, 'wait_s', _always(0.0)),
        limits.test_requests_beyond_a_limit_go_to_another_server,
    ),
    'a limit that is no longer named stays': (
        _set(server_limits.ServerLimits, 'record_answer', _keep_limit),
        lambda: limits.test_raised_limit_and_end_of_a_limit_are_used(0),
    ),
    'a limit of zero is never tried again': (
        _set(limit_allowances, '_MIN_PER_S', 0.0),
        lambda: limits.test_raised_limit_and_end_of_a_limit_are_used(0),
    ),
    'a dispatcher that does not know a limit is followed': (
        _set(messages.PlaceAnswer, 'is_counted', True),
        dispatches.test_node_knows_a_limit_that_the_dispatcher_does_not,
    ),
    'answers are held whatever the budget has': (
        _set(memory_budget.MemoryBudget, 'grant', _always(True)),
        answers.test_answer_without_a_length_and_without_room_is_not_begun,
    ),
    'memory of answers is never given back': (
        _set(progress.Progress, 'close_answer', _always(None)),
        answers.test_memory_of_an_answer_is_free_again_when_its_caller_leaves,
    ),
    'connections hold requests without a bound': (
        _set(memory_budget.MemoryBudget, 'grant', _always(True)),
        memories.test_unfinished_heads_are_held_within_the_budget,
    ),
    'peers send messages without a bound': (
        _set(memory_budget.MemoryBudget, 'grant', _always(True)),
        peer_memories.test_unfinished_messages_are_held_within_the_budget,
    ),
    'bodies without room are read': (
        _set(request_reader.RequestReader, 'has_room_for', _always(True)),
        lambda: memories.test_body_without_room_is_refused_before_it_is_sent(
            ()
        ),
    ),
    'stalled requests are kept': (
        _set(
            incomplete_requests.IncompleteRequests,
            'find_longest_stalled',
            _always(None),
        ),
        stalled.test_longest_stalled_body_is_dropped_for_a_new_one,
    ),
    'extensions of chunks may hold control characters': (
        _set(
            chunk_decoder,
            '_HEADER',
            re.compile(rb'([0-9A-Fa-f]{1,20})(;.*?)?\r\n', re.DOTALL),
        ),
        lambda: chunks.test_control_characters_in_extensions_are_refused(
            b'1;\x00\r\nx\r\n'
        ),
    ),
    'jumps of the wall clock are followed': (
        _set(corrected_clock, '_MAX_DRIFT_S', math.inf),
        clocks.test_jump_of_the_wall_clock_is_ignored,
    ),
}


@pytest.mark.parametrize('name', _MUTANTS)
def test_check_fails_on_mutant(name, monkeypatch):
    apply, check = _MUTANTS[name]
    apply(monkeypatch)
    with pytest.raises(BaseException):
        check()
