"""Disables what keeps streams and answers whole; a test must fail."""

from foxtailrelay_node.internal.callers import stream_end
from foxtailrelay_node.internal.relay import answer_head
from foxtailrelay_node.internal.relay.attempts import answer_forwarder
from foxtailrelay_node.internal.relay.attempts import attempt_runner
from foxtailrelay_node.internal.relay.attempts import end_prover
from foxtailrelay_node.internal.relay.attempts import health_prober
from foxtailrelay_node.internal.relay.attempts import instance_prover
from foxtailrelay_node.internal.relay.attempts import progress
from foxtailrelay_node.internal.relay.attempts import server_end_checker
from foxtailrelay_node.internal.relay.backends import health_check
from foxtailrelay_node.internal.relay.backends import instance_report
from foxtailrelay_node.internal.relay.backends import missing_reports
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.backends import unlisted_processes
from foxtailrelay_node.internal.relay.backends import version_history
from foxtailrelay_node.internal.relay.catalogue import route_history
from foxtailrelay_node.internal.relay.http import answer_state
from foxtailrelay_node.internal.relay.http import answer_writer
from foxtailrelay_node.internal.relay.http import event_splitter
from foxtailrelay_node.internal.relay.http import output_flush
from foxtailrelay_node.internal.relay.peers import stream_origins
from foxtailrelay_node.internal.relay.policy import answer_end
from foxtailrelay_node.internal.relay.policy import deadline_end
from foxtailrelay_node.internal.relay.policy import event_steps
from foxtailrelay_node.internal.relay.policy import stream_position
from foxtailrelay_node.internal.relay.policy import stream_start
from foxtailrelay_node.internal.relay import request_relay
import hypothesis
import pytest

from cover.relay import test_answer_writes as writes
from cover.relay import test_broken_off_streams as broken
from cover.relay import test_closing_answers as closings
from cover.relay import test_doubted_ends as ends
from cover.relay import test_ending_processes as ending
from cover.relay import test_event_steps as steps
from cover.relay import test_missing_reports as missing
from cover.relay import test_out_of_step_lists as out_of_step
from cover.relay import test_replaced_instances as replaced
from cover.relay import test_shared_signs as signs
from cover.relay import test_stream_endings as endings
from cover.relay import test_stream_starts as starts
from cover.relay import test_stream_versions as versions
from cover.relay import test_unlisted_processes as unlisted
from cover import test_stream_end as marks


_HEALTHY = health_check.HealthCheck.HEALTHY
_PROVED = instance_report.InstanceProof.PROVED


def _always(value):
    return lambda *args, **kwargs: value


async def _find_nothing(self):
    return None


async def _find_whole(self):
    return answer_end.EndVerdict.FRAMED


async def _prove_anything(*args):
    return instance_prover.InstanceCheck(_PROVED)


async def _find_healthy(*args):
    return health_prober.ProcessCheck(_HEALTHY, has_lived_on=True)


async def _find_unproved(*args):
    return health_prober.ProcessCheck(_HEALTHY)


async def _is_listed(*args):
    return True


async def _do_nothing(*args):
    return None


def _begin_whole(self, is_last):
    self.phase = (
        answer_state.AnswerPhase.WHOLE
        if is_last
        else answer_state.AnswerPhase.PART
    )
    self._is_writing = True
    self._is_last = is_last


def _begin_interim_as_final(self):
    self.phase = answer_state.AnswerPhase.PART
    self._is_writing = True
    self._is_last = False


_original_find_fault = stream_position.StreamPosition.find_fault


def _stay_certain(self, event):
    fault = _original_find_fault(self, event)
    self.is_certain = True
    return fault


def _not_joined(continuation):
    return lambda: (
        endings.test_answer_that_does_not_continue_a_stream_is_not_joined(
            continuation
        )
    )


