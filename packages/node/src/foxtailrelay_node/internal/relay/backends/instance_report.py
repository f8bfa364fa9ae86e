"""What a backend server says of its own process."""

import abc
import enum
import typing

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import health_check


class InstanceProof(enum.Enum):
    """Whether the listed instance is the one that answers at its address."""

    PROVED = 'the listed instance reports its start'
    OTHER = 'another instance answers at its address'
    NONE = 'no report shows which instance answers'
    LOST = 'the connection ended before a report'


class ReportRequest(typing.NamedTuple):
    """A request for a report or a health check.

    Parameters
    ----------
    method, target : str
        Method and target of the request line.
    headers : list of pairs of bytes
        Its headers.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]


class InstanceReport(typing.NamedTuple):
    """The identity of the process that answers at an address.

    Parameters
    ----------
    started_ms : int or None
        When the process started, in Unix milliseconds; None if it does not
        say.
    has_other_id : bool
        Whether its id is not the one that was asked for.
    """

    started_ms: int | None
    has_other_id: bool = False

    def compare(self, server: backend_server.BackendServer) -> InstanceProof:
        """Return whether this is the report of a listed instance.

        Ids alone identify instances only where nobody names a start.
        """
        if self.has_other_id:
            return InstanceProof.OTHER
        listed_ms = server.started_ms or None
        if self.started_ms == listed_ms:
            return InstanceProof.PROVED
        if self.started_ms is None or listed_ms is None:
            return InstanceProof.NONE
        return InstanceProof.OTHER


class ReportFormat(abc.ABC):
    """Format of the platform's reports."""

    @abc.abstractmethod
    def encode_request(
        self, server: backend_server.BackendServer
    ) -> ReportRequest:
        """Return the request that only this server is to answer."""

    @abc.abstractmethod
    def encode_health_request(
        self, server: backend_server.BackendServer, path: str
    ) -> ReportRequest:
        """Return a health check that only this server is to answer."""

    @abc.abstractmethod
    def decode_health(
        self,
        server: backend_server.BackendServer,
        status: int,
        headers: typing.Sequence[tuple[bytes, bytes]],
    ) -> health_check.HealthCheck:
        """Return what the answer to a health check shows."""

    @abc.abstractmethod
    def decode_answer(
        self,
        server: backend_server.BackendServer,
        status: int,
        headers: typing.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> InstanceReport | None:
        """Return the report, or None if the answer is none."""
