"""Interface to the platform's store.

All offsets here are positions, which include the era of the store; see
:mod:`store_position`.
"""

import abc
import dataclasses
import typing

# What a node keeps of a topic, whatever is written to it.
MAX_TOPIC_BYTES = 8 << 20
# The objects of a record, and what is decoded of it.
_RECORD_OVERHEAD_BYTES = 512


class KeyedRecord(typing.NamedTuple):
    """The newest record of a key.

    Parameters
    ----------
    key : str
        The key.
    offset : int
        Position of the record in its topic (:mod:`store_position`).
    value : bytes or None
        None for a tombstone.
    """

    key: str
    offset: int
    value: bytes | None

    @property
    def kept_bytes(self) -> int:
        """The memory that is needed to keep the record."""
        return len(self.key) + len(self.value or b'') + _RECORD_OVERHEAD_BYTES


class Snapshot(typing.NamedTuple):
    """The newest record of each key, and the end offset of the topic.

    Parameters
    ----------
    records : tuple of KeyedRecord
        The records.
    end : int
        Offset after the last record of the topic.
    is_truncated : bool
        Whether the topic has more records than are kept.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    is_truncated: bool = False


class Changes(typing.NamedTuple):
    """The records from an offset on.

    Parameters
    ----------
    records : tuple of KeyedRecord
        Records in the order of their offsets.
    end : int
        Offset after the last record.
    is_complete : bool
        Whether this was the end of the topic.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    is_complete: bool = True


@dataclasses.dataclass(frozen=True)
class Expired:
    """The requested records have expired; a snapshot is needed instead.

    If the store was restored, ``first`` belongs to a later era than the
    requested offset.
    """

    first: int


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The store did not answer, or not as expected.

    Parameters
    ----------
    reason : str
        Cause, for the log.
    may_have_run : bool
        Whether the call may have been carried out or may still be.
    """

    reason: str
    may_have_run: bool = True


@dataclasses.dataclass(frozen=True)
class Appended:
    """A record was appended at ``offset``."""

    offset: int


@dataclasses.dataclass(frozen=True)
class EndMoved:
    """Nothing was appended since the topic ends at ``end``."""

    end: int


class TopicStore(abc.ABC):
    """Topics of the platform's store, one partition each."""

    def known_era(self) -> int:
        """Return the latest era that an answer of the store has shown."""
        return 0

    @abc.abstractmethod
    async def read_snapshot(self, topic: str) -> Snapshot | Unavailable:
        """Read the newest record of each key of a keyed topic."""

    @abc.abstractmethod
    async def read_changes(
        self, topic: str, offset: int, wait_s: float
    ) -> Changes | Expired | Unavailable:
        """Read a keyed topic from ``offset``; wait for records if none."""

    @abc.abstractmethod
    async def read_log(
        self, topic: str, offset: int
    ) -> Changes | Expired | Unavailable:
        """Read a plain topic from ``offset`` without waiting.

        The records have an empty key.
        """

    @abc.abstractmethod
    async def append_at(
        self, topic: str, offset: int, record: bytes
    ) -> Appended | EndMoved | Unavailable:
        """Append to a plain topic if it ends at ``offset``."""

    @abc.abstractmethod
    async def append_keyed(
        self, topic: str, key: str, value: bytes
    ) -> Appended | Unavailable:
        """Append the newest record of a key."""

    async def append_keyed_at(
        self, topic: str, offset: int, key: str, value: bytes
    ) -> Appended | EndMoved | Unavailable:
        """Append the newest record of a key if the topic ends there."""
        raise NotImplementedError
