"""Forwards a backend server's answer to the caller."""

import typing

from foxtailrelay_core import messages
import logbook

from foxtailrelay_node.internal.memory import memory_lease
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay import answer_head
from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import end_prover
from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.attempts import progress as progresses
from foxtailrelay_node.internal.relay.attempts import results
from foxtailrelay_node.internal.relay.attempts import stream_versions
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.http import event_splitter
from foxtailrelay_node.internal.relay.policy import answer_end
from foxtailrelay_node.internal.relay.policy import deadline_end
from foxtailrelay_node.internal.relay.policy import placement_result

# A part that came within this time waited for no earlier one.
_SOON_S = 0.1
_LOG = logbook.Logger('foxtailrelay.requests')
# Answers that are not streams are collected up to this length before they are
# forwarded, so that a truncated one can be retried and the caller gets a whole
# one.
_MAX_COLLECTED_BYTES = 1 << 22
_MAX_BLAMELESS_BYTES = 1 << 18


class AnswerForwarder:
    """Forwards the body of an answer whose head was accepted.

    Parameters
    ----------
    context : AttemptContext
        The components of the node.
    streams : StreamVersions
        Records where the stream begins.
    job : Job
        The request.
    placed : Placed
        The chosen server and its expected time.
    backend : BackendConnection
        The connection that the answer comes on.
    progress : Progress
        Progress of the request; updated.
    connection : CallerConnection
        Where the answer goes.
    record_first_event : callable
        Called when events arrive.
    record_server_end : callable
        Called when the server has nothing more to do.

    Attributes
    ----------
    is_complete : bool
        Whether the whole answer was received.
    """

    def __init__(
        self,
        context: attempt_context.AttemptContext,
        streams: stream_versions.StreamVersions,
        job: jobs.Job,
        placed: placement_result.Placed,
        backend: backend_connection.BackendConnection,
        progress: progresses.Progress,
        connection: caller_connection.CallerConnection,
        record_first_event: typing.Callable[[], None],
        record_server_end: typing.Callable[[], None],
    ) -> None:
        self.is_complete = False
        self._context = context
        self._streams = streams
        self._job = job
        self._placed = placed
        self._backend = backend
        self._progress = progress
        self._connection = connection
        self._record_first_event = record_first_event
        self._record_server_end = record_server_end
        self._sent_at_s = context.now_s()
        self._received_at_s = self._sent_at_s

    async def forward_whole(
        self, head: answer_head.AnswerHead
    ) -> results.Result:
        """Collect an answer, then forward it."""
        body = bytearray()
        lease = self._open_lease()
        while (part := await self._backend.receive_part()) is not None:
            has_room = lease.try_hold(len(part))
            body += part
            if has_room and len(body) <= _MAX_COLLECTED_BYTES:
                continue
            if not self._backend.is_close_delimited:
                return await self._forward_long(head, body)
            if has_room:
                return results.Broken('the answer is too long')
            return self._record_without_room(len(body))
        if head.is_success and self._may_be_given_up():
            return results.Broken.at_deadline()
        verdict = await self._find_verdict_of_end(head.is_success)
        if isinstance(verdict, results.Broken):
            return verdict
        if not verdict.may_be_told:
            return results.Broken(verdict.value, True)
        self._record_end()
        self._context.record_usage(self._job, self._progress)
        if not head.is_success:
            return results.ServerFailure(head, body)
        if self._connection.has_started_answer:
            return results.Broken(
                'a stream cannot be resumed by an answer without events'
            )
        self._record_first_part()
        await self._connection.send_answer(
            head.status, head.forwarded_headers, body
        )
        lease.close()
        return results.Done(self._backend.is_close_delimited)

    async def forward_events(
        self, head: answer_head.AnswerHead
    ) -> results.Result:
        """Forward events as they arrive."""
        began_with = self._progress.stream_head
        if began_with is not None and not head.continues(began_with):
            return results.Broken(
                'the answer has another status or type than the stream'
            )
        position = self._progress.position
        server = self._placed.view.server
        self._streams.begin_answer(position, server)
        splitter = event_splitter.EventSplitter()
        lease = self._open_lease()
        self._received_at_s = self._context.now_s()
        try:
            while (part := await self._receive_part()) is not None:
                events = splitter.feed(part)
                self._record_partial_event(splitter)
                if not lease.try_resize(splitter.buffered_bytes):
                    return self._record_without_room(splitter.buffered_bytes)
                if events:
                    if fault := await self._forward(head, events):
                        await self._streams.read_step(
                            position, server, events, splitter, self._backend
                        )
                        return results.Broken(fault)
                    self._record_partial_event(splitter)
        except event_splitter.MalformedEvent as error:
            return results.Broken(str(error))
        finally:
            self._streams.record_step(position, server)
            self._streams.record_break(self._progress)
        return await self._finish_events(head, splitter)

    async def _receive_part(self) -> bytes | bytearray | None:
        """Receive a part, and record when its connection was open.

        A part that came while the one before it was passed on to a slow
        caller may be read long after the server closed the connection.
        """
        began_s, last_s = self._context.now_s(), self._received_at_s
        part = await self._backend.receive_part()
        if part is not None:
            now_s = self._received_at_s = self._context.now_s()
            may_have_waited = (
                began_s - last_s > _SOON_S and now_s - began_s <= _SOON_S
            )
            self._progress.open_at_s = last_s if may_have_waited else now_s
        return part

    async def _forward(
        self,
        head: answer_head.AnswerHead,
        events: list[event_splitter.Event],
    ) -> str:
        """Forward events up to the first one that does not fit.

        Returns why it does not, or nothing.
        """
        self._record_first_event()
        if self._progress.attempt_first_event_at_s is None:
            self._progress.attempt_first_event_at_s = self._context.now_s()
        if not self._progress.is_usage_recorded:
            self._record_first_part()
        self._progress.record_part(
            self._job.received_at_s, self._context.now_s()
        )
        self._context.record_usage(self._job, self._progress)
        fault, data = '', []
        for event in events:
            fault = self._progress.position.find_fault(event)
            if fault:
                break
            data.append(event.data)
        if self._progress.position.has_added_events:
            self._progress.refute_empty_answer()
        if data and self._may_forward():
            self._streams.record_event(
                self._job, self._progress, self._placed.view.server
            )
            await self._start_answer(head)
            await self._connection.send_part(b''.join(data))
        return fault

    async def _finish_events(
        self,
        head: answer_head.AnswerHead,
        splitter: event_splitter.EventSplitter,
    ) -> results.Result:
        """Forward the end of a stream, if it surely is one."""
        if splitter.has_partial_event:
            return results.Broken(
                'the stream ended in the middle of an event',
                self._backend.is_close_delimited,
            )
        position = self._progress.position
        has_events = position.has_added_events
        if self._backend.is_close_delimited and not has_events:
            return results.Broken('the stream ended without an event', True)
        if not has_events and not self._is_end_confirmed():
            return results.Broken(
                'the answer ended without an event of the stream'
            )
        if position.is_before_known_event:
            return results.Broken('the stream ended before a known event')
        if self._may_be_given_up():
            return results.Broken.at_deadline()
        verdict = await self._find_verdict_of_end(head.is_success)
        if isinstance(verdict, results.Broken):
            return verdict
        self._record_end()
        self._context.record_usage(self._job, self._progress)
        rest = splitter.take_rest()
        if not verdict.is_certain:
            return results.Unconfirmed(rest, verdict.may_be_told)
        self._progress.settle_end()
        await self._start_answer(head)
        if rest:
            await self._connection.send_part(rest)
        await self._connection.finish_answer()
        return results.Done(self._backend.is_close_delimited)

    def _may_be_given_up(self) -> bool:
        """Whether a server may have ended an answer in chunks at its deadline.

        The end of a connection is judged apart.
        """
        left_s = self._progress.attempt_deadline_s - self._context.now_s()
        is_chunked = self._backend.framing is backend_connection.Framing.CHUNKS
        return is_chunked and deadline_end.may_be_given_up(left_s)

    def _is_end_confirmed(self) -> bool:
        """Whether an answer without events is the end of the stream.

        A second server has to say the same.  If the caller has events of the
        stream, one server is enough where the route allows no other attempt.
        """
        if self._progress.position.has_later_events:
            return False
        is_second = self._progress.has_empty_answer
        self._progress.has_empty_answer = True
        if self._progress.position.last_id is None:
            return self._job.may_have_no_event or (
                is_second and not self._connection.has_started_answer
            )
        route = self._job.access.route
        return is_second or not (
            self._connection.has_started_answer
            or (
                route.is_idempotent
                and self._progress.sent_count < route.max_attempts
            )
        )

    async def _forward_long(
        self, head: answer_head.AnswerHead, body: bytearray
    ) -> results.Result:
        """Forward an answer that is too long to be collected.

        It can no longer be repeated then, since the caller has a part of it.
        """
        if self._connection.has_started_answer:
            return results.Broken(
                'a stream cannot be resumed by an answer without events'
            )
        self._context.record_usage(self._job, self._progress)
        self._record_first_part()
        self._progress.position.is_certain = False
        await self._start_answer(head)
        await self._connection.send_part(body)
        self._progress.long_bytes = len(body)
        body.clear()
        self._progress.close_answer()
        while (part := await self._backend.receive_part()) is not None:
            await self._connection.send_part(part)
            self._progress.long_bytes += len(part)
        if head.is_success and self._may_be_given_up():
            return results.Broken.at_deadline()
        self._record_end()
        await self._connection.finish_answer()
        return results.Done()

    def _open_lease(self) -> memory_lease.MemoryLease:
        return self._progress.open_answer(
            self._context.memory, self._placed.view.server.id
        )

    def _record_without_room(self, count: int) -> results.Broken:
        _LOG.info(
            'answer-without-room',
            extra={
                'request': self._job.request.request_id,
                'server': self._placed.view.server.id,
                'answer_bytes': count,
                'effect': 'the answer counts as broken',
            },
        )
        return results.Broken(
            f'the node has no memory for {count} bytes of the answer',
            # One of many small answers is not what uses the memory up.
            is_without_room=count <= _MAX_BLAMELESS_BYTES
            or not self._context.memory.holds_most(
                purposes.Purpose.ANSWER, self._placed.view.server.id
            ),
        )

    async def _start_answer(self, head: answer_head.AnswerHead) -> None:
        if not self._connection.has_started_answer:
            self._progress.stream_head = head
            await self._connection.start_answer(
                head.status, head.forwarded_headers
            )

    async def _find_verdict_of_end(
        self, is_success: bool
    ) -> answer_end.EndVerdict | results.Broken:
        """Return what is known of the end of the answer."""
        if not self._backend.is_close_delimited:
            return answer_end.EndVerdict.FRAMED
        self._record_server_end()
        self._progress.connection_ended_at_s = self._context.now_s()
        if self._backend.is_early and is_success:
            # A server that gives up an upload ends its answer in the same way.
            return results.Broken(
                'the answer has no length, and began before its whole request '
                'was received'
            )
        return await end_prover.EndProver(
            self._context,
            self._placed.view.server,
            self._progress,
            self._job.request.request_id,
            self._job.access.route.is_idempotent,
            self._record_placed_end,
        ).find_verdict()

    def _record_placed_end(self) -> None:
        paces = self._context.loads.paces
        self._placed.reservation.record_end(
            messages.PlaceEvent.DONE,
            relative_duration=paces.current(self._placed.view.server.id),
        )

    def _record_end(self) -> None:
        """Record that the answer is whole, and what shows it."""
        self.is_complete = True
        if not self._backend.is_close_delimited:
            self._progress.end_proof = self._backend.framing.value

    def _may_forward(self) -> bool:
        """Whether events may be forwarded, which refute an unconfirmed end.

        Comments do not refute it.  A write of them could be cancelled.
        """
        if self._progress.unconfirmed_end is None:
            return True
        if not self._progress.position.added_count:
            return False
        self._progress.settle_end()
        _LOG.info(
            'answer-end-refuted',
            extra={
                'request': self._job.request.request_id,
                'server': self._placed.view.server.id,
                'effect': 'the stream goes on',
            },
        )
        return True

    def _record_partial_event(
        self, splitter: event_splitter.EventSplitter
    ) -> None:
        """Record that an event follows the last one, if it does."""
        if splitter.has_partial_event and not splitter.has_partial_comment:
            self._progress.position.has_later_events = True

    def _record_first_part(self) -> None:
        self._context.record_first_part(
            self._job,
            self._placed,
            self._sent_at_s,
            self._backend.peer_id is None,
        )
