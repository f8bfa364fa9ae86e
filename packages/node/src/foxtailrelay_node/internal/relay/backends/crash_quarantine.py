"""Parts of prompts that crash backend servers and are not sent to them."""

import collections
import math
import typing

from foxtailrelay_core import messages
import logbook
import xxhash

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.policy import crash_attribution

_LOG = logbook.Logger('foxtailrelay.backends')
InstanceKey = tuple[str, int]
# Crashes this far apart may still have the same cause.
_EVIDENCE_S = 3600.0
# Longer than a report takes to reach every node of a large cluster.
_GOSSIP_S = 60.0
# After a quarantine one more crash suffices for the next one, which is twice
# as long.
_QUARANTINE_S = 600.0
_MAX_QUARANTINE_S = 3600.0
# Parts that were present at the same crashes are all kept away, the first time
# for so long only: an answer or the next crash tells which is to blame.
_AMBIGUOUS_QUARANTINE_S = 5.0
# A peer's quarantine that ends later by less is the same one, known with the
# delay of its report.
_MIN_EXTENSION_S = 2.0
# Limits of the memory of a long-lived node, and of the size of its reports.
_MAX_CRASHES = 500
_MAX_ANSWERED = 5000
_MAX_QUARANTINED = 1000
_MAX_REPORTED = 100
_MAX_REPORTED_CRASH_PARTS = 500
_UNKNOWN_MS = 0xFFFFFFFF
# Longer ids of parts, which callers choose, are replaced by their hash.
_MAX_ID_LENGTH = 32


class Quarantine(typing.NamedTuple):
    """A part that is not sent to the servers of a service.

    Parameters
    ----------
    suspect_id : str
        The part.
    crash_count : int
        Servers that it ended.
    last_crash_s, until_s : float
        When the last one ended, and when the quarantine ends, in seconds
        since boot.
    is_adopted : bool
        Whether only peers have reached the verdict so far.
    """

    suspect_id: str
    crash_count: int
    last_crash_s: float
    until_s: float
    is_adopted: bool = False

    @property
    def why(self) -> str:
        """Reason of a refusal, for the log and the caller."""
        return (
            f'{self.crash_count} backend servers ended under prompts with '
            f'part {self.suspect_id}; send the request without it'
        )


class _Crash(typing.NamedTuple):
    at_s: float
    sent_at_s_by_suspect: dict[str, float]
    is_own: bool


class _Release(typing.NamedTuple):
    at_s: float
    duration_s: float
    # Reports that arrive later may show that the part is to blame after all.
    is_explained: bool = False


class _ServiceRecords:
    """What is known of the prompts of one service."""

    def __init__(self) -> None:
        self.crash_by_instance: collections.OrderedDict[
            InstanceKey, _Crash
        ] = collections.OrderedDict()
        self.answered_at_s_by_suspect: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.own_answered_at_s_by_suspect: collections.OrderedDict[
            str, float
        ] = collections.OrderedDict()
        self.answer_count_by_suspect: collections.Counter[str] = (
            collections.Counter()
        )
        self.quarantine_by_suspect: dict[str, Quarantine] = {}
        self.release_by_suspect: dict[str, _Release] = {}


