"""A chat-completions request, checked."""

import json
import typing

from foxtailrelay_core import errors
import pydantic

from foxtailrelay_node.internal.callers import request_failed

DEFAULT_MAX_TOKENS = 256


class _Message(pydantic.BaseModel, extra='allow'):
    """One message; unknown fields are passed on."""

    role: str
    content: str | list | None = None


class _Body(pydantic.BaseModel, extra='allow'):
    """What this system reads of the body; the rest is passed on."""

    model: str
    messages: typing.Annotated[list[_Message], pydantic.Field(min_length=1)]
    stream: bool = False
    max_tokens: typing.Annotated[int, pydantic.Field(ge=1)] | None = None
    max_completion_tokens: (
        typing.Annotated[int, pydantic.Field(ge=1)] | None
    ) = None
    temperature: float | None = None
    seed: int | None = None


class ChatRequest(typing.NamedTuple):
    """A model request of a caller.

    Parameters
    ----------
    fields : dict
        The whole JSON body.
    service : str
        The model service, named in ``model``.
    messages : list of dict
        The conversation.
    stream : bool
        Whether the caller wants events.
    max_tokens : int
        Longest answer.
    is_repeatable : bool
        Whether another engine would give the same answer.
    """

    fields: dict[str, typing.Any]
    service: str
    messages: list[dict]
    stream: bool
    max_tokens: int
    is_repeatable: bool

    @classmethod
    def from_body(cls, body: bytes) -> 'ChatRequest':
        """Parse a body.

        Raises
        ------
        RequestFailed
            If it is not JSON or not a chat-completions request.
        """
        try:
            fields = json.loads(body)
            checked = _Body.model_validate(fields)
        except (ValueError, RecursionError) as error:
            raise request_failed.RequestFailed.of(
                errors.ErrorKind.BAD_REQUEST, _explain(error)
            ) from error
        limit = checked.max_completion_tokens or checked.max_tokens
        return cls(
            fields=fields,
            service=checked.model,
            messages=fields['messages'],
            stream=checked.stream,
            max_tokens=limit or DEFAULT_MAX_TOKENS,
            is_repeatable=(
                checked.seed is not None or checked.temperature == 0
            ),
        )

    def engine_body(self, partial_answer: str) -> bytes:
        """Return the body for an engine, which always streams."""
        fields = self.fields | {
            'stream': True,
            'max_tokens': self.max_tokens,
        }
        if partial_answer:
            fields['partial_answer'] = partial_answer
        return json.dumps(fields).encode()


def _explain(error: Exception) -> str:
    """Name the place and the fix."""
    if isinstance(error, pydantic.ValidationError):
        places = [
            f'{".".join(str(part) for part in item["loc"]) or "body"}: '
            f'{item["msg"].lower()}'
            for item in error.errors()
        ]
        return '; '.join(places)
    if isinstance(error, json.JSONDecodeError):
        return (
            f'the body is not JSON: {error.msg} at line {error.lineno}, '
            f'column {error.colno}'
        )
    return f'the body is not JSON: {error}'
