"""Encodes and decodes the reports of nodes as columns."""

import functools
import itertools
import typing

import capnp

from foxtailrelay_core.internal import message_codec
from foxtailrelay_core.internal import message_types

_MAX_UINT16 = (1 << 16) - 1
_MAX_UINT32 = (1 << 32) - 1
_LOAD_COLUMNS = 2
_DURATION_COLUMNS = 2
_TRY_COLUMNS = 5
_USAGE_COLUMNS = 2
_CRASH_COLUMNS = 2
_QUARANTINE_COLUMNS = 3
_FIELD_BY_NAME = dict(message_codec.SCHEMA.NodeReport.schema.fields)
# Columns that are seldom sent.
_DEPARTURE_FIELDS = ('departureServers', 'departureStarts')
_CRASH_FIELDS = (
    'crashServers',
    'crashStarts',
    'crashServices',
    'crashNumbers',
    'crashParts',
    'crashRunning',
    'crashUnsure',
)
_QUARANTINE_FIELDS = (
    'quarantineServices',
    'quarantineParts',
    'quarantineNumbers',
)
_ANSWERED_FIELDS = ('answeredServices', 'answeredParts', 'answeredAges')
_LIMIT_FIELDS = ('limitServers', 'limitStarts', 'limitAges', 'limitRates')
_BRITTLE_FIELDS = (
    'brittleServers',
    'brittleStarts',
    'brittleAges',
    'brittleRates',
)
_VERSION_FIELDS = ('versionNames', 'versionNumbers')
_VERSION_NAME_COLUMNS = 3
_VERSION_COLUMNS = 16
_SELDOM_COLUMNS = tuple(
    _FIELD_BY_NAME[name]
    for name in (
        *_DEPARTURE_FIELDS,
        *_CRASH_FIELDS,
        *_QUARANTINE_FIELDS,
        *_ANSWERED_FIELDS,
        *_LIMIT_FIELDS,
        *_BRITTLE_FIELDS,
        *_VERSION_FIELDS,
    )
)


def encode_report(report: message_types.NodeReport) -> bytes:
    """Encode the body of a :class:`ReportCopy`."""
    loads, spends = report.loads, report.spends
    tries, usages = report.tries, report.usages
    columns = {
        'loadServers': [load.server for load in loads],
        'loadNumbers': _flatten_uint32(load[1:3] for load in loads),
        'loadDurations': _duration_column(loads),
        'spendOrganisations': [spend.organisation for spend in spends],
        'spendCounts': [len(spend.slots) for spend in spends],
        'spendSlots': _flatten_uint32(spend.slots for spend in spends),
        'tryServices': [entry.service for entry in tries],
        'tryNumbers': _flatten_uint32(entry[1:] for entry in tries),
        'usageOrganisations': [usage.organisation for usage in usages],
        'usageNumbers': _flatten((u.window, u.count) for u in usages),
        'departureServers': [server for server, _ in report.departures],
        'departureStarts': [start_ms for _, start_ms in report.departures],
        **_prompt_columns(report),
        'limitServers': [limit.server for limit in report.limits],
        'limitStarts': [limit.started_ms for limit in report.limits],
        'limitAges': _flatten_uint32((x.age_ms,) for x in report.limits),
        'limitRates': [limit.per_s for limit in report.limits],
        'brittleServers': [entry.server for entry in report.brittleness],
        'brittleStarts': [entry.started_ms for entry in report.brittleness],
        'brittleAges': _flatten_uint32(
            (x.age_ms,) for x in report.brittleness
        ),
        'brittleRates': [entry.per_s for entry in report.brittleness],
        'versionNames': _flatten(row[:3] for row in report.version_counts),
        'versionNumbers': _flatten_uint32(
            row.numbers for row in report.version_counts
        ),
    }
    # A column that is left out is read as an empty one, and costs nothing.
    sent = {name: column for name, column in columns.items() if column}
    return message_codec.SCHEMA.NodeReport.new_message(
        zone=report.zone,
        host=report.host,
        peerPort=report.peer_port,
        isLeaving=report.is_leaving,
        centicores=min(_MAX_UINT16, report.centicores),
        isCutOff=report.is_cut_off,
        **sent,
    ).to_bytes_packed()


