"""``POST /operator/statements``."""

import json
import typing

from foxtailrelay_core import errors
import pydantic
from starlette import responses

from foxtailrelay_node.internal.callers import request_failed
from foxtailrelay_node.internal.operators import executor

_LONGEST_WAIT_S = 60.0


class _Body(typing.NamedTuple):
    """The JSON body."""

    text: str
    base: int | None = None
    wait_s: typing.Annotated[
        float, pydantic.Field(ge=0, le=_LONGEST_WAIT_S)
    ] = 0.0


_ADAPTER = pydantic.TypeAdapter(_Body)


class OperatorEndpoint:
    """Answers operators' statements with one JSON document."""

    def __init__(self, statements: executor.Executor) -> None:
        self._executor = statements

    async def serve(self, operator: str, body: bytes) -> responses.Response:
        """Carry out the statements of a body.

        Raises
        ------
        RequestFailed
            If the body is malformed.
        """
        try:
            fields = _ADAPTER.validate_python(json.loads(body))
        except ValueError as error:
            raise request_failed.RequestFailed.of(
                errors.ErrorKind.BAD_REQUEST,
                'expected a JSON object with text, and perhaps base and '
                f'wait_s: {error}',
            ) from error
        results = await self._executor.run(
            executor.StatementRequest(
                operator, fields.text, fields.base, fields.wait_s
            )
        )
        return responses.JSONResponse(
            {'results': [result.to_json() for result in results]}
        )
