"""A request that cannot be read."""

import typing

from foxtailrelay_core import errors

from foxtailrelay_node.internal.relay.http import raw_request

NO_ROOM = "the node has no memory for more of its callers' requests"


class Refused(typing.NamedTuple):
    """Why a request could not be read.

    Parameters
    ----------
    status : int
        Status of the answer.
    reason : str
        Cause, for the caller.
    request : RawRequest or None
        The request without its body, if only that is missing.
    kind : ErrorKind or None
        Kind of the error, if the status alone does not imply it.
    """

    status: int
    reason: str
    request: raw_request.RawRequest | None = None
    kind: errors.ErrorKind | None = None

    @classmethod
    def without_room(cls, request: raw_request.RawRequest) -> 'Refused':
        """Refuse a request whose body the node has no memory for."""
        return cls(503, NO_ROOM, request, errors.ErrorKind.OVERLOADED)
