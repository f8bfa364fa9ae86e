"""Requests that crash backend servers and are not sent to them."""

import math
import random
import typing

from foxtailrelay_core import messages
import logbook
import xxhash

from foxtailrelay_node.internal.relay.backends import crash_records
from foxtailrelay_node.internal.relay.backends import crash_report
from foxtailrelay_node.internal.relay.backends import probe_log
from foxtailrelay_node.internal.relay.backends import quarantine as quarantines
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.policy import crash_attribution
from foxtailrelay_node.internal.relay.policy import quarantine_probes
from foxtailrelay_node.internal.relay.policy import request_fingerprint

_LOG = logbook.Logger('foxtailrelay.backends')
# Crashes this far apart may still have the same cause.
_EVIDENCE_S = 3600.0
# After a quarantine one more crash suffices for the next one, which is twice
# as long.
_QUARANTINE_S = 600.0
_MAX_QUARANTINE_S = 3600.0
# Suspects that were present at the same crashes are all kept away, the first
# time for so long only: an answer or the next crash tells which is to blame.
_AMBIGUOUS_QUARANTINE_S = 5.0
# A request that was answered before may crash servers no longer.
_ANSWERED_REQUEST_QUARANTINE_S = 120.0
# A peer's quarantine that ends later by less is the same one, known with the
# delay of its report.
_MIN_EXTENSION_S = 2.0
# Limit of the memory of a long-lived node.
_MAX_QUARANTINED = 1000
# Longer ids of parts, which callers choose, are replaced by their hash.
_MAX_ID_LENGTH = 32