class CrashQuarantine:
    """Finds parts that crash servers, together with the other nodes.

    Every node reports the servers that ended under its requests, and the
    suspected parts that it received answers for, so that nodes which each see
    a few crashes reach a verdict together.  Verdicts are passed on too: a node
    that starts later needs no crashes of its own.

    Parameters
    ----------
    clock : Clock
        Clock for the ages of crashes and the ends of quarantines.

    Examples
    --------
    >>> quarantine = CrashQuarantine(clock)
    >>> for number in range(3):
    ...     quarantine.record_crash('model', (f's{number}', 1), ['91bd'])
    ...     clock.now_s += 1
    >>> quarantine.find('model', ['aa00', '91bd']).crash_count
    3
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._records_by_service: dict[str, _ServiceRecords] = {}

    def find(
        self, service: str, suspect_ids: typing.Iterable[str]
    ) -> Quarantine | None:
        """Return the quarantine of the first part that has one."""
        records = self._records_by_service.get(service)
        if records is None:
            return None
        for suspect_id in _keys(suspect_ids):
            quarantine = records.quarantine_by_suspect.get(suspect_id)
            if quarantine is None:
                continue
            if quarantine.until_s > self._clock.boot_s():
                return quarantine
            self._expire(service, records, quarantine)
        return None

    def remaining_s(self, quarantine: Quarantine) -> float:
        """Return the seconds until a quarantine ends."""
        return max(0.0, quarantine.until_s - self._clock.boot_s())

    def count(self) -> int:
        """Return the number of parts in quarantine."""
        return sum(
            len(records.quarantine_by_suspect)
            for records in self._records_by_service.values()
        )

    def record_crash(
        self,
        service: str,
        instance_key: InstanceKey,
        suspect_ids: typing.Iterable[str],
        sent_at_s: float = -math.inf,
        is_own: bool = True,
    ) -> None:
        """Record that a server ended under a request.

        Parameters
        ----------
        service : str
            Service of the server.
        instance_key : InstanceKey
            The instance that ended.
        suspect_ids : iterable of str
            Shared parts of the prompt.
        sent_at_s : float
            When the request was sent, in seconds since boot.
        is_own : bool
            Whether this node sent the request, and reports the crash.
        """
        records = self._records(service)
        now_s = self._clock.boot_s()
        sent_at_s_by_suspect = dict.fromkeys(_keys(suspect_ids), sent_at_s)
        self._add_crash(
            records, instance_key, _Crash(now_s, sent_at_s_by_suspect, is_own)
        )
        self._evaluate(service, records)

    def record_answer(
        self, service: str, suspect_ids: typing.Iterable[str]
    ) -> None:
        """Record a complete answer, which clears the parts of its prompt."""
        records = self._records(service)
        now_s = self._clock.boot_s()
        for suspect_id in _keys(suspect_ids):
            _store_newest(
                records.own_answered_at_s_by_suspect, suspect_id, now_s
            )
            records.answer_count_by_suspect[suspect_id] += 1
            self._clear(service, records, suspect_id, now_s, 'answered')

    def build_crashes(self) -> tuple[messages.Crash, ...]:
        """Return recent crashes under this node's requests, for its report."""
        now_s = self._clock.boot_s()
        recent = [
            (crash.at_s, service, key, crash.sent_at_s_by_suspect)
            for service, records in self._records_by_service.items()
            for key, crash in records.crash_by_instance.items()
            if crash.is_own
            and crash.sent_at_s_by_suspect
            and now_s - crash.at_s < _GOSSIP_S
        ]
        crashes = []
        part_count = 0
        recent.sort(key=lambda row: row[:3], reverse=True)
        for at_s, service, key, sent_at_s_by_suspect in recent:
            part_count += len(sent_at_s_by_suspect)
            if part_count > _MAX_REPORTED_CRASH_PARTS:
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
                )
            )
        return tuple(crashes)

    def build_quarantined(self) -> tuple[messages.QuarantinedSuspect, ...]:
        """Return the parts in quarantine, for this node's report."""
        now_s = self._clock.boot_s()
        parts = [
            messages.QuarantinedSuspect(
                service,
                quarantine.suspect_id,
                quarantine.crash_count,
                _to_ms(now_s - quarantine.last_crash_s),
                _to_ms(quarantine.until_s - now_s),
            )
            for service, records in self._records_by_service.items()
            for quarantine in records.quarantine_by_suspect.values()
            if quarantine.until_s > now_s
        ]
        return tuple(parts[-_MAX_REPORTED:])

    def build_answered(self) -> tuple[messages.AnsweredSuspect, ...]:
        """Return the suspected parts that were answered to this node."""
        now_s = self._clock.boot_s()
        parts = [
            messages.AnsweredSuspect(
                service,
                suspect_id,
                _to_ms(
                    now_s - records.own_answered_at_s_by_suspect[suspect_id]
                ),
            )
            for service, records in self._records_by_service.items()
            for suspect_id in self._recent_suspects(records, now_s)
            if suspect_id in records.own_answered_at_s_by_suspect
        ]
        return tuple(parts[:_MAX_REPORTED])

    def merge_peer_report(
        self, report: messages.NodeReport, made_at_s: float, peer: str
    ) -> None:
        """Merge what a peer reported.

        Parameters
        ----------
        report : NodeReport
            The report.
        made_at_s : float
            When it was built, in seconds since boot.
        peer : str
            Name of the peer, for the log.
        """
        for part in report.answered_suspects:
            at_s = made_at_s - part.age_ms / 1000
            records = self._records(part.service)
            self._clear(part.service, records, part.suspect_id, at_s, peer)
        for service in {crash.service for crash in report.crashes}:
            records = self._records(service)
            has_news = False
            for crash in report.crashes:
                if crash.service == service:
                    has_news |= self._add_crash(
                        records,
                        (crash.server, crash.started_ms),
                        _decode_crash(crash, made_at_s),
                    )
            if has_news:
                self._evaluate(service, records)
        for part in report.quarantined_suspects:
            self._adopt(part, made_at_s, peer)

    def _adopt(
        self, part: messages.QuarantinedSuspect, made_at_s: float, peer: str
    ) -> None:
        """Adopt a quarantine of a peer unless newer facts contradict it."""
        records = self._records(part.service)
        last_crash_s = made_at_s - part.age_ms / 1000
        until_s = made_at_s + part.remaining_ms / 1000
        release = records.release_by_suspect.get(part.suspect_id)
        known = records.quarantine_by_suspect.get(part.suspect_id)
        if (
            until_s <= self._clock.boot_s()
            or records.answered_at_s_by_suspect.get(part.suspect_id, -math.inf)
            >= last_crash_s
            or (release is not None and release.at_s >= last_crash_s)
            or (
                known is not None
                and known.until_s + _MIN_EXTENSION_S >= until_s
            )
        ):
            return
        self._start(
            part.service,
            records,
            Quarantine(
                part.suspect_id,
                part.crash_count,
                last_crash_s,
                until_s,
                known is None or known.is_adopted,
            ),
            peer,
        )

    def _add_crash(
        self, records: _ServiceRecords, key: InstanceKey, crash: _Crash
    ) -> bool:
        """Merge a crash; return whether anything was new."""
        known = records.crash_by_instance.get(key)
        if known is not None:
            sent_at_s_by_suspect = dict(known.sent_at_s_by_suspect)
            has_news = False
            for suspect_id, sent_at_s in crash.sent_at_s_by_suspect.items():
                known_s = sent_at_s_by_suspect.get(suspect_id)
                # Ages in reports are rounded to milliseconds.
                if known_s is None or sent_at_s > known_s + 0.002:
                    sent_at_s_by_suspect[suspect_id] = sent_at_s
                    has_news = True
            records.crash_by_instance[key] = _Crash(
                min(known.at_s, crash.at_s),
                sent_at_s_by_suspect,
                known.is_own or crash.is_own,
            )
            return has_news
        records.crash_by_instance[key] = crash
        if len(records.crash_by_instance) > _MAX_CRASHES:
            records.crash_by_instance.popitem(last=False)
        return True

    def _clear(
        self,
        service: str,
        records: _ServiceRecords,
        suspect_id: str,
        at_s: float,
        source: str,
    ) -> None:
        """Record that a part was answered at a time."""
        is_new = suspect_id not in records.answered_at_s_by_suspect
        _store_newest(records.answered_at_s_by_suspect, suspect_id, at_s)
        quarantine = records.quarantine_by_suspect.get(suspect_id)
        if quarantine is None:
            return
        if at_s < quarantine.last_crash_s and not is_new:
            return
        del records.quarantine_by_suspect[suspect_id]
        _LOG.info(
            'part-released',
            extra={
                'service': service,
                'part': suspect_id,
                'reason': 'a server answered a prompt with it',
                'by': source,
            },
        )
        # It was taken for one that had never been answered.
        self._evaluate(service, records)

    def _evaluate(self, service: str, records: _ServiceRecords) -> None:
        """Quarantine the parts that the crashes prove to crash servers."""
        now_s = self._clock.boot_s()
        for quarantine in list(records.quarantine_by_suspect.values()):
            if quarantine.until_s <= now_s:
                self._expire(service, records, quarantine)
        for suspect_id in list(records.answer_count_by_suspect):
            if suspect_id not in records.own_answered_at_s_by_suspect:
                del records.answer_count_by_suspect[suspect_id]
        oldest_s = now_s - _EVIDENCE_S
        for key, crash in list(records.crash_by_instance.items()):
            if crash.at_s < oldest_s:
                del records.crash_by_instance[key]
        self._release_explained(service, records)
        verdicts = _find_crashing_parts(records, _adopted_suspect_ids(records))
        for verdict in verdicts:
            if verdict.suspect_id in records.quarantine_by_suspect:
                continue
            release = records.release_by_suspect.get(verdict.suspect_id)
            if release is not None and release.is_explained:
                release = None
            if release is not None and verdict.last_crash_s <= release.at_s:
                continue
            duration_s = _QUARANTINE_S
            if verdict.is_ambiguous and release is None:
                duration_s = _AMBIGUOUS_QUARANTINE_S
            elif release is not None:
                duration_s = min(
                    _MAX_QUARANTINE_S, max(duration_s, 2 * release.duration_s)
                )
            quarantine = Quarantine(
                verdict.suspect_id,
                verdict.crash_count,
                verdict.last_crash_s,
                now_s + duration_s,
            )
            self._start(service, records, quarantine, 'self')

    def _release_explained(
        self, service: str, records: _ServiceRecords
    ) -> None:
        """Release parts whose crashes another part explains by now.

        A peer's verdict holds until the crashes known here, which may be
        fewer, explain as many by another part.
        """
        proved = _find_crashing_parts(records, _adopted_suspect_ids(records))
        kept_ids = {verdict.suspect_id for verdict in proved}
        unaided = _find_crashing_parts(records, frozenset())
        for quarantine in list(records.quarantine_by_suspect.values()):
            suspect_id = quarantine.suspect_id
            if quarantine.is_adopted:
                is_explained = bool(unaided) and all(
                    verdict.suspect_id != suspect_id for verdict in unaided
                )
                is_explained = is_explained and (
                    unaided[0].crash_count >= quarantine.crash_count
                )
            else:
                is_explained = suspect_id not in kept_ids
            if not is_explained:
                continue
            del records.quarantine_by_suspect[suspect_id]
            records.release_by_suspect[suspect_id] = _Release(
                self._clock.boot_s(), 0.0, True
            )
            _LOG.info(
                'part-released',
                extra={
                    'service': service,
                    'part': suspect_id,
                    'reason': 'another part explains its crashes',
                    'by': 'self',
                },
            )

    def _start(
        self,
        service: str,
        records: _ServiceRecords,
        quarantine: Quarantine,
        source: str,
    ) -> None:
        is_new = quarantine.suspect_id not in records.quarantine_by_suspect
        records.quarantine_by_suspect[quarantine.suspect_id] = quarantine
        if len(records.quarantine_by_suspect) > _MAX_QUARANTINED:
            del records.quarantine_by_suspect[
                next(iter(records.quarantine_by_suspect))
            ]
        if is_new:
            now_s = self._clock.boot_s()
            _LOG.warning(
                'part-quarantined',
                extra={
                    'service': service,
                    'part': quarantine.suspect_id,
                    'crashes': quarantine.crash_count,
                    'last_crash_age_s': round(
                        now_s - quarantine.last_crash_s, 3
                    ),
                    'for_s': round(quarantine.until_s - now_s, 1),
                    'by': source,
                },
            )

    def _expire(
        self, service: str, records: _ServiceRecords, quarantine: Quarantine
    ) -> None:
        """End a quarantine whose time is over."""
        del records.quarantine_by_suspect[quarantine.suspect_id]
        records.release_by_suspect[quarantine.suspect_id] = _Release(
            quarantine.until_s, quarantine.until_s - quarantine.last_crash_s
        )
        _LOG.info(
            'part-released',
            extra={
                'service': service,
                'part': quarantine.suspect_id,
                'reason': 'the quarantine is over',
                'by': 'self',
            },
        )

    @staticmethod
    def _recent_suspects(
        records: _ServiceRecords, now_s: float
    ) -> typing.Iterable[str]:
        """Return parts of recent crashes, and those in quarantine."""
        suspects = dict.fromkeys(records.quarantine_by_suspect)
        for crash in reversed(records.crash_by_instance.values()):
            if now_s - crash.at_s < _GOSSIP_S:
                suspects |= dict.fromkeys(crash.sent_at_s_by_suspect)
        return suspects

    def _records(self, service: str) -> _ServiceRecords:
        if service not in self._records_by_service:
            self._records_by_service[service] = _ServiceRecords()
        return self._records_by_service[service]


