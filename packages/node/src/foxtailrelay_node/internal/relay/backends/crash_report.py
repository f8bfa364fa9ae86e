"""Builds what a node reports of crashes, verdicts and answers."""

import math
import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.backends import crash_records

# Longer than a report takes to reach every node of a large cluster.
_GOSSIP_S = 60.0
# Limits of the size of a report.
_MAX_SUSPECTS = 100
_MAX_CRASH_SUSPECTS = 500

_RecordsByService = typing.Mapping[str, crash_records.CrashRecords]


def build_crashes(
    records_by_service: _RecordsByService, now_s: float
) -> tuple[messages.Crash, ...]:
    """Return recent crashes under this node's requests, newest first."""
    recent = [
        (crash.at_s, service, key, crash)
        for service, records in records_by_service.items()
        for key, crash in records.crash_by_instance.items()
        if crash.is_own
        and crash.sent_at_s_by_suspect
        and now_s - crash.at_s < _GOSSIP_S
    ]
    recent.sort(key=lambda row: row[:3], reverse=True)
    crashes = []
    suspect_count = 0
    for at_s, service, key, crash in recent:
        sent_at_s_by_suspect = crash.sent_at_s_by_suspect
        suspect_count += len(sent_at_s_by_suspect)
        if suspect_count > _MAX_CRASH_SUSPECTS:
            break
        crashes.append(
            messages.Crash(
                *key,
                service,
                _to_ms(now_s - at_s),
                tuple(sent_at_s_by_suspect),
                tuple(
                    _to_ms(at_s - sent_at_s)
                    for sent_at_s in sent_at_s_by_suspect.values()
                ),
                _to_ms(crash.unsure_s),
            )
        )
    return tuple(crashes)


def build_quarantined(
    records_by_service: _RecordsByService, now_s: float
) -> tuple[messages.QuarantinedSuspect, ...]:
    """Return the suspects in quarantine."""
    suspects = [
        messages.QuarantinedSuspect(
            service,
            quarantine.suspect_id,
            quarantine.crash_count,
            _to_ms(now_s - quarantine.last_crash_s),
            _to_ms(quarantine.until_s - now_s),
        )
        for service, records in records_by_service.items()
        for quarantine in records.quarantine_by_suspect.values()
        if quarantine.until_s > now_s
    ]
    return tuple(suspects[-_MAX_SUSPECTS:])


def build_answered(
    records_by_service: _RecordsByService, now_s: float
) -> tuple[messages.AnsweredSuspect, ...]:
    """Return the suspects that were answered to this node."""
    suspects = []
    for service, records in records_by_service.items():
        for suspect_id in _recent_suspects(records, now_s):
            answers = records.answers.find(suspect_id)
            if answers is not None and answers.own_at_s > -math.inf:
                age_ms = _to_ms(now_s - answers.own_at_s)
                suspects.append(
                    messages.AnsweredSuspect(service, suspect_id, age_ms)
                )
    return tuple(suspects[:_MAX_SUSPECTS])


def _recent_suspects(
    records: crash_records.CrashRecords, now_s: float
) -> typing.Iterable[str]:
    """Return suspects of recent crashes, and those in quarantine."""
    suspects = dict.fromkeys(records.quarantine_by_suspect)
    for crash in reversed(records.crash_by_instance.values()):
        if now_s - crash.at_s < _GOSSIP_S:
            suspects |= dict.fromkeys(crash.sent_at_s_by_suspect)
    return suspects


def _to_ms(seconds: float) -> int:
    return int(max(0.0, min(crash_records.UNKNOWN_MS, seconds * 1000)))