class CrashQuarantine:
    """Finds requests that crash servers, together with the other nodes.

    A suspect is a part that prompts share, or a whole request that callers
    repeat.  Every node reports the servers that ended under its requests, and
    the suspects that it received answers for, so that nodes which each see
    a few crashes reach a verdict together.  Verdicts are passed on too: a node
    that starts later needs no crashes of its own.  A part that was often
    answered may be blamed for what others did, so single requests with it are
    let through as probes; an answer ends its quarantine.

    Parameters
    ----------
    clock : Clock
        Clock for the ages of crashes and the ends of quarantines.
    rng : random.Random, optional
        Spreads the probes of the nodes.

    Attributes
    ----------
    observed_since_s : float
        When the oldest node started, in seconds since boot.

    Examples
    --------
    >>> quarantine = CrashQuarantine(clock)
    >>> for number in range(3):
    ...     quarantine.record_crash('model', (f's{number}', 1), ['91bd'])
    ...     clock.now_s += 1
    >>> quarantine.find('model', ['aa00', '91bd']).crash_count
    3
    """

    def __init__(
        self, clock: clocks.Clock, rng: random.Random | None = None
    ) -> None:
        self._clock = clock
        rng = rng or random.Random()
        self._probes = probe_log.ProbeLog(rng, 1)
        self._dispatcher_probes = probe_log.ProbeLog(rng, 0)
        self._records_by_service: dict[str, crash_records.CrashRecords] = {}
        self.observed_since_s = -math.inf

    def find(
        self,
        service: str,
        suspect_ids: typing.Iterable[str],
        is_dispatcher: bool = False,
    ) -> quarantines.Quarantine | None:
        """Return the quarantine that a request is refused for.

        Parameters
        ----------
        service : str
            Service of the request.
        suspect_ids : iterable of str
            Shared parts of the prompt, and the fingerprint of the request.
        is_dispatcher : bool
            Whether the request is another node's, which may have let it
            through as a probe.
        """
        records = self._records_by_service.get(service)
        if records is None or not records.quarantine_by_suspect:
            return None
        found = []
        request_ids = tuple(_keys(suspect_ids))
        if not is_dispatcher:
            records.requests.record(request_ids)
        for suspect_id in request_ids:
            quarantine = records.quarantine_by_suspect.get(suspect_id)
            if quarantine is None:
                continue
            if quarantine.until_s > self._clock.boot_s():
                found.append(quarantine)
            else:
                self._expire(service, records, quarantine)
        # A part that is surely to blame first, so that no probe is wasted.
        found.sort(key=lambda q: self._may_probe(records, q, is_dispatcher))
        probes = self._dispatcher_probes if is_dispatcher else self._probes
        for quarantine in found:
            if not probes.admits(
                quarantine.suspect_id,
                request_ids,
                self._evidence(records, quarantine, is_dispatcher),
                self._clock.boot_s(),
            ):
                return quarantine
        return None

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that send probes independently."""
        self._probes.node_count = count

    def _may_probe(
        self,
        records: crash_records.CrashRecords,
        quarantine: quarantines.Quarantine,
        is_dispatcher: bool,
    ) -> bool:
        return quarantine_probes.may_probe(
            self._evidence(records, quarantine, is_dispatcher)
        )

    def _evidence(
        self,
        records: crash_records.CrashRecords,
        quarantine: quarantines.Quarantine,
        is_dispatcher: bool,
    ) -> quarantine_probes.Evidence:
        evidence = records.probe_evidence(quarantine, self.observed_since_s)
        # The nodes that ask a dispatcher refuse all but probes.
        if is_dispatcher and not quarantine.is_request:
            return evidence._replace(request_share=1.0)
        return evidence

    def remaining_s(self, quarantine: quarantines.Quarantine) -> float:
        """Return the seconds until a quarantine ends."""
        return max(0.0, quarantine.until_s - self._clock.boot_s())

    def count(self, is_request: bool) -> int:
        """Return the number of requests, or of parts, in quarantine."""
        return sum(
            quarantine.is_request == is_request
            for records in self._records_by_service.values()
            for quarantine in records.quarantine_by_suspect.values()
        )

    def record_crash(
        self,
        service: str,
        instance_key: crash_records.InstanceKey,
        suspect_ids: typing.Iterable[str],
        sent_at_s: float = -math.inf,
        is_own: bool = True,
        at_s: float | None = None,
        unsure_s: float = 0.0,
    ) -> None:
        """Record that a server ended under a request.

        Parameters
        ----------
        service : str
            Service of the server.
        instance_key : InstanceKey
            The instance that ended.
        suspect_ids : iterable of str
            Shared parts of the prompt, and the fingerprint of the request.
        sent_at_s : float
            When the request was sent, in seconds since boot.
        is_own : bool
            Whether this node sent the request, and reports the crash.
        at_s : float or None
            When the server ended, in seconds since boot; None for now.
        unsure_s : float
            Time by which it may have ended earlier.
        """
        records = self._records(service)
        records.add_crash(
            instance_key,
            crash_records.Crash(
                self._clock.boot_s() if at_s is None else at_s,
                dict.fromkeys(_keys(suspect_ids), sent_at_s),
                is_own,
                unsure_s,
            ),
        )
        self._evaluate(service, records)

    def record_answer(
        self,
        service: str,
        suspect_ids: typing.Iterable[str],
        at_s: float | None = None,
    ) -> None:
        """Record an answer, which clears the suspects.

        Parameters
        ----------
        service : str
            Service of the server that answered.
        suspect_ids : iterable of str
            Shared parts of the prompt, and the fingerprint of the request.
        at_s : float or None
            When the server had shown that it outlives them, in seconds since
            boot; None for now.
        """
        records = self._records(service)
        if at_s is None:
            at_s = self._clock.boot_s()
        for suspect_id in _keys(suspect_ids):
            self._clear(service, records, suspect_id, at_s)

    def build_crashes(self) -> tuple[messages.Crash, ...]:
        """Return recent crashes under this node's requests, for its report."""
        return crash_report.build_crashes(
            self._records_by_service, self._clock.boot_s()
        )

    def build_quarantined(self) -> tuple[messages.QuarantinedSuspect, ...]:
        """Return the suspects in quarantine, for this node's report."""
        return crash_report.build_quarantined(
            self._records_by_service, self._clock.boot_s()
        )

    def build_answered(self) -> tuple[messages.AnsweredSuspect, ...]:
        """Return the suspects that were answered to this node."""
        return crash_report.build_answered(
            self._records_by_service, self._clock.boot_s()
        )

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
        for suspect in report.answered_suspects:
            at_s = made_at_s - suspect.age_ms / 1000
            records = self._records(suspect.service)
            self._clear(
                suspect.service, records, suspect.suspect_id, at_s, peer
            )
        # The report has waited for as long as this node stood still.
        unsure_s = self._clock.boot_s() - self._clock.happened_s()
        for service in {crash.service for crash in report.crashes}:
            records = self._records(service)
            is_changed = False
            for crash in report.crashes:
                if crash.service == service:
                    is_changed |= records.add_crash(
                        (crash.server, crash.started_ms),
                        crash_records.Crash.from_message(
                            crash, made_at_s, unsure_s
                        ),
                    )
            if is_changed:
                self._evaluate(service, records)
        for suspect in report.quarantined_suspects:
            self._adopt(suspect, made_at_s, peer)

    def _adopt(
        self, suspect: messages.QuarantinedSuspect, made_at_s: float, peer: str
    ) -> None:
        """Adopt a quarantine of a peer unless newer facts contradict it."""
        records = self._records(suspect.service)
        last_crash_s = made_at_s - suspect.age_ms / 1000
        until_s = made_at_s + suspect.remaining_ms / 1000
        answers = records.answers.find(suspect.suspect_id)
        release = records.release_by_suspect.get(suspect.suspect_id)
        known = records.quarantine_by_suspect.get(suspect.suspect_id)
        if (
            until_s <= self._clock.boot_s()
            or (answers is not None and answers.at_s >= last_crash_s)
            or (release is not None and release.at_s >= last_crash_s)
            or (
                known is not None
                and known.until_s + _MIN_EXTENSION_S >= until_s
            )
        ):
            return
        self._start(
            suspect.service,
            records,
            quarantines.Quarantine(
                suspect.suspect_id,
                suspect.crash_count,
                last_crash_s,
                until_s,
                known is None or known.is_adopted,
                self._clock.boot_s(),
            ),
            peer,
        )

    def _clear(
        self,
        service: str,
        records: crash_records.CrashRecords,
        suspect_id: str,
        at_s: float,
        peer: str | None = None,
    ) -> None:
        """Record that a suspect was answered to this node or to a peer."""
        is_new = records.answers.find(suspect_id) is None
        records.answers.record(suspect_id, at_s, peer is None)
        quarantine = records.quarantine_by_suspect.get(suspect_id)
        if quarantine is None:
            return
        if at_s < quarantine.last_crash_s and not is_new:
            # Crashes before the answer no longer count.
            self._evaluate(service, records)
            return
        del records.quarantine_by_suspect[suspect_id]
        _log_release(service, quarantine, 'a server answered it', peer)
        # It was taken for one that had never been answered.
        self._evaluate(service, records)

    def _evaluate(
        self, service: str, records: crash_records.CrashRecords
    ) -> None:
        """Quarantine the suspects that the crashes prove to be causes."""
        now_s = self._clock.boot_s()
        for quarantine in list(records.quarantine_by_suspect.values()):
            if quarantine.until_s <= now_s:
                self._expire(service, records, quarantine)
        records.remove_crashes_before(now_s - _EVIDENCE_S)
        self._release_explained(service, records)
        for verdict in records.find_causes(records.adopted_suspect_ids()):
            if verdict.suspect_id in records.quarantine_by_suspect:
                continue
            release = records.release_by_suspect.get(verdict.suspect_id)
            if release is not None and release.is_explained:
                release = None
            if release is not None and verdict.last_crash_s <= release.at_s:
                continue
            quarantine = quarantines.Quarantine(
                verdict.suspect_id,
                verdict.crash_count,
                verdict.last_crash_s,
                now_s + _choose_duration_s(verdict, release),
                started_at_s=now_s,
            )
            self._start(service, records, quarantine, 'self')

    def _release_explained(
        self, service: str, records: crash_records.CrashRecords
    ) -> None:
        """Release suspects whose crashes another one explains by now.

        A peer's verdict holds until the crashes known here, which may be
        fewer, explain as many by another suspect.
        """
        proved = records.find_causes(records.adopted_suspect_ids())
        proved_ids = {verdict.suspect_id for verdict in proved}
        unaided = records.find_causes()
        unaided_ids = {verdict.suspect_id for verdict in unaided}
        for quarantine in list(records.quarantine_by_suspect.values()):
            suspect_id = quarantine.suspect_id
            if quarantine.is_adopted:
                is_kept = (
                    not unaided
                    or suspect_id in unaided_ids
                    or unaided[0].crash_count < quarantine.crash_count
                    or not records.are_explained(suspect_id, unaided_ids)
                )
            else:
                is_kept = suspect_id in proved_ids
            if is_kept:
                continue
            del records.quarantine_by_suspect[suspect_id]
            records.release_by_suspect[suspect_id] = crash_records.Release(
                self._clock.boot_s(), 0.0, True
            )
            _log_release(
                service, quarantine, 'another suspect explains its crashes'
            )

    def _start(
        self,
        service: str,
        records: crash_records.CrashRecords,
        quarantine: quarantines.Quarantine,
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
                f'{_log_name(quarantine)}-quarantined',
                extra={
                    'service': service,
                    _log_field(quarantine): quarantine.suspect_id,
                    'crashes': quarantine.crash_count,
                    'last_crash_age_s': round(
                        now_s - quarantine.last_crash_s, 3
                    ),
                    'for_s': round(quarantine.until_s - now_s, 1),
                    'by': source,
                },
            )

    @staticmethod
    def _expire(
        service: str,
        records: crash_records.CrashRecords,
        quarantine: quarantines.Quarantine,
    ) -> None:
        """End a quarantine whose time is over."""
        suspect_id = quarantine.suspect_id
        del records.quarantine_by_suspect[suspect_id]
        records.release_by_suspect[suspect_id] = crash_records.Release(
            quarantine.until_s, quarantine.until_s - quarantine.last_crash_s
        )
        _log_release(service, quarantine, 'the quarantine is over')

    def _records(self, service: str) -> crash_records.CrashRecords:
        if service not in self._records_by_service:
            self._records_by_service[service] = crash_records.CrashRecords()
        return self._records_by_service[service]


