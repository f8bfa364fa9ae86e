"""Outcomes of writing a record."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Written:
    """The record is in the log at ``offset`` and has been applied here."""

    offset: int


@dataclasses.dataclass(frozen=True)
class WriteRefused:
    """The record is not in the log and will not be."""

    cause: str


@dataclasses.dataclass(frozen=True)
class WriteUnconfirmed:
    """The record may still appear in the log."""

    cause: str


WriteOutcome = Written | WriteRefused | WriteUnconfirmed
