"""Sends statements to a node."""

import dataclasses
import json
import typing

import httpcore

_OK = 200
_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """No node answered; ``causes`` has one line for each node tried."""

    causes: tuple[str, ...]


class NodeClient:
    """Sends statements to the first of several nodes that is reachable.

    Parameters
    ----------
    nodes : list of str
        Addresses such as ``http://127.0.0.1:8101``.
    token : str
        Bearer token of the operator.
    """

    def __init__(self, nodes: list[str], token: str) -> None:
        self._nodes = nodes
        self._token = token

    def run(
        self, text: str, base: int | None, wait_s: float
    ) -> list[dict[str, typing.Any]] | Unreachable:
        """Send statements and return one result for each.

        If a node may have received them, they are not sent to another one.
        """
        body = {'text': text, 'base': base, 'wait_s': wait_s}
        timeout = {'connect': _TIMEOUT_S, 'read': _TIMEOUT_S + wait_s}
        causes = []
        for node in self._nodes:
            try:
                response = httpcore.request(
                    'POST',
                    f'{node.rstrip("/")}/operator/statements',
                    headers={
                        'Authorization': f'Bearer {self._token}',
                        'Content-Type': 'application/json',
                    },
                    content=json.dumps(body).encode(),
                    extensions={'timeout': timeout},
                )
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                causes.append(f'{node}: {error}')
                continue
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
            ) as error:
                causes.append(
                    f'{node}: {type(error).__name__}; the statements may have '
                    'been run'
                )
                break
            return _results(response)
        return Unreachable(tuple(causes))


def _results(response: httpcore.Response) -> list[dict[str, typing.Any]]:
    """Return the results, or the problem document as the only result."""
    answer = json.loads(response.content)
    if response.status == _OK:
        return answer['results']
    return [answer | {'kind': 'problem', 'problem': answer['kind']}]
