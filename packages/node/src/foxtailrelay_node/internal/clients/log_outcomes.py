"""Outcomes of calls to the log service."""

import dataclasses
import typing


class LogRecord(typing.NamedTuple):
    """One record of a stream."""

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class Appended:
    """The record was appended at ``offset``."""

    offset: int


@dataclasses.dataclass(frozen=True)
class AppendRefused:
    """The record was not appended and never will be."""

    cause: str


@dataclasses.dataclass(frozen=True)
class AppendUnconfirmed:
    """The record may have been appended; read the stream to find out."""

    cause: str


@dataclasses.dataclass(frozen=True)
class Page:
    """Consecutive records of a stream.

    Parameters
    ----------
    records : tuple of LogRecord
        The records read; may be empty.
    next_offset : int
        Offset of the next record to be appended to the stream.
    """

    records: tuple[LogRecord, ...]
    next_offset: int


@dataclasses.dataclass(frozen=True)
class Expired:
    """The requested offset was deleted; ``first_offset`` is the oldest."""

    first_offset: int


@dataclasses.dataclass(frozen=True)
class ReadFailed:
    """The log service returned no valid answer."""

    cause: str


AppendOutcome = Appended | AppendRefused | AppendUnconfirmed
ReadOutcome = Page | Expired | ReadFailed
