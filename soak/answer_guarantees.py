"""Checks of the bytes that callers received, whole answers or not."""

import collections
import re
import typing

from soak import event_sources
from soak import recorded_connection
from soak import request_record
from standin import event_text

# What stand-ins write between events.
_COMMENT = b': \n\n'
_EVENT = re.compile(
    rb'(?:weight-versions: \d+\n)?(?:id: (\d+)\n)?data: ([^\n]*)\n\n'
)
_VERSIONS = (b'', b'v1', b'v2', b'v3')
_SEAL = b'seal-'
_SHOWN_BYTES = 200
_SENT_WITHOUT_ID = (400, 408, 413, 431)
# Rule of the events of a stream and of its end.
ORDER = 'ORDER'
_ORDER_TEXTS = ('complete after', 'in place of', 'after event')


class EngineRecords(typing.NamedTuple):
    """What the backend servers recorded, by request id.

    Parameters
    ----------
    run_counts : Counter
        How often a request ran.
    statuses_by_id : dict
        Statuses of the signed answers.
    lied_ids : set
        Requests whose caller took a stream up, and whose server answered
        that without any event.
    idless_ids : set
        Requests whose servers wrote events without ids.
    sources : EventSources or None
        Which processes wrote which events; None if events name none.
    empty_ids : frozenset
        Streams, new or taken up, that a server answered in full without any
        event; an empty answer is right where no other run wrote one.
    """

    run_counts: collections.Counter[str]
    statuses_by_id: dict[str, set[int]]
    lied_ids: set[str]
    idless_ids: set[str]
    sources: event_sources.EventSources | None = None
    empty_ids: frozenset[str] = frozenset()

    def is_empty_stream(self, request_id: str) -> bool:
        """Whether a stream was answered in full, without any event."""
        return (
            request_id in self.empty_ids
            and self.sources is not None
            and not any(r.numbers for r in self.sources.runs_of(request_id))
        )


class Violation(typing.NamedTuple):
    """A guarantee that did not hold.

    Parameters
    ----------
    text : str
        What was seen.
    record : RequestRecord or None
        The request whose answer shows it.
    is_of_production : bool
        Whether only nodes of the release in production show it.
    rule : str
        The rule that is broken, if it has a name here.
    framing : str
        How the answers to the request were framed by the servers.
    """

    text: str
    record: request_record.RequestRecord | None = None
    is_of_production: bool = False
    rule: str = ''
    framing: str = ''

    @classmethod
    def from_record(
        cls, text: str, record: request_record.RequestRecord | None
    ) -> 'Violation':
        """Return what the answer to a request shows."""
        is_old = record is not None and record.is_old_release
        return cls(text, record, is_old)

    def of_order(self, framing: str) -> 'Violation':
        """Return the same violation as one of the order of a stream."""
        return self._replace(rule=ORDER, framing=framing)


def find_violations(
    connections: typing.Iterable[recorded_connection.RecordedConnection],
    engines: EngineRecords,
) -> list[Violation]:
    """Return what is wrong in the answers on connections."""
    violations = []
    for connection in connections:
        for text in connection.reader.errors:
            record = _last_begun(connection)
            name = f'{record.kind} {record.request_id}' if record else '-'
            violations.append(
                Violation.from_record(
                    f'after {name} at the same connection: {text}', record
                )
            )
        for record in connection.records:
            violations += [
                _describe_answer(text, record, engines)
                for text in check_answer(record, engines)
            ]
    return violations


def _describe_answer(
    text: str, record: request_record.RequestRecord, engines: EngineRecords
) -> Violation:
    violation = Violation.from_record(
        f'{record.kind} {record.path} {record.request_id} at {record.host}: '
        f'{text}',
        record,
    )
    if (
        record.is_stream
        and engines.sources is not None
        and text.startswith(_ORDER_TEXTS)
    ):
        return violation.of_order(
            engines.sources.framings_of([record.request_id])
        )
    return violation


def _last_begun(
    connection: recorded_connection.RecordedConnection,
) -> request_record.RequestRecord | None:
    begun = [record for record in connection.records if record.answer]
    return (begun or connection.records or [None])[-1]