def decode_report(body: bytes) -> message_types.NodeReport:
    """Decode the body of a :class:`ReportCopy`.

    Raises
    ------
    DecodeError
        If the bytes are not a report.
    """
    try:
        content = message_codec.SCHEMA.NodeReport.from_bytes_packed(
            body,
            traversal_limit_in_words=message_codec.MAX_TRAVERSAL_WORDS,
        )
        return _to_report(content)
    except (capnp.KjException, ValueError, TypeError) as error:
        raise message_codec.DecodeError(f'not a report: {error}') from error


def _duration_column(
    loads: typing.Sequence[message_types.ServerLoad],
) -> list[int]:
    if not any(load.relative_percent for load in loads):
        return []
    return _flatten_uint32(load[3:] for load in loads)


def _prompt_columns(report: message_types.NodeReport) -> dict[str, list]:
    crashes, answered = report.crashes, report.answered_suspects
    quarantined = report.quarantined_suspects
    return {
        'crashServers': [crash.server for crash in crashes],
        'crashStarts': [crash.started_ms for crash in crashes],
        'crashServices': [crash.service for crash in crashes],
        'crashNumbers': _flatten_uint32(
            (crash.age_ms, len(crash.suspect_ids)) for crash in crashes
        ),
        'crashParts': _flatten(crash.suspect_ids for crash in crashes),
        'crashRunning': _flatten_uint32(crash.running_ms for crash in crashes),
        'crashUnsure': _flatten_uint32(
            (crash.unsure_ms,) for crash in crashes
        ),
        'quarantineServices': [part.service for part in quarantined],
        'quarantineParts': [part.suspect_id for part in quarantined],
        'quarantineNumbers': _flatten_uint32(part[2:] for part in quarantined),
        'answeredServices': [part.service for part in answered],
        'answeredParts': [part.suspect_id for part in answered],
        'answeredAges': _flatten_uint32((part.age_ms,) for part in answered),
    }


class _Columns:
    """The fields of an encoded report, read by their schema.

    Parameters
    ----------
    content : capnp struct reader
        The encoded report.
    """

    def __init__(self, content) -> None:
        self._get = content._get_by_field
        self._has = content._has_by_field

    def __getitem__(self, name: str) -> typing.Any:
        """Return a field, given its name in the schema."""
        return self._get(_FIELD_BY_NAME[name])

    def has_seldom(self) -> bool:
        """Whether any of the columns was sent that seldom are."""
        return any(map(self._has, _SELDOM_COLUMNS))

    def all(self, names: typing.Iterable[str]) -> list[typing.Any]:
        """Return several columns."""
        return [self[name] for name in names]


def _to_report(content) -> message_types.NodeReport:
    columns = _Columns(content)
    windows, counts = _split(columns['usageNumbers'], _USAGE_COLUMNS)
    return message_types.NodeReport(
        columns['zone'],
        columns['host'],
        columns['peerPort'],
        columns['isLeaving'],
        _to_loads(columns),
        _to_spends(columns),
        _build_all(
            message_types.TryCount,
            columns['tryServices'],
            *_split(columns['tryNumbers'], _TRY_COLUMNS),
        ),
        _build_all(
            message_types.UsageCount,
            windows,
            columns['usageOrganisations'],
            counts,
        ),
        columns['centicores'],
        is_cut_off=columns['isCutOff'],
        **(_seldom_fields(columns) if columns.has_seldom() else {}),
    )


def _seldom_fields(columns: _Columns) -> dict[str, tuple]:
    return {
        'departures': tuple(zip(*columns.all(_DEPARTURE_FIELDS), strict=True)),
        'crashes': _to_crashes(columns),
        'quarantined_suspects': _to_quarantined(columns),
        'answered_suspects': _to_answered(columns),
        'limits': _to_limits(columns, _LIMIT_FIELDS),
        'brittleness': _to_limits(columns, _BRITTLE_FIELDS),
        'version_counts': _to_version_counts(columns),
    }