def _check_ending_process_without_reports():
    """Check what connections alone show; a report would show it as well."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            instance_prover.InstanceProver, 'check_server', _prove_anything
        )
        patch.setattr(health_prober.HealthProber, 'check', _find_unproved)
        ends.test_end_of_an_answer_is_not_believed_of_an_ending_process(
            '/once/x'
        )


async def _confirm_nothing(*args):
    return True


_MUTANTS = {
    'silence of all peers says that they know nothing': (
        (stream_origins._Asked, 'is_isolated', False),
        lambda: out_of_step.test_isolated_node_names_no_version(
            3, True, 'silent'
        ),
    ),
    'a route that was never read has led nowhere': (
        (route_history.RouteHistory, 'restart', _always(None)),
        lambda: (
            out_of_step.test_stream_of_a_route_that_was_not_read_is_not_joined(
                'snapshot'
            )
        ),
    ),
    'a version that was never read was not listed': (
        (version_history.VersionHistory, 'restart', _always(None)),
        lambda: (
            out_of_step.test_stream_of_a_version_that_has_gone_is_not_joined(
                'peer', False
            )
        ),
    ),
    'a list that was read before a take-up names the version': (
        (server_list.ServerList, 'confirm', _confirm_nothing),
        lambda: out_of_step.test_stream_of_an_unread_version_is_not_joined(
            1.0, 'answers', ('Last-Event-Id: 2',)
        ),
    ),
    'an answer counts as sent when it is encoded': (
        (answer_state.AnswerState, 'begin_write', _begin_whole),
        lambda: writes.run_machine((hypothesis.Phase.generate,)),
    ),
    'an interim answer counts as the begin of the final one': (
        (
            answer_state.AnswerState,
            'begin_interim_write',
            _begin_interim_as_final,
        ),
        writes.test_answers_follow_after_100_continue,
    ),
    'a part of an answer is closed in an orderly way': (
        (answer_state.AnswerState, 'is_cut', False),
        writes.test_answer_that_is_cut_resets_its_connection,
    ),
    'the deadline cuts an answer that is ready': (
        (
            answer_writer.AnswerWriter,
            'deadline_scope',
            property(lambda self: None, lambda self, scope: None),
        ),
        writes.test_ready_answer_is_written_after_the_deadline,
    ),
    'refusals wait for the body': (
        (
            request_relay.RequestRelay,
            'refuse_early',
            lambda self, *_: _find_nothing(self),
        ),
        lambda: writes.test_request_that_is_refused_is_not_continued(404),
    ),
    'the end of a connection is the end of an answer': (
        (
            end_prover.EndProver,
            'find_verdict',
            _find_whole,
        ),
        lambda: endings.test_stream_that_breaks_off_does_not_look_whole(
            'no length, end of the process'
        ),
    ),
    'the deadline does not matter for the end of a connection': (
        (answer_end, '_DEADLINE_MARGIN_S', -1.0),
        lambda: endings.test_stream_that_breaks_off_does_not_look_whole(
            'no length, at the deadline'
        ),
    ),
    'a process that answers at the end has sent everything': (
        (health_prober.HealthProber, 'check', _find_healthy),
        lambda: ending.test_answer_of_a_process_that_ends_slowly_is_not_whole(
            0.3, '/stream/x'
        ),
    ),
    'a process that has announced to leave need not live on': (
        (answer_end, '_MAX_CONFIRM_S', 0.0),
        lambda: (
            ending.test_answer_of_a_process_that_leaves_and_ends_is_not_whole(
                1.0, '/stream/x'
            )
        ),
    ),
    'the next process shows the health of the one before': (
        (instance_prover.InstanceProver, '_is_listed_instance', _is_listed),
        signs.test_health_of_the_next_process_with_the_same_id_is_no_proof,
    ),
    'ends are told though nobody was asked': (
        (answer_end.EndVerdict, 'may_be_told', True),
        lambda: signs.test_end_is_not_told_of_a_service_without_a_health_check(
            '/stream/x'
        ),
    ),
    'streams that end together are not confirmed': (
        (attempt_runner.AttemptRunner, '_may_retry', _always(False)),
        lambda: ending.test_streams_that_end_together_are_confirmed_elsewhere(
            4, 4
        ),
    ),
    'the deadline does not matter for a last chunk': (
        (deadline_end, '_DEADLINE_MARGIN_S', -1.0),
        lambda: endings.test_stream_that_breaks_off_does_not_look_whole(
            'last chunk at the deadline'
        ),
    ),
    'any answer continues a stream': (
        (answer_head.AnswerHead, 'continues', _always(True)),
        _not_joined('another type'),
    ),
    'events without ids show a position': (
        (stream_position.StreamPosition, 'find_fault', _stay_certain),
        endings.test_stream_without_ids_is_not_resumed,
    ),
    'a continuation may begin without an id': (
        (stream_position.StreamPosition, 'begin_answer', _always(None)),
        _not_joined('event without an id'),
    ),
    'the end mark of an engine ends any answer': (
        (stream_end, 'is_end_of_answer', _always(True)),
        lambda: marks.test_end_mark_needs_an_event_or_a_finished_answer(
            0, 3, False, False
        ),
    ),
    'a stream may begin with any event': (
        (stream_start, 'may_begin_with', _always(True)),
        endings.test_stream_that_lacks_its_first_events_is_not_passed_on,
    ),
    'one server shows where streams begin': (
        (stream_start, '_SERVERS_OF_A_PROOF', 1),
        starts.test_one_server_does_not_show_how_its_version_counts,
    ),
    'gaps of few answers show how a version counts': (
        (event_steps, '_MIN_RATIO', 0),
        steps.test_gaps_after_a_start_do_not_outweigh_one_answer_by_one,
    ),
    'two servers show how a version counts': (
        (event_steps, '_SERVERS_OF_A_PROOF', 2),
        steps.test_steps_of_few_servers_or_answers_are_missing_events,
    ),
    'numbers of events that do not fit are forgotten': (
        (
            stream_position.StreamPosition,
            'record_later_event',
            _always(None),
        ),
        steps.test_stream_that_breaks_at_a_gap_does_not_end_before_it,
    ),
    'connections are closed with bytes on their way': (
        (output_flush, 'flush', _do_nothing),
        closings.test_request_behind_a_last_answer_does_not_cut_that_answer,
    ),
    'a check that is reset proves that a server runs': (
        (server_end_checker, '_MAX_RESETS', 1),
        _check_ending_process_without_reports,
    ),
    'what accepts at the address has begun the answer': (
        (
            instance_prover.InstanceProver,
            'check_server',
            _prove_anything,
        ),
        lambda: replaced.test_end_is_not_believed_of_another_process(
            '/stream/x', 2
        ),
    ),
    'what a process has reported before is forgotten': (
        (unlisted_processes.UnlistedProcesses, 'seen_since_s', _always(1e9)),
        lambda: (
            replaced.test_end_is_believed_of_an_unlisted_process_that_reported(
                '/stream/x', False
            )
        ),
    ),
    'any unlisted process has reported before': (
        (unlisted_processes.UnlistedProcesses, 'seen_since_s', _always(-1.0)),
        lambda: (
            replaced.test_end_is_believed_of_an_unlisted_process_that_reported(
                '/stream/x', True
            )
        ),
    ),
    'each stream waits for a report': (
        (missing_reports.MissingReports, 'are_missing', _always(False)),
        missing.test_streams_begin_at_once_at_a_silent_server,
    ),
    'a server without reports is never asked again': (
        (missing_reports.MissingReports, 'take_due', _always(())),
        missing.test_server_that_reports_again_is_asked_again,
    ),
    'one lost answer shows that a server gives no reports': (
        (missing_reports, '_MIN_MISSES', 1),
        missing.test_pause_of_a_server_that_reports_is_no_missing_report,
    ),
    'reports are read without a limit': (
        (instance_prover, '_MAX_REPORT_BYTES', 1 << 30),
        lambda: missing.test_endless_report_is_none_and_holds_no_memory(
            missing.send_endlessly
        ),
    ),
    'reports are asked for twice at most': (
        (instance_prover, '_SERVER_TIMEOUT_S', 0.05),
        replaced.test_end_is_believed_of_a_server_that_resets_some_reports,
    ),
    'a witness is not asked after the end': (
        (instance_prover.InstanceProver, 'has_lived_on', _prove_anything),
        lambda: replaced.test_server_without_lengths_is_served_by_a_witness(
            '/once/x', True
        ),
    ),
    'streams go on at any process of a listed server': (
        (instance_report.InstanceReport, 'compare', _always(_PROVED)),
        lambda: versions.test_stream_does_not_go_on_at_an_unlisted_process(2),
    ),
    'streams begin at the listed version': (
        (instance_report.InstanceReport, 'compare', _always(_PROVED)),
        versions.test_stream_begun_at_an_unlisted_process_goes_on_there_only,
    ),
    'routes have always led where they lead now': (
        (route_history.RouteHistory, 'find_services', lambda *args: set()),
        lambda: versions.test_stream_does_not_go_on_at_another_service(
            ('Last-Event-Id: 2',)
        ),
    ),
    'origins of equal requests do not contradict a sole version': (
        (stream_origins.StreamOrigins, '_find_equal', _always(())),
        lambda: unlisted.test_sole_version_is_not_that_of_an_unlisted_process(
            ()
        ),
    ),
    'an empty answer ends a stream': (
        (
            answer_forwarder.AnswerForwarder,
            '_is_end_confirmed',
            _always(True),
        ),
        endings.test_events_of_another_server_go_before_an_empty_end,
    ),
    'streams that servers give up are whole': (
        (
            answer_forwarder.AnswerForwarder,
            '_may_be_given_up',
            _always(False),
        ),
        lambda: endings.test_stream_that_breaks_off_does_not_look_whole(
            'last chunk at the deadline'
        ),
    ),
    'plain answers that servers give up are whole': (
        (
            answer_forwarder.AnswerForwarder,
            '_may_be_given_up',
            _always(False),
        ),
        lambda: (
            endings.test_plain_answer_that_ends_at_the_deadline_is_not_whole(
                3.955, 4
            )
        ),
    ),
    'an empty answer is a whole new stream': (
        (
            answer_forwarder.AnswerForwarder,
            '_is_end_confirmed',
            _always(True),
        ),
        endings.test_new_stream_without_an_event_is_not_whole,
    ),
    'an empty answer that events refuted confirms an end': (
        (progress.Progress, 'refute_empty_answer', _always(None)),
        lambda: endings.test_empty_answer_that_events_refuted_confirms_no_end(
            1, ()
        ),
    ),
    'a stream may end before a known event': (
        (stream_position.StreamPosition, 'is_before_known_event', False),
        broken.test_stream_that_is_taken_up_earlier_ends_no_sooner,
    ),
    'comments are events': (
        (event_splitter.Event, 'is_message', True),
        endings.test_stream_with_a_comment_is_resumed,
    ),
    'a comment shows that an answer has events': (
        (stream_position.StreamPosition, 'has_added_events', True),
        lambda: endings.test_comment_is_no_event_that_goes_on_with_a_stream(
            'Transfer-Encoding: chunked\r\n', b': alive\n\n'
        ),
    ),
}


@pytest.mark.parametrize('name', _MUTANTS)
def test_check_fails_on_mutant(name, monkeypatch):
    (owner, attribute, value), check = _MUTANTS[name]
    monkeypatch.setattr(owner, attribute, value, raising=False)
    with pytest.raises(BaseException):
        check()
