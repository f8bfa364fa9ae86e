"""Serves a model request, resuming it at other engines after failures."""

import contextlib
import json
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import prefixes
from foxtailrelay_core import settings as settings_module
import logbook
import trio

from foxtailrelay_node.internal.callers import chat_request
from foxtailrelay_node.internal.callers import event_sink
from foxtailrelay_node.internal.callers import resume_point
from foxtailrelay_node.internal.callers import stream_end
from foxtailrelay_node.internal.clients import engine_client
from foxtailrelay_node.internal.clients import engine_outcomes
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import memory_lease
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal import metrics as metrics_module
from foxtailrelay_node.internal.routing import decision as decisions
from foxtailrelay_node.internal.routing import engine_monitor
from foxtailrelay_node.internal.routing import engine_state
from foxtailrelay_node.internal.routing import model_router
from foxtailrelay_node.internal.routing import overload_guard
from foxtailrelay_node.internal.routing import retry_budget

_LOG = logbook.Logger('foxtailrelay.callers')
_Kind = errors.ErrorKind
_INTERACTIVE_PRIORITY = 0
_BATCH_PRIORITY = 10
_CANCEL_TIMEOUT_S = 1.0
_MAX_ATTEMPTS = 6
_RESUME_WAIT_INTERVAL_S = 0.25
_BATCH_WAIT_INTERVAL_S = 0.5
# What the objects of an event take beside its data.
_EVENT_OVERHEAD_BYTES = 64
_MAX_REPETITIONS = 16


class ModelJob(typing.NamedTuple):
    """A model request to be served.

    Parameters
    ----------
    request_id : str
        ``organisation.random``; also identifies the request at engines.
    organisation : str
        Organisation that sent the request.
    chat : ChatRequest
        The validated request.
    is_batch : bool
        Whether the request may be delayed in favour of interactive ones.
    deadline_s : float
        Deadline on trio's clock.
    resume : ResumePoint or None
        Position from which the caller resumes a broken stream.
    """

    request_id: str
    organisation: str
    chat: chat_request.ChatRequest
    is_batch: bool
    deadline_s: float
    resume: resume_point.ResumePoint | None = None


