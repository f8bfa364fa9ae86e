"""A caller's decoded request."""

import typing


class PromptPart(typing.NamedTuple):
    """A part of a prompt that an engine may have cached."""

    id: str
    tokens: int


class CallerRequest(typing.NamedTuple):
    """The fields of a request that the relay uses.

    Parameters
    ----------
    request_id : str
        Id of this attempt of the caller.
    method, target, host : str
        Method, path with query, and host as received.
    forwarded_headers : tuple of pairs of bytes
        End-to-end headers that are forwarded unchanged to the backend server.
    api_key : str or None
        The caller's API key.
    deadline_s : float or None
        Seconds until the caller gives up.
    prompt_tokens, answer_tokens : int or None
        Length of the prompt and maximum length of the answer.
    prompt_parts : tuple of PromptPart
        The prompt's parts in order.  The last one is specific to the request
        or its session.
    last_event_id : int or None
        The event after which the caller resumes a stream.
    resumes : str
        Id of the caller's attempt that received the first event of the
        stream; empty if it names none.
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
    resumes: str = ''

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition('?')[0]