def _adopted_suspect_ids(records: _ServiceRecords) -> set[str]:
    """Return the parts that only peers have proved to crash servers."""
    return {
        quarantine.suspect_id
        for quarantine in records.quarantine_by_suspect.values()
        if quarantine.is_adopted
    }


def _find_crashing_parts(
    records: _ServiceRecords, known_suspect_ids: typing.AbstractSet[str]
) -> list[crash_attribution.Verdict]:
    return crash_attribution.find_crash_causes(
        (
            crash_attribution.Crash(crash.at_s, crash.sent_at_s_by_suspect)
            for crash in records.crash_by_instance.values()
        ),
        records.answered_at_s_by_suspect,
        known_suspect_ids,
        records.answer_count_by_suspect,
    )


def _keys(suspect_ids: typing.Iterable[str]) -> typing.Iterator[str]:
    """Return the ids in lower case, and hashes of long ones."""
    for suspect_id in suspect_ids:
        if len(suspect_id) <= _MAX_ID_LENGTH:
            yield suspect_id.lower()
        else:
            yield xxhash.xxh64_hexdigest(suspect_id.lower().encode())


def _decode_crash(crash: messages.Crash, made_at_s: float) -> _Crash:
    at_s = made_at_s - crash.age_ms / 1000
    sent_at_s_by_suspect = dict.fromkeys(crash.suspect_ids, -math.inf)
    for suspect_id, running_ms in zip(
        crash.suspect_ids, crash.running_ms, strict=False
    ):
        if running_ms < _UNKNOWN_MS:
            sent_at_s_by_suspect[suspect_id] = at_s - running_ms / 1000
    return _Crash(at_s, sent_at_s_by_suspect, False)


def _store_newest(
    at_s_by_suspect: collections.OrderedDict[str, float],
    suspect_id: str,
    at_s: float,
) -> None:
    at_s_by_suspect[suspect_id] = max(
        at_s, at_s_by_suspect.get(suspect_id, at_s)
    )
    at_s_by_suspect.move_to_end(suspect_id)
    if len(at_s_by_suspect) > _MAX_ANSWERED:
        at_s_by_suspect.popitem(last=False)


def _to_ms(seconds: float) -> int:
    return int(max(0.0, min(_UNKNOWN_MS, seconds * 1000)))
