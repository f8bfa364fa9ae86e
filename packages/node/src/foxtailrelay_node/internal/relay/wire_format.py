"""The interface that encodes and decodes HTTP headers."""

import abc
import typing

from foxtailrelay_core import errors

from foxtailrelay_node.internal.relay import answer_head
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay import caller_request

Headers = typing.Sequence[tuple[bytes, bytes]]


class ForwardingContext(typing.NamedTuple):
    """Data that the relay adds to a request for a backend server.

    Parameters
    ----------
    server : BackendServer
        The only server that may run the request.
    remaining_s : float
        Time until the deadline.
    organisation : str or None
        The caller's organisation.
    urgency : int
        0 (most urgent) to 9.
    last_event_id : int or None
        The event after which a stream is resumed.
    """

    server: backend_server.BackendServer
    remaining_s: float
    organisation: str | None
    urgency: int
    last_event_id: int | None


class WireFormat(abc.ABC):
    """Names and formats of the platform's HTTP headers."""

    @abc.abstractmethod
    def decode_request(
        self, method: bytes, target: bytes, headers: Headers
    ) -> caller_request.CallerRequest | errors.Failure:
        """Decode a caller's request, or return why it is invalid."""

    @abc.abstractmethod
    def encode_request(
        self,
        request: caller_request.CallerRequest,
        context: ForwardingContext,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request to a backend server.

        The length or transfer encoding of the body is not included.
        """

    @abc.abstractmethod
    def decode_answer(
        self, status: int, headers: Headers
    ) -> answer_head.AnswerHead:
        """Decode the head of a backend server's answer."""

    @abc.abstractmethod
    def encode_failure(
        self, failure: errors.Failure, request_id: str | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer that the relay itself creates."""