def _to_version_counts(
    columns: _Columns,
) -> tuple[message_types.VersionCount, ...]:
    names, numbers = columns.all(_VERSION_FIELDS)
    rows = zip(*_split(numbers, _VERSION_COLUMNS), strict=True)
    return _build_all(
        message_types.VersionCount,
        *_split(names, _VERSION_NAME_COLUMNS),
        [tuple(row) for row in rows],
    )


def _to_loads(columns: _Columns) -> tuple[message_types.ServerLoad, ...]:
    servers = columns['loadServers']
    durations = columns['loadDurations']
    if not len(durations):
        durations = [0] * (_DURATION_COLUMNS * len(servers))
    return _build_all(
        message_types.ServerLoad,
        servers,
        *_split(columns['loadNumbers'], _LOAD_COLUMNS),
        *_split(durations, _DURATION_COLUMNS),
    )


def _to_spends(columns: _Columns) -> tuple[message_types.Spend, ...]:
    slots = iter(columns['spendSlots'])
    names, counts = columns.all(('spendOrganisations', 'spendCounts'))
    return _build_all(
        message_types.Spend,
        names,
        [tuple(itertools.islice(slots, count)) for count in counts],
    )


def _to_crashes(columns: _Columns) -> tuple[message_types.Crash, ...]:
    servers, starts, services, numbers, parts, running, unsure = columns.all(
        _CRASH_FIELDS
    )
    next_parts = iter(parts)
    next_running_ms = iter(running)
    next_unsure_ms = iter(unsure)
    return tuple(
        message_types.Crash(
            server,
            started_ms,
            service,
            age_ms,
            tuple(itertools.islice(next_parts, count)),
            tuple(itertools.islice(next_running_ms, count)),
            next(next_unsure_ms, 0),
        )
        for server, started_ms, service, (age_ms, count) in zip(
            servers,
            starts,
            services,
            _rows(numbers, _CRASH_COLUMNS),
            strict=True,
        )
    )


def _to_quarantined(
    columns: _Columns,
) -> tuple[message_types.QuarantinedSuspect, ...]:
    services, parts, numbers = columns.all(_QUARANTINE_FIELDS)
    return tuple(
        message_types.QuarantinedSuspect(service, suspect_id, *row)
        for service, suspect_id, row in zip(
            services, parts, _rows(numbers, _QUARANTINE_COLUMNS), strict=True
        )
    )


def _to_answered(
    columns: _Columns,
) -> tuple[message_types.AnsweredSuspect, ...]:
    return tuple(
        message_types.AnsweredSuspect(*row)
        for row in zip(*columns.all(_ANSWERED_FIELDS), strict=True)
    )


def _to_limits(
    columns: _Columns, names: tuple[str, ...]
) -> tuple[message_types.ServerLimit, ...]:
    limits = (
        message_types.ServerLimit(*row)
        for row in zip(*columns.all(names), strict=True)
    )
    # A rate that is negative or no number says nothing.
    return tuple(limit for limit in limits if limit.per_s >= 0)


def _flatten(rows: typing.Iterable[tuple]) -> list:
    return list(itertools.chain.from_iterable(rows))


def _flatten_uint32(rows: typing.Iterable[tuple]) -> list[int]:
    """Return one list; what a column cannot hold becomes its maximum.

    Callers choose some of these numbers, such as the tokens of a prompt.
    """
    values = _flatten(rows)
    if values and (min(values) < 0 or max(values) > _MAX_UINT32):
        return [max(0, min(_MAX_UINT32, value)) for value in values]
    return values


def _build_all(kind, *columns: typing.Iterable) -> tuple:
    """Return a row of a type for each position of columns alike in length.

    A node reads a report of every other node each second, and the type's own
    constructor takes longer than all the rest.
    """
    return tuple(
        map(
            functools.partial(tuple.__new__, kind),
            zip(*columns, strict=True),
        )
    )


def _split(numbers: typing.Iterable[int], columns: int) -> list[list[int]]:
    """Return the columns of rows that are stored one after another."""
    values = list(numbers)
    return [values[first::columns] for first in range(columns)]


def _rows(
    numbers: typing.Iterable[int], columns: int
) -> typing.Iterator[tuple[int, ...]]:
    values = iter(numbers)
    return zip(*[values] * columns, strict=True)