class _Progress:
    """The part of an answer that has been sent to the sink."""

    def __init__(
        self,
        job: ModelJob,
        started_s: float,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self.job = job
        self._memory = memory
        self._leases = contextlib.ExitStack()
        self.started_s = started_s
        self.number = job.resume.number if job.resume else 0
        self.first_event_s: float | None = None
        self.last_event_s = started_s
        self.events: list[bytes] = []
        self.last_engine = job.resume.engine if job.resume else ''
        self.is_from_start = job.resume is None
        self.was_sent = False

    @property
    def has_events(self) -> bool:
        """Whether events have been received, so that the stream can resume."""
        return bool(self.events)

    @property
    def is_finished(self) -> bool:
        """Whether the last event has a reason to finish."""
        if not self.events:
            return False
        try:
            choice = json.loads(self.events[-1])['choices'][0]
            return bool(choice.get('finish_reason'))
        except errors.DECODE_ERRORS:
            return False

    def open_lease(self, engine: str) -> memory_lease.MemoryLease:
        """Return the lease of an engine's events, kept until `close`."""
        return self._leases.enter_context(
            self._memory.open_lease(purposes.Purpose.ANSWER, engine)
        )

    def close(self) -> None:
        """Drop the events."""
        self.events.clear()
        self._leases.close()

    def is_repetition(self, event: engine_outcomes.StreamEvent) -> bool:
        """Whether an engine repeats the last event, as it may at the end."""
        return event.number == self.number and (
            not self.events or event.data == self.events[-1]
        )

    def partial_answer(self) -> str:
        """Return the text so far, for engines that do not hold the answer.

        It is empty if this node has not received the text's beginning.
        """
        if not self.is_from_start:
            return ''
        parts = []
        for data in self.events:
            delta = json.loads(data)['choices'][0]['delta']
            parts.append(delta.get('content') or '')
        return ''.join(parts)


class ModelDispatcher:
    """Chooses engines, streams answers from them and resumes broken streams.

    Parameters
    ----------
    client : EngineClient
        Opens streams at engines.
    monitor : EngineMonitor
        Holds the state of the engines.
    router : ModelRouter
        Chooses the engine of each attempt.
    metrics : Metrics
        Metrics of requests and streams.
    settings : RoutingSettings
        Latency targets and ratio of the retry budget.
    memory : MemoryBudget
        Bounds the events that are kept for resuming and for whole answers.
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        monitor: engine_monitor.EngineMonitor,
        router: model_router.ModelRouter,
        metrics: metrics_module.Metrics,
        settings: settings_module.RoutingSettings,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self._client = client
        self._memory = memory
        self._monitor = monitor
        self._router = router
        self._metrics = metrics
        self._settings = settings
        self._guard = overload_guard.OverloadGuard(settings)
        self._budget = retry_budget.RetryBudget(settings.retry_budget_ratio)

    async def serve(
        self, job: ModelJob, sink: event_sink.EventSink
    ) -> errors.Failure | None:
        """Send an answer's events to the sink; None if it is complete."""
        progress = _Progress(job, trio.current_time(), self._memory)
        with contextlib.closing(progress):
            with trio.move_on_at(job.deadline_s) as scope:
                failure = await self._run_attempts(progress, sink)
            if scope.cancelled_caught:
                failure = errors.Failure(
                    _Kind.DEADLINE_EXCEEDED,
                    'the deadline passed before the answer was complete',
                    outcome=_outcome_of(progress),
                )
            if failure is None and progress.has_events:
                self._record_complete_answer(progress)
            return failure

    async def _run_attempts(
        self, progress: _Progress, sink: event_sink.EventSink
    ) -> errors.Failure | None:
        """Make attempts at engines until the answer is complete."""
        job = progress.job
        text = prefixes.prompt_text(job.chat.messages)
        hashes = prefixes.block_hashes(text)
        excluded: set[str] = set()
        self._budget.record_first_attempt()
        attempts = 0
        while attempts < _MAX_ATTEMPTS:
            demand = decisions.ModelDemand(
                job.request_id,
                job.chat.service,
                prefixes.estimate_tokens(text),
                hashes,
                job.chat.max_tokens,
                job.is_batch,
                job.deadline_s - trio.current_time(),
            )
            choice = self._choose(progress, demand, frozenset(excluded))
            if choice is overload_guard.Admission.WAIT:
                await trio.sleep(_BATCH_WAIT_INTERVAL_S)
                continue
            if isinstance(choice, errors.Failure):
                if not progress.has_events:
                    return choice
                # The caller has received part of the answer.  Engines may
                # become available again before the deadline, so wait rather
                # than fail the request.
                excluded.clear()
                await trio.sleep(_RESUME_WAIT_INTERVAL_S)
                continue
            if attempts > 0 and not self._budget.try_spend():
                return _build_break_failure(
                    progress, 'the retry budget is exhausted'
                )
            attempts += 1
            item = await self._stream_from(progress, demand, choice, sink)
            if isinstance(item, engine_outcomes.StreamEnd):
                return None
            _LOG.info(
                'stream broken request={} engine={} event={} why={}',
                job.request_id,
                choice.engine.name,
                progress.number,
                item.cause,
            )
            # The connection may have failed while the engine works, so the
            # same engine gets a second attempt on a new connection.
            if item.refused or choice.engine.name == progress.last_engine:
                excluded.add(choice.engine.name)
                choice.engine.record_unreachable()
            progress.last_engine = choice.engine.name
        return _build_break_failure(
            progress, 'the maximum number of attempts was reached'
        )

    def _choose(
        self,
        progress: _Progress,
        demand: decisions.ModelDemand,
        excluded: frozenset[str],
    ) -> decisions.Estimate | errors.Failure | overload_guard.Admission:
        """Return the engine that last had the stream, or the router's choice.

        A request that has not been sent to any engine may be refused or
        delayed instead.
        """
        name = progress.last_engine
        engine = self._monitor.engine(name) if name else None
        if engine is not None and name not in excluded:
            _LOG.info(
                'route request={} organisation={} service={} chosen={} '
                'candidates={} why=resume',
                demand.request_id,
                progress.job.organisation,
                demand.service,
                name,
                name,
            )
            return decisions.Estimate(engine, 0.0, 0.0, 0.0)
        if not progress.is_from_start and not progress.job.chat.is_repeatable:
            return errors.Failure(
                _Kind.BACKEND_FAILED,
                'the engine that began this answer is unavailable, and '
                'another one would answer differently; send the request '
                'again without Last-Event-ID',
            )
        decision = self._router.choose(
            demand, progress.job.organisation, excluded
        )
        if isinstance(decision, decisions.Decision):
            if progress.was_sent or not progress.is_from_start:
                return decision.estimate
            admission = self._guard.admit(
                progress.job.organisation, demand, decision
            )
            if admission is overload_guard.Admission.GO:
                return decision.estimate
            return admission
        kind = _Kind.OVERLOADED
        if not self._monitor.engines_of(demand.service):
            kind = _Kind.NO_BACKEND
        return errors.Failure(
            kind,
            decision.why,
            outcome=_outcome_of(progress),
            retry_after_s=decision.retry_after_s,
        )

    async def _stream_from(
        self,
        progress: _Progress,
        demand: decisions.ModelDemand,
        estimate: decisions.Estimate,
        sink: event_sink.EventSink,
    ) -> engine_outcomes.StreamEnd | engine_outcomes.StreamBroken:
        """Make one attempt: stream from an engine until the stream ends."""
        job = progress.job
        engine = estimate.engine
        same_engine = engine.name == progress.last_engine
        self._record_attempt(progress, estimate, same_engine)
        priority = _BATCH_PRIORITY if job.is_batch else _INTERACTIVE_PRIORITY
        request = engine_outcomes.EngineRequest(
            job.request_id,
            # The process that began the answer may have been replaced.
            job.chat.engine_body(progress.partial_answer()),
            priority,
            progress.number,
        )
        progress.was_sent = True
        queued = _QueuedTokens(engine, estimate.computed_tokens)
        engine.own_requests += 1
        engine.prefixes.record_sent(demand.hashes)
        ended = False
        try:
            stream = await self._client.open_stream(engine.address, request)
            if isinstance(stream, engine_outcomes.StreamBroken):
                ended = True
                return stream
            try:
                item = await self._forward_events(
                    progress, stream, sink, queued
                )
            finally:
                await stream.aclose()
            ended = True
            return item
        finally:
            engine.own_requests -= 1
            queued.clear()
            if not ended:
                await self._cancel(engine, job.request_id)

    async def _forward_events(
        self,
        progress: _Progress,
        stream: engine_client.EngineStream,
        sink: event_sink.EventSink,
        queued: '_QueuedTokens',
    ) -> engine_outcomes.StreamEnd | engine_outcomes.StreamBroken:
        """Send a stream's events to the sink, each once and without gaps."""
        lease = progress.open_lease(queued.engine.name)
        repetitions = 0
        received = 0
        while True:
            item = await stream.next_item()
            if isinstance(item, engine_outcomes.StreamEnd) and (
                progress.number == 0
                or not stream_end.is_end_of_answer(
                    received,
                    len(progress.events),
                    is_finished=progress.is_finished,
                )
            ):
                return engine_outcomes.StreamBroken('no event before [DONE]')
            received += 1
            if not isinstance(item, engine_outcomes.StreamEvent):
                return item
            queued.clear()
            if progress.is_repetition(item):
                repetitions += 1
                if repetitions > _MAX_REPETITIONS:
                    return engine_outcomes.StreamBroken(
                        f'event {item.number} is repeated without an end'
                    )
                continue
            if item.number != progress.number + 1:
                return engine_outcomes.StreamBroken(
                    f'event {item.number} follows event {progress.number}'
                )
            if not lease.try_hold(len(item.data) + _EVENT_OVERHEAD_BYTES):
                return engine_outcomes.StreamBroken(
                    'there is no memory for more of its events'
                )
            progress.number = item.number
            progress.events.append(item.data)
            progress.last_event_s = trio.current_time()
            if progress.first_event_s is None:
                progress.first_event_s = progress.last_event_s
            await sink.handle_event(queued.engine.name, item)

    async def _cancel(
        self, engine: engine_state.EngineState, request_id: str
    ) -> None:
        """Cancel a request at an engine."""
        with trio.CancelScope(shield=True):
            with trio.move_on_after(_CANCEL_TIMEOUT_S):
                await self._client.cancel(engine.address, request_id)

    def _record_attempt(
        self,
        progress: _Progress,
        estimate: decisions.Estimate,
        same_engine: bool,
    ) -> None:
        """Count the cost of an attempt and whether it resumes a stream."""
        job = progress.job
        service = job.chat.service
        self._metrics.cost.labels(service, job.organisation).inc(estimate.cost)
        if progress.number == 0:
            return
        place = 'same-engine' if same_engine else 'other-engine'
        self._metrics.resumed_streams.labels(service, place).inc()
        if not same_engine:
            recomputed = estimate.computed_tokens + progress.number
            self._metrics.recomputed_tokens.labels(service).inc(recomputed)

    def _record_complete_answer(self, progress: _Progress) -> None:
        """Record the latencies and tokens of a complete answer."""
        service = progress.job.chat.service
        usage = json.loads(progress.events[-1]).get('usage') or {}
        details = usage.get('prompt_tokens_details') or {}
        cached = details.get('cached_tokens') or 0
        computed = max(0, usage.get('prompt_tokens', 0) - cached)
        tokens = self._metrics.prompt_tokens
        tokens.labels(service, 'cached').inc(cached)
        tokens.labels(service, 'computed').inc(computed)
        first_s = progress.first_event_s - progress.started_s
        count = max(1, len(progress.events) - 1)
        interval_s = (progress.last_event_s - progress.first_event_s) / count
        self._metrics.first_token_seconds.labels(service).observe(first_s)
        self._metrics.token_interval_seconds.labels(service).observe(
            interval_s
        )
        if (
            first_s <= self._settings.first_token_target_s
            and interval_s <= self._settings.token_interval_target_s
        ):
            self._metrics.on_target.labels(service).inc()


class _QueuedTokens:
    """Prompt tokens of an attempt, counted as queued until its first event."""

    def __init__(
        self, engine: engine_state.EngineState, tokens: float
    ) -> None:
        self.engine = engine
        self._tokens = tokens
        self._started_s = trio.current_time()
        self._was_queue_empty = engine.own_queued_tokens == 0
        engine.own_queued_tokens += tokens

    def clear(self) -> None:
        """Remove the tokens from the queue.

        If the queue held no other tokens of this node, the time since then
        is recorded as the engine's prefill time.
        """
        if not self._tokens:
            return
        self.engine.own_queued_tokens -= self._tokens
        if self._was_queue_empty:
            seconds = trio.current_time() - self._started_s
            self.engine.record_prefill(round(self._tokens), seconds)
        self._tokens = 0.0


def _outcome_of(progress: _Progress) -> errors.Outcome:
    """Return the outcome of a failed request, by its progress."""
    if progress.first_event_s is not None:
        return errors.Outcome.RAN
    if progress.was_sent:
        return errors.Outcome.UNKNOWN
    return errors.Outcome.NOT_RUN


def _build_break_failure(progress: _Progress, why: str) -> errors.Failure:
    return errors.Failure(
        _Kind.BACKEND_FAILED,
        f'the answer broke off after event {progress.number}: {why}',
        outcome=_outcome_of(progress),
    )
