"""Simulated model engine with continuous batching and a prefix cache."""

import contextlib
import typing

from foxtailrelay_core import prefixes
import trio

from foxtailrelay_standins.internal import block_cache
from foxtailrelay_standins.internal import engine_profile
from foxtailrelay_standins.internal import generation as generations
from foxtailrelay_standins.internal import priority_semaphore

EngineProfile = engine_profile.EngineProfile


class LoadReport(typing.TypedDict):
    """Load that an engine reports."""

    queued_tokens: int
    running: int
    slots: int
    time_s: float


class CacheEvent(typing.TypedDict):
    """Blocks stored in or evicted from the prefix cache."""

    sequence: int
    stored: list[int]
    evicted: list[int]


class OrderResult(typing.TypedDict):
    """Whether an order was accepted, and the newest fencing number."""

    accepted: bool
    newest_fencing: int


class EngineModel:
    """Generates answers on the Trio clock, which may be virtual.

    Parameters
    ----------
    profile : EngineProfile
        Performance, limits and faults of the engine.
    computed_blocks : set of int, optional
        Blocks that any engine has computed; engines share this set to count
        recomputed tokens.
    """

    def __init__(
        self,
        profile: engine_profile.EngineProfile,
        computed_blocks: set[int] | None = None,
    ) -> None:
        self.profile = profile
        self.generation_by_request_id: dict[str, generations.Generation] = {}
        self.recomputed_tokens = 0
        self.computed_tokens = 0
        self.busy_s = 0.0
        self.orders: list[dict] = []
        self.newest_fencing = -1
        self.leaving = False
        self._computed_blocks = (
            set() if computed_blocks is None else computed_blocks
        )
        self._cache = block_cache.BlockCache(profile.cache_blocks)
        self._slots = priority_semaphore.PrioritySemaphore(profile.slots)
        self._prefill = priority_semaphore.PrioritySemaphore(1)
        self._decoding: list[generations.Generation] = []
        self._decoding_started = trio.Event()
        self._queued_tokens = 0
        self._events: list[tuple[float, CacheEvent]] = []
        self._next_sequence = 0
        self._report = LoadReport(
            queued_tokens=0, running=0, slots=profile.slots, time_s=0.0
        )
        self._active_phases = 0
        self._busy_since_s = 0.0
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run the engine until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._decode_forever)
            nursery.start_soon(self._report_forever)
            task_status.started()

    def submit(
        self, request: generations.GenerationRequest
    ) -> generations.Generation:
        """Start a generation, or return the existing one with this id."""
        existing = self.generation_by_request_id.get(request.request_id)
        cancelled = generations.GenerationState.CANCELLED
        if existing is not None and existing.state is not cancelled:
            return existing
        generation = generations.Generation(request)
        self.generation_by_request_id[request.request_id] = generation
        self._nursery.start_soon(self._prepare, generation)
        return generation

    def cancel(self, request_id: str) -> bool:
        """Cancel a generation; False if there is none."""
        generation = self.generation_by_request_id.get(request_id)
        if generation is None:
            return False
        generation.cancel()
        return True

    def load_report(self) -> LoadReport:
        """Return the newest report, up to ``load_lag_s`` seconds old."""
        return self._report

    def cache_events(self, from_sequence: int) -> list[CacheEvent]:
        """Return the published events, starting at a sequence number."""
        visible_before = trio.current_time() - self.profile.cache_event_lag_s
        gap = self.profile.cache_event_gap
        return [
            event
            for time_s, event in self._events
            if time_s <= visible_before
            and event['sequence'] >= from_sequence
            and not (gap and event['sequence'] % gap == gap - 1)
        ]

    def handle_order(
        self, fencing: int, action: str, argument: str
    ) -> OrderResult:
        """Accept an order, or refuse an outdated fencing number."""
        if self.profile.checks_fencing and fencing < self.newest_fencing:
            return OrderResult(
                accepted=False, newest_fencing=self.newest_fencing
            )
        self.newest_fencing = max(fencing, self.newest_fencing)
        self.orders.append(
            {'fencing': fencing, 'action': action, 'argument': argument}
        )
        return OrderResult(accepted=True, newest_fencing=self.newest_fencing)

    def cached_tokens(self, blocks: list[int]) -> int:
        """Return the number of leading tokens in the cache."""
        return self._cache.match_prefix(blocks) * prefixes.BLOCK_TOKENS

    def export_blocks(self, blocks: list[int]) -> list[int]:
        """Return the leading blocks whose KV cache can be exported."""
        return blocks[: self._cache.match_prefix(blocks)]

    @property
    def queued_tokens(self) -> int:
        """Prompt tokens waiting for prefill, without reporting lag."""
        return self._queued_tokens

    @property
    def running(self) -> int:
        """Requests being decoded, without reporting lag."""
        return len(self._decoding)

    def restart(self) -> None:
        """Cancel all generations and clear the cache, as a new VM."""
        for generation in self.generation_by_request_id.values():
            generation.cancel()
        self._cache = block_cache.BlockCache(self.profile.cache_blocks)

    def import_blocks(self, blocks: list[int]) -> None:
        """Import the KV cache of blocks computed by another engine."""
        self._store(blocks)

    async def _prepare(self, generation: generations.Generation) -> None:
        """Wait for a batch slot, then compute the prompt."""
        request = generation.request
        prompt = request.prompt + request.partial_answer
        blocks = prefixes.block_hashes(prompt)
        prompt_tokens = prefixes.estimate_tokens(prompt)
        generation.prompt_tokens = prompt_tokens
        self._queued_tokens += prompt_tokens
        try:
            await self._slots.acquire(request.priority)
            await self._prefill.acquire(request.priority)
            try:
                await self._compute_prompt(generation, blocks)
            finally:
                self._prefill.release()
        finally:
            self._queued_tokens -= prompt_tokens
        if generation.is_complete:
            generation.finish()
        if generation.ended:
            self._slots.release()
            return
        generation.state = generations.GenerationState.DECODING
        self._decoding.append(generation)
        self._decoding_started.set()

    async def _compute_prompt(
        self, generation: generations.Generation, blocks: list[int]
    ) -> None:
        """Simulate the prefill of the uncached part and cache all blocks."""
        if generation.ended:
            return
        cached_blocks = self._cache.match_prefix(blocks)
        cached_tokens = cached_blocks * prefixes.BLOCK_TOKENS
        uncached_tokens = max(1, generation.prompt_tokens - cached_tokens)
        with self._busy():
            await trio.sleep(
                uncached_tokens / self.profile.prefill_tokens_per_s
            )
        generation.cached_tokens = cached_tokens
        computed = blocks[cached_blocks:]
        recomputed = [b for b in computed if b in self._computed_blocks]
        self.recomputed_tokens += len(recomputed) * prefixes.BLOCK_TOKENS
        self.computed_tokens += uncached_tokens
        self._computed_blocks.update(computed)
        self._store(blocks)
        words = generation.request.partial_answer.split()
        for word in words:
            generation.tokens.append(word + ' ')

    def _store(self, blocks: list[int]) -> None:
        """Cache blocks and publish an event for the change."""
        stored, evicted = self._cache.store(blocks)
        if not stored and not evicted:
            return
        event = CacheEvent(
            sequence=self._next_sequence, stored=stored, evicted=evicted
        )
        self._next_sequence += 1
        self._events.append((trio.current_time(), event))

    async def _decode_forever(self) -> None:
        """Generate one token per step for each running generation."""
        while True:
            if not self._decoding:
                self._decoding_started = trio.Event()
                await self._decoding_started.wait()
            batch_fill_ratio = len(self._decoding) / self.profile.slots
            slowdown = (
                1 + (self.profile.full_batch_slowdown - 1) * batch_fill_ratio
            )
            with self._busy():
                await trio.sleep(self.profile.token_interval_s * slowdown)
            for generation in list(self._decoding):
                if not generation.ended:
                    generation.add_token()
                if generation.ended:
                    self._decoding.remove(generation)
                    self._slots.release()

    @contextlib.contextmanager
    def _busy(self) -> typing.Iterator[None]:
        """Count the time inside as busy; overlapping uses count once."""
        if self._active_phases == 0:
            self._busy_since_s = trio.current_time()
        self._active_phases += 1
        try:
            yield
        finally:
            self._active_phases -= 1
            if self._active_phases == 0:
                self.busy_s += trio.current_time() - self._busy_since_s

    async def _report_forever(self) -> None:
        """Refresh the load report every ``load_lag_s`` seconds."""
        while True:
            self._report = LoadReport(
                queued_tokens=self._queued_tokens,
                running=len(self._decoding),
                slots=self.profile.slots,
                time_s=trio.current_time(),
            )
            await trio.sleep(self.profile.load_lag_s)
