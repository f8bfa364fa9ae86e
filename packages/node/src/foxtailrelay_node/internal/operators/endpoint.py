"""HTTP endpoint ``POST /operator/statements``."""

import json
import typing

from foxtailrelay_core import errors
import pydantic
from starlette import responses

from foxtailrelay_node.internal.callers import request_failed
from foxtailrelay_node.internal.operators import executor

_MAX_WAIT_S = 60.0


class _Body(typing.NamedTuple):
    """JSON body of a request."""

    text: str
    base: int | None = None
    wait_s: typing.Annotated[float, pydantic.Field(ge=0, le=_MAX_WAIT_S)] = 0.0


_ADAPTER = pydantic.TypeAdapter(_Body)


class OperatorEndpoint:
    """Executes operator statements and returns their results as JSON."""

    def __init__(self, statement_executor: executor.Executor) -> None:
        self._executor = statement_executor

    async def serve(self, operator: str, body: bytes) -> responses.Response:
        """Execute the statements of a request body.

        Raises
        ------
        RequestFailed
            If the body is invalid.
        """
        try:
            fields = _ADAPTER.validate_python(json.loads(body))
        except ValueError as error:
            raise request_failed.RequestFailed.of(
                errors.ErrorKind.BAD_REQUEST,
                'expected a JSON object with text and, optionally, base and '
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
