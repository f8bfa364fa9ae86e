"""Results of an attempt."""

import dataclasses

from foxtailrelay_node.internal.relay import answer_head


@dataclasses.dataclass(frozen=True)
class Done:
    """The whole answer was sent to the caller.

    Parameters
    ----------
    is_close_delimited : bool
        Whether only the end of the connection marked the end of the answer.
    """

    is_close_delimited: bool = False


@dataclasses.dataclass(frozen=True)
class Unconfirmed:
    """The stream has ended; another server may know of events that follow.

    Parameters
    ----------
    rest : bytes
        What the server wrote after the last event.
    may_be_told : bool
        Whether the end counts if no other server contradicts it.
    """

    rest: bytes
    may_be_told: bool = True


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The backend server did not run the request and never will.

    Parameters
    ----------
    reason : str
        Cause, for the log and the caller.
    is_quiet_request : bool
        Whether the server refused to keep this node away for some time,
        which does not count as a failure.
    is_rejected : bool
        Whether the server had no room for the request.
    """

    reason: str
    is_quiet_request: bool = False
    is_rejected: bool = False


@dataclasses.dataclass(frozen=True)
class Broken:
    """The answer is missing, invalid or truncated.

    Parameters
    ----------
    reason : str
        Cause, for the log and the caller.
    is_disconnect : bool
        Whether the connection ended before the answer did.
    is_without_room : bool
        Whether this node had no memory for the answer, which says nothing
        about the server.
    is_at_deadline : bool
        Whether the server's time was up, which is not its failure.
    """

    reason: str
    is_disconnect: bool = False
    is_without_room: bool = False
    is_at_deadline: bool = False

    @classmethod
    def at_deadline(cls) -> 'Broken':
        """Return the result of an answer that its server may have given up."""
        return cls('the answer ended at the deadline', is_at_deadline=True)


@dataclasses.dataclass(frozen=True)
class ServerFailure:
    """The backend server answered with an error status."""

    head: answer_head.AnswerHead
    body: bytes


Result = Done | Unconfirmed | NotRun | Broken | ServerFailure


def is_blameless(result: Result) -> bool:
    """Whether a failed attempt says nothing about its server."""
    match result:
        case NotRun(is_quiet_request=is_quiet):
            return is_quiet
        case Broken():
            return result.is_without_room or result.is_at_deadline
    return False
