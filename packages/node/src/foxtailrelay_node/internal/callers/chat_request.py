"""A validated chat-completions request."""

import json
import typing

from foxtailrelay_core import errors
import pydantic

from foxtailrelay_node.internal.callers import request_failed

DEFAULT_MAX_TOKENS = 256


class _Message(pydantic.BaseModel, extra='allow'):
    """One message; unknown fields are forwarded to the engine."""

    role: str
    content: str | list | None = None


class _Body(pydantic.BaseModel, extra='allow'):
    """The fields that the node reads; others are forwarded unchanged."""

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
    """A caller's request to a model.

    Parameters
    ----------
    fields : dict
        The complete JSON body.
    service : str
        Name of the model service, from the field ``model``.
    messages : list of dict
        Messages of the conversation.
    stream : bool
        Whether the answer is streamed as events.
    max_tokens : int
        Maximum length of the answer.
    is_repeatable : bool
        Whether the answer is deterministic, so that another engine would
        generate the same one.
    """

    fields: dict[str, typing.Any]
    service: str
    messages: list[dict]
    stream: bool
    max_tokens: int
    is_repeatable: bool

    @classmethod
    def from_body(cls, body: bytes) -> 'ChatRequest':
        """Parse and validate a request body.

        Raises
        ------
        RequestFailed
            If it is not JSON or not a chat-completions request.
        """
        try:
            fields = json.loads(body)
            validated = _Body.model_validate(fields)
        except (ValueError, RecursionError) as error:
            raise request_failed.RequestFailed.of(
                errors.ErrorKind.BAD_REQUEST, _describe_error(error)
            ) from error
        limit = validated.max_completion_tokens or validated.max_tokens
        return cls(
            fields=fields,
            service=validated.model,
            messages=fields['messages'],
            stream=validated.stream,
            max_tokens=limit or DEFAULT_MAX_TOKENS,
            is_repeatable=(
                validated.seed is not None or validated.temperature == 0
            ),
        )

    def engine_body(self, partial_answer: str) -> bytes:
        """Return the request body for an engine, which always streams.

        An engine continues `partial_answer` if it isn't empty.
        """
        fields = self.fields | {
            'stream': True,
            'max_tokens': self.max_tokens,
        }
        if partial_answer:
            fields['partial_answer'] = partial_answer
        return json.dumps(fields).encode()


def _describe_error(error: Exception) -> str:
    """Return what is wrong with a body and where."""
    if isinstance(error, pydantic.ValidationError):
        problems = [
            f'{".".join(str(part) for part in item["loc"]) or "body"}: '
            f'{item["msg"].lower()}'
            for item in error.errors()
        ]
        return '; '.join(problems)
    if isinstance(error, json.JSONDecodeError):
        return (
            f'the body is not JSON: {error.msg} at line {error.lineno}, '
            f'column {error.colno}'
        )
    return f'the body is not JSON: {error}'
