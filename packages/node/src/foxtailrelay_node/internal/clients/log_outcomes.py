"""How calls to the log service can end."""

import dataclasses
import typing


class LogRecord(typing.NamedTuple):
    """One record of a stream."""

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class Appended:
    """The record stands at ``offset``."""

    offset: int


@dataclasses.dataclass(frozen=True)
class AppendRefused:
    """The record was not appended and will not be."""

    cause: str


@dataclasses.dataclass(frozen=True)
class AppendUnconfirmed:
    """Whether the record was appended must be read from the stream."""

    cause: str


@dataclasses.dataclass(frozen=True)
class Page:
    """Consecutive records.

    Parameters
    ----------
    records : tuple of LogRecord
        May be empty.
    next_offset : int
        Offset that the next append to the stream will get.
    """

    records: tuple[LogRecord, ...]
    next_offset: int


@dataclasses.dataclass(frozen=True)
class Expired:
    """The wanted offset is no longer kept; ``first_offset`` is."""

    first_offset: int


@dataclasses.dataclass(frozen=True)
class ReadFailed:
    """The log service did not answer."""

    cause: str


AppendOutcome = Appended | AppendRefused | AppendUnconfirmed
ReadOutcome = Page | Expired | ReadFailed
