"""Which processes of backend servers wrote which events."""

import collections
import typing

from soak import server_process
from standin import wire_faults

CHUNKED = 'chunked'
_SHOWN_BYTES = 60


class Run(typing.NamedTuple):
    """A run of a stream.

    Parameters
    ----------
    process : ServerProcess
        The process that ran it.
    after : int
        The event after which it was to begin; 0 for the beginning.
    numbers : frozenset of int
        The events that it wrote.
    framing : str
        What marked the end of its answer.
    weights : frozenset of int
        The events before which it named the version of its weights.
    """

    process: server_process.ServerProcess
    after: int
    numbers: frozenset[int]
    framing: str = CHUNKED
    weights: frozenset[int] = frozenset()

    @property
    def weights_line(self) -> bytes:
        """The line that names the version of its weights."""
        return wire_faults.weights_line(self.process.number)

    def describe(self) -> str:
        """Return the process and the events for messages."""
        events = ', '.join(map(str, sorted(self.numbers))) or 'none'
        text = f'{self.process.describe()} after {self.after}: {events}'
        if self.framing != CHUNKED:
            text += f' ({self.framing})'
        return text


class EventSources:
    """Finds the runs that may have written an event.

    Parameters
    ----------
    processes : iterable of ServerProcess
        All processes that have served.
    """

    def __init__(
        self, processes: typing.Iterable[server_process.ServerProcess]
    ) -> None:
        self._runs_by_id: dict[str, list[Run]] = collections.defaultdict(list)
        self._process_by_source: dict[bytes, server_process.ServerProcess] = {}
        for process in processes:
            source = process.stand_in.event_source
            self._process_by_source[source] = process
            for run in process.stand_in.stream_runs:
                self._runs_by_id[run.request_id].append(
                    Run(
                        process,
                        run.after,
                        frozenset(run.numbers),
                        run.framing,
                        frozenset(run.weights),
                    )
                )

    def names_of(self, request_id: str) -> list[bytes]:
        """Return what the events of a request may name as their source."""
        names = {
            run.process.stand_in.event_source
            for run in self._runs_by_id.get(request_id, [])
        }
        return sorted(names)

    def find_runs(
        self, request_id: str, number: int, text: bytes
    ) -> list[Run]:
        """Return the runs that may have written an event.

        Parameters
        ----------
        request_id : str
            The request that was answered.
        number : int
            Place of the event in its stream, from 1.
        text : bytes
            Text of the event; one byte names no source.
        """
        name = text.partition(b' ')[0] if len(text) > 1 else None
        return [
            run
            for run in self._runs_by_id.get(request_id, [])
            if number in run.numbers
            and name in (None, run.process.stand_in.event_source)
        ]

    def runs_of(self, request_id: str) -> list[Run]:
        """Return all runs of a request."""
        return self._runs_by_id.get(request_id, [])

    def weights_lines(
        self, request_id: str, number: int, name: bytes
    ) -> set[bytes]:
        """Return the lines that a process wrote before an event."""
        return {
            run.weights_line
            for run in self.runs_of(request_id)
            if number in run.weights
            and run.process.stand_in.event_source == name
        }

    def describe_event(self, number: int, text: bytes) -> str:
        """Return number, version and process of an event for messages."""
        process = self._process_by_source.get(text.partition(b' ')[0])
        if process is None:
            return f'event {number} ({text[:_SHOWN_BYTES]!r})'
        return f'event {number} of {process.describe()}'

    def framings_of(self, request_ids: typing.Iterable[str]) -> str:
        """Return how the runs of requests were framed."""
        framings = {
            run.framing
            for request_id in request_ids
            for run in self._runs_by_id.get(request_id, [])
        }
        return ' and '.join(sorted(framings)) or 'without a run'

    def describe_runs(self, request_id: str) -> str:
        """Return all runs of a request for messages."""
        runs = self._runs_by_id.get(request_id, [])
        return f'runs of {request_id}: ' + (
            '; '.join(run.describe() for run in runs) or 'none'
        )
