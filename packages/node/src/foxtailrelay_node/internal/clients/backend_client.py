"""Client interface for plain backend servers."""

import abc
import typing

from foxtailrelay_node.internal.clients import http_outcomes


class BackendAddress(typing.NamedTuple):
    """Name and network address of a backend server."""

    name: str
    host: str
    port: int


class BackendCall(typing.NamedTuple):
    """One call to a plain backend server.

    Parameters
    ----------
    method, path : str
        HTTP method, and path with query, sent to the backend server.
    headers : tuple of (str, str)
        Request headers.
    body : bytes
        Request body.
    timeout_s : float
        Seconds until the complete answer must have arrived.
    may_retry : bool
        Whether the call may be sent again after a failure.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    may_retry: bool


class BackendClient(abc.ABC):
    """Sends calls to plain backend servers."""

    @abc.abstractmethod
    async def call(
        self, address: BackendAddress, call: BackendCall
    ) -> http_outcomes.HttpOutcome:
        """Send a call once, without retries, and return its outcome."""
