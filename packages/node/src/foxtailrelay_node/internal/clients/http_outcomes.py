"""Outcomes of an HTTP call."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class HttpAnswer:
    """A complete answer.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tuple of (str, str)
        Header names are in lower case.
    body : bytes
        Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class JsonAnswer:
    """A complete answer whose body is a JSON object.

    Parameters
    ----------
    status : int
        HTTP status code.
    document : dict
        The object; empty unless the status is one that was asked for.
    """

    status: int
    document: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte of the request was sent."""

    cause: str


@dataclasses.dataclass(frozen=True)
class Unclear:
    """The request may have arrived, but no complete answer was received.

    Parameters
    ----------
    cause : str
        Why there is no answer.
    is_too_long : bool
        Whether the answer was longer than there is room for.
    """

    cause: str
    is_too_long: bool = False


HttpOutcome = HttpAnswer | NotSent | Unclear
JsonOutcome = JsonAnswer | NotSent | Unclear