def _choose_duration_s(
    verdict: crash_attribution.Verdict, release: crash_records.Release | None
) -> float:
    """Return the duration of a quarantine after its last release."""
    if release is not None:
        return min(
            _MAX_QUARANTINE_S, max(_QUARANTINE_S, 2 * release.duration_s)
        )
    if verdict.is_ambiguous:
        return _AMBIGUOUS_QUARANTINE_S
    if verdict.was_answered and request_fingerprint.is_fingerprint(
        verdict.suspect_id
    ):
        return _ANSWERED_REQUEST_QUARANTINE_S
    return _QUARANTINE_S


def _log_name(quarantine: quarantines.Quarantine) -> str:
    return 'request' if quarantine.is_request else 'part'


def _log_field(quarantine: quarantines.Quarantine) -> str:
    return 'fingerprint' if quarantine.is_request else 'part'


def _log_release(
    service: str,
    quarantine: quarantines.Quarantine,
    reason: str,
    peer: str | None = None,
) -> None:
    _LOG.info(
        f'{_log_name(quarantine)}-released',
        extra={
            'service': service,
            _log_field(quarantine): quarantine.suspect_id,
            'reason': reason,
            'by': peer or 'self',
        },
    )


def _keys(suspect_ids: typing.Iterable[str]) -> typing.Iterator[str]:
    """Return the ids in lower case, and hashes of long ones."""
    for suspect_id in suspect_ids:
        if request_fingerprint.is_fingerprint(suspect_id):
            yield suspect_id
        elif len(suspect_id) <= _MAX_ID_LENGTH:
            yield suspect_id.lower()
        else:
            yield xxhash.xxh64_hexdigest(suspect_id.lower().encode())
