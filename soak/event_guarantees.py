"""Checks of the run, the process and the version of each event."""

import collections
import re
import typing

from soak import answer_guarantees
from soak import event_sources
from soak import request_record

_EVENT = re.compile(
    rb'(?:weight-versions: \d+\n)?(?:id: \d+\n)?data: ([^\n]*)\n\n'
)


class _Event(typing.NamedTuple):
    """An event that a caller got, and the runs that may have written it."""

    record: request_record.RequestRecord
    number: int
    text: bytes
    runs: list[event_sources.Run]

    @property
    def versions(self) -> set[str]:
        return {run.process.version for run in self.runs}


def find_violations(
    records: typing.Iterable[request_record.RequestRecord],
    sources: event_sources.EventSources,
) -> list[answer_guarantees.Violation]:
    """Return what is wrong with the sources of events.

    The events of an answer are those of one run, or of a run and of others
    that were resumed after the last event before; the events of a stream are
    of one version over all attempts of its caller.
    """
    violations = []
    attempts_by_first = collections.defaultdict(list)
    for record in records:
        if record.is_stream and record.status == 200:
            first = record.resumed or record
            attempts_by_first[first.request_id].append(record)
    for attempts in attempts_by_first.values():
        events = []
        for record in sorted(attempts, key=lambda record: record.sent_at_s):
            received = _read_events(record, sources)
            text = _check_runs(record, received, sources)
            if text:
                violations.append(_violation(text, [record], sources))
            events += received
        violations += _check_version(events, sources)
    return violations


def _violation(
    text: str,
    records: typing.Sequence[request_record.RequestRecord],
    sources: event_sources.EventSources,
) -> answer_guarantees.Violation:
    """Return a violation that some attempts of a caller show.

    The node of the first attempt says of which version a stream is, the node
    of the last one chooses the server.
    """
    last = records[-1]
    names = ', then '.join(
        f'{record.request_id} at {record.host}'
        + (' (release in production)' if record.is_old_release else '')
        for record in records
    )
    runs = '; '.join(
        sources.describe_runs(record.request_id) for record in records
    )
    return answer_guarantees.Violation(
        f'{last.kind} {last.path} {names}: {text}; {runs}',
        last,
        records[0].is_old_release or last.is_old_release,
    ).of_order(sources.framings_of(record.request_id for record in records))


def _read_events(
    record: request_record.RequestRecord, sources: event_sources.EventSources
) -> list[_Event]:
    """Return the whole events of an answer up to the first foreign bytes."""
    events = []
    start = 0
    while match := _EVENT.match(record.body, start):
        number = record.event_count + 1 + len(events)
        text = match.group(1)
        runs = sources.find_runs(record.request_id, number, text)
        events.append(_Event(record, number, text, runs))
        start = match.end()
    return events


def _check_runs(
    record: request_record.RequestRecord,
    events: list[_Event],
    sources: event_sources.EventSources,
) -> str:
    """Return what is wrong in the sequence of runs, or nothing."""
    current: list[event_sources.Run] = []
    for event in events:
        name = sources.describe_event(event.number, event.text)
        if not event.runs:
            return f'{name} was not written for this request'
        may_begin = event is events[0] or record.path == 'resume'
        following = [
            run
            for run in event.runs
            if run in current or (may_begin and run.after == event.number - 1)
        ]
        if not following:
            before = ', '.join(run.process.describe() for run in current)
            return f'{name} does not go on after {before or "the last try"}'
        current = following
    return ''


def _check_version(
    events: list[_Event], sources: event_sources.EventSources
) -> list[answer_guarantees.Violation]:
    """Check that the events of a stream are of one version."""
    versions: set[str] | None = None
    for index, event in enumerate(events):
        if not event.runs:
            return []
        common = (
            event.versions if versions is None else (versions & event.versions)
        )
        if not common:
            name = sources.describe_event(event.number, event.text)
            begun = sources.describe_event(events[0].number, events[0].text)
            records = list(
                {
                    other.record.request_id: other.record
                    for other in events[: index + 1]
                }.values()
            )
            text = (
                f'{name} follows events of version '
                f'{"/".join(sorted(versions))} ({begun})'
            )
            return [_violation(text, records, sources)]
        versions = common
    return []
