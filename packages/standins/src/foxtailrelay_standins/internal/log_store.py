"""Model of the platform's append-only log service."""

import dataclasses
import typing

import trio


@dataclasses.dataclass
class LogFaults:
    """Faults that are injected into the log service.

    Parameters
    ----------
    down : bool
        Refuse every call.
    delay_s : float
        Seconds of delay before each call takes effect.
    lost_answers : int
        Number of next appends that take effect but get no answer.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0


class StoredRecord(typing.NamedTuple):
    """One record and its offset."""

    offset: int
    data: bytes


class Stream:
    """The retained records of one stream."""

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[bytes] = []
        self.record_appended = trio.Event()

    @property
    def next_offset(self) -> int:
        """Offset of the next record to be appended."""
        return self.first_offset + len(self.records)


class LogStore:
    """Named streams of records with consecutive offsets from 0."""

    def __init__(self) -> None:
        self.faults = LogFaults()
        self.append_count = 0
        self._stream_by_name: dict[str, Stream] = {}

    def stream(self, name: str) -> Stream:
        """Return a stream; a new one is empty."""
        return self._stream_by_name.setdefault(name, Stream())

    def append(self, name: str, data: bytes) -> int:
        """Append a record and return its offset."""
        stream = self.stream(name)
        stream.records.append(data)
        self.append_count += 1
        stream.record_appended.set()
        stream.record_appended = trio.Event()
        return stream.next_offset - 1

    def read(
        self, name: str, from_offset: int, limit: int
    ) -> list[StoredRecord]:
        """Return up to ``limit`` records, starting at an offset."""
        stream = self.stream(name)
        start = max(0, from_offset - stream.first_offset)
        selected = stream.records[start : start + limit]
        first = stream.first_offset + start
        return [
            StoredRecord(first + index, data)
            for index, data in enumerate(selected)
        ]

    async def wait_for_offset(
        self, name: str, offset: int, wait_s: float
    ) -> None:
        """Wait up to ``wait_s`` seconds for the record at ``offset``."""
        with trio.move_on_after(wait_s):
            while self.stream(name).next_offset <= offset:
                await self.stream(name).record_appended.wait()

    def expire(self, name: str, before_offset: int) -> None:
        """Delete the records before an offset, as on expiry."""
        stream = self.stream(name)
        count = min(
            max(0, before_offset - stream.first_offset), len(stream.records)
        )
        del stream.records[:count]
        stream.first_offset += count
