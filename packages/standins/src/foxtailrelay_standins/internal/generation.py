"""One answer that an engine computes."""

import enum
import typing

import trio
import xxhash

_WORDS = (
    'edge', 'mill', 'drill', 'saw', 'hob', 'flute', 'pitch', 'ride', 'trail',
    'clip', 'frame', 'ridge', 'snow', 'lens', 'track', 'angle',
)  # fmt: skip


class GenerationRequest(typing.NamedTuple):
    """What an engine is asked to generate.

    Parameters
    ----------
    request_id : str
        Name of the request, the same when it is resumed.
    model, prompt : str
        Model name and the joined text of the prompt.
    max_tokens : int
        Length of the answer in tokens.
    priority : int
        A lower value is served first.
    partial_answer : str
        Beginning of the answer that another engine computed already.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    partial_answer: str = ''


class GenerationState(enum.Enum):
    """How far a generation has come."""

    QUEUED = 'queued'
    DECODING = 'decoding'
    FINISHED = 'finished'
    CANCELLED = 'cancelled'


class Generation:
    """The tokens of one answer as they are computed."""

    def __init__(self, request: GenerationRequest) -> None:
        self.request = request
        self.state = GenerationState.QUEUED
        self.tokens: list[str] = []
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.submitted_s = trio.current_time()
        self.first_token_s: float | None = None
        self._prompt_hash = xxhash.xxh64_intdigest(request.prompt.encode())
        self._changed = trio.Event()

    def expected_token(self, index: int) -> str:
        """Return the token that any engine computes at ``index``."""
        digest = xxhash.xxh64_intdigest(
            str(index).encode(), seed=self._prompt_hash
        )
        return _WORDS[digest % len(_WORDS)] + ' '

    def expected_answer(self) -> str:
        """Return the whole answer that any engine computes."""
        return ''.join(
            self.expected_token(index)
            for index in range(self.request.max_tokens)
        )

    @property
    def ended(self) -> bool:
        """Whether no more tokens will come."""
        return self.state in (
            GenerationState.FINISHED,
            GenerationState.CANCELLED,
        )

    @property
    def is_complete(self) -> bool:
        """Whether all wanted tokens are there."""
        return len(self.tokens) >= self.request.max_tokens

    def add_token(self) -> None:
        """Compute one more token, and end after the last one."""
        if self.first_token_s is None:
            self.first_token_s = trio.current_time()
        self.tokens.append(self.expected_token(len(self.tokens)))
        if self.is_complete:
            self.state = GenerationState.FINISHED
        self._notify()

    def finish(self) -> None:
        """End a generation whose tokens are all there."""
        self.state = GenerationState.FINISHED
        self._notify()

    def cancel(self) -> None:
        """Stop computing."""
        if not self.ended:
            self.state = GenerationState.CANCELLED
        self._notify()

    async def wait_for_more_than(self, count: int) -> None:
        """Wait until there are more than ``count`` tokens, or the end."""
        while len(self.tokens) <= count and not self.ended:
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
