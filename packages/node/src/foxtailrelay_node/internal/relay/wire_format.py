"""The port that translates between the relay and HTTP headers."""

import abc
import typing

from foxtailrelay_core import errors

from foxtailrelay_node.internal.relay import answer_head
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay import caller_request

Headers = typing.Sequence[tuple[bytes, bytes]]


class ForwardingContext(typing.NamedTuple):
    """What the relay adds to a request for one backend server.

    Parameters
    ----------
    server : BackendServer
        The only server that shall run the request.
    left_s : float
        Time left, in seconds.
    organisation : str or None
        The caller's organisation.
    urgency : int
        0 (first) to 9.
    after_event : int or None
        The event after which a stream goes on.
    """

    server: backend_server.BackendServer
    remaining_s: float
    organisation: str | None
    urgency: int
    last_event_id: int | None


class WireFormat(abc.ABC):
    """Names and forms of headers on the platform's wire."""

    @abc.abstractmethod
    def decode_request(
        self, method: bytes, target: bytes, headers: Headers
    ) -> caller_request.CallerRequest | errors.Failure:
        """Decode a caller's request, or say what is wrong with it."""

    @abc.abstractmethod
    def encode_request(
        self,
        request: caller_request.CallerRequest,
        handover: ForwardingContext,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request to a backend server.

        Length or transfer encoding of the body is not among them.
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
        """Return the headers of an answer that the relay makes itself."""
