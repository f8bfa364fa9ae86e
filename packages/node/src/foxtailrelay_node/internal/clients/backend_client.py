"""Interface to plain backend servers."""

import abc
import typing

from foxtailrelay_node.internal.clients import http_outcomes


class BackendAddress(typing.NamedTuple):
    """Where a backend server listens."""

    name: str
    host: str
    port: int


class BackendCall(typing.NamedTuple):
    """A call to a plain backend server.

    Parameters
    ----------
    method, path : str
        Method and path with query, as the backend server expects them.
    headers : tuple of (str, str)
        Headers to pass on.
    body : bytes
        Body to pass on.
    timeout_s : float
        Time left for the whole answer.
    repeatable : bool
        Whether the call may be sent again.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    may_retry: bool


class BackendClient(abc.ABC):
    """Calls plain backend servers."""

    @abc.abstractmethod
    async def call(
        self, address: BackendAddress, call: BackendCall
    ) -> http_outcomes.HttpOutcome:
        """Send a call once and return how it ended."""
