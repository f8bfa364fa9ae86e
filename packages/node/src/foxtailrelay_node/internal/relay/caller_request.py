"""A caller's request, decoded."""

import typing


class PromptPart(typing.NamedTuple):
    """A part of a prompt that may be in an engine's cache."""

    id: str
    tokens: int


class CallerRequest(typing.NamedTuple):
    """What the relay needs to know of a request.

    Parameters
    ----------
    request_id : str
        Names this attempt of the caller.
    method, target, host : str
        Method, path with query, and host as received.
    passed_headers : tuple of pairs of bytes
        End-to-end headers that go to the backend server as they are.
    api_key : str or None
        The key that the caller presents.
    deadline_s : float or None
        How long the caller waits, in seconds.
    prompt_tokens, answer_tokens : int or None
        Length of the prompt and longest answer, in tokens.
    prompt_parts : tuple of PromptPart
        The prompt's parts in order; the last belongs to the request or to
        its session.
    last_event_id : int or None
        The event after which the caller goes on with a stream.
    """

    request_id: str
    method: str
    target: str
    host: str
    forwarded_headers: tuple[tuple[bytes, bytes], ...]
    api_key: str | None
    deadline_s: float | None
    prompt_tokens: int | None
    answer_tokens: int | None
    prompt_parts: tuple[PromptPart, ...]
    last_event_id: int | None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]