def check_answer(
    record: request_record.RequestRecord, engines: EngineRecords
) -> list[str]:
    """Return what is wrong in one answer, as far as it was received."""
    answer = record.answer
    if answer is None:
        return []
    wrong = []
    name = record.request_id.encode()
    answer_id = answer.header(b'request-id')
    if answer_id != name and not (
        answer_id is None and answer.status in _SENT_WITHOUT_ID
    ):
        wrong.append(f'answer {answer.status} of request {answer_id}')
    seal = answer.header(b'response-seal')
    if seal is not None:
        if seal != _SEAL + name:
            wrong.append(f'answer {answer.status} with seal {seal}')
        statuses = engines.statuses_by_id.get(record.request_id, set())
        if answer.status not in statuses:
            wrong.append(
                f'a sealed {answer.status}, the servers sent {statuses}'
            )
    if answer.status == 200:
        if seal is None:
            wrong.append('a success without a seal')
        wrong += _check_body(record, engines)
    elif seal is not None:
        wrong += _check_bytes(record, b'failed ' + name)
    return wrong


def _check_body(
    record: request_record.RequestRecord, engines: EngineRecords
) -> list[str]:
    if not record.is_stream:
        return _check_bytes(
            record,
            event_text.plain_body(
                record.request_id.encode(), record.answer_bytes
            ),
        )
    if (
        record.request_id in engines.lied_ids
        and record.body in (b'', b'done ' + record.request_id.encode())
        and engines.run_counts[record.request_id] == 1
    ):
        # The caller took the stream up, and one server answered in full that
        # nothing follows.
        return []
    if not record.body and engines.is_empty_stream(record.request_id):
        return []
    return _check_stream(record, engines)


def _check_bytes(
    record: request_record.RequestRecord, expected: bytes
) -> list[str]:
    body = record.body
    if body == expected or (
        not record.is_complete and expected.startswith(body)
    ):
        return []
    start = _first_difference(body, expected)
    kind = 'a whole body' if record.is_complete else 'a part of a body'
    return [
        f'{kind} of {len(body)} bytes, {len(expected)} expected, differs '
        f'from byte {start}: {body[start : start + _SHOWN_BYTES]!r}'
    ]


def _first_difference(body: bytes, expected: bytes) -> int:
    for index, (one, other) in enumerate(zip(body, expected, strict=False)):
        if one != other:
            return index
    return min(len(body), len(expected))


def _check_stream(
    record: request_record.RequestRecord, engines: EngineRecords
) -> list[str]:
    """Check that events are exactly those that follow, each once."""
    wrong = _find_wrong_event(record, engines)
    if wrong and engines.sources is not None:
        wrong += f'; {engines.sources.describe_runs(record.request_id)}'
    return [wrong] if wrong else []


def _skip_comments(body: bytes, start: int) -> int:
    """Return where the next event begins; comments are no part of it."""
    while body.startswith(_COMMENT, start):
        start += len(_COMMENT)
    return start


def _find_wrong_event(
    record: request_record.RequestRecord, engines: EngineRecords
) -> str:
    body = record.body
    number = record.event_count + 1
    start = 0
    last = ''
    while match := _EVENT.match(body, _skip_comments(body, start)):
        if number > record.total_events or match.group() not in (
            _expected_events(record, number, engines)
        ):
            return f'in place of event {number}: {_shown(match.group())}'
        if engines.sources is not None:
            last = engines.sources.describe_event(number, match.group(2))
        number += 1
        start = match.end()
    rest = body[_skip_comments(body, start) :]
    if _COMMENT.startswith(rest) and not record.is_complete:
        rest = b''
    if rest and not any(
        event.startswith(rest)
        for event in _expected_events(record, number, engines)
    ):
        return f'after event {number - 1}: {_shown(rest)}'
    if record.is_complete and (rest or number <= record.total_events):
        return (
            f'complete after event {number - 1} of {record.total_events}'
            + (f' and {_shown(rest)}' if rest else '')
            + (f', {last}' if last else '')
        )
    return ''


def _expected_events(
    record: request_record.RequestRecord,
    number: int,
    engines: EngineRecords,
) -> list[bytes]:
    """Return an event as each server that ran the request may write it."""
    if number > record.total_events:
        return []
    names: typing.Sequence[bytes] = _VERSIONS
    sources = engines.sources
    if sources is not None:
        names = sources.names_of(record.request_id)
    may_lack_ids = record.request_id in engines.idless_ids
    return [
        line
        + event_text.encode_event(
            number,
            record.request_id.encode(),
            name,
            record.event_bytes,
            has_id,
        )
        for name in names
        for line in (
            [b'']
            if sources is None
            else [b'', *sources.weights_lines(record.request_id, number, name)]
        )
        for has_id in ((True, False) if may_lack_ids else (True,))
    ]


def _shown(data: bytes) -> str:
    return f'{data[:_SHOWN_BYTES]!r} ({len(data)} bytes)'
