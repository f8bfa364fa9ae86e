"""Crashes, answers and quarantines of one service, as of one node."""

import collections
import math
import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.backends import answer_history
from foxtailrelay_node.internal.relay.backends import quarantine as quarantines
from foxtailrelay_node.internal.relay.backends import request_sample
from foxtailrelay_node.internal.relay.policy import crash_attribution
from foxtailrelay_node.internal.relay.policy import quarantine_probes

InstanceKey = tuple[str, int]
_MAX_CRASHES = 500
# Ages in reports are rounded to milliseconds.
_ROUNDING_S = 0.002
UNKNOWN_MS = 0xFFFFFFFF


class Crash(typing.NamedTuple):
    """A server that ended.

    Parameters
    ----------
    at_s : float
        When it ended, in seconds since boot.
    sent_at_s_by_suspect : dict of str to float
        When the last request with each suspect was sent to it; minus
        infinity if unknown.
    is_own : bool
        Whether requests of this node were at the server.
    unsure_s : float
        Time by which it may have ended earlier.
    """

    at_s: float
    sent_at_s_by_suspect: dict[str, float]
    is_own: bool
    unsure_s: float = 0.0

    @classmethod
    def from_message(
        cls, crash: messages.Crash, made_at_s: float, unsure_s: float = 0.0
    ) -> 'Crash':
        """Return a crash that a peer reported at a time, or earlier."""
        at_s = made_at_s - crash.age_ms / 1000
        sent_at_s_by_suspect = dict.fromkeys(crash.suspect_ids, -math.inf)
        for suspect_id, running_ms in zip(
            crash.suspect_ids, crash.running_ms, strict=False
        ):
            if running_ms < UNKNOWN_MS:
                sent_at_s_by_suspect[suspect_id] = at_s - running_ms / 1000
        return cls(
            at_s,
            sent_at_s_by_suspect,
            False,
            unsure_s + crash.unsure_ms / 1000,
        )


class Release(typing.NamedTuple):
    """The end of a quarantine.

    Parameters
    ----------
    at_s : float
        When it ended, in seconds since boot.
    duration_s : float
        How long it had lasted.
    is_explained : bool
        Whether another suspect explained the crashes.  Reports that arrive
        later may show that this one is to blame after all.
    """

    at_s: float
    duration_s: float
    is_explained: bool = False


class CrashRecords:
    """Crashes, answers and quarantines of one service.

    Attributes
    ----------
    crash_by_instance : OrderedDict
        The newest crashes.
    answers : AnswerHistory
        Answers that clear suspects.
    quarantine_by_suspect : dict
        Quarantines in force.
    release_by_suspect : dict
        The last end of each suspect's quarantine.
    requests : RequestSample
        Requests that arrived while suspects were in quarantine.
    """

    def __init__(self) -> None:
        self.crash_by_instance: collections.OrderedDict[InstanceKey, Crash] = (
            collections.OrderedDict()
        )
        self.answers = answer_history.AnswerHistory()
        self.quarantine_by_suspect: dict[str, quarantines.Quarantine] = {}
        self.release_by_suspect: dict[str, Release] = {}
        self.requests = request_sample.RequestSample()

    def add_crash(self, key: InstanceKey, crash: Crash) -> bool:
        """Merge a crash; return whether anything was new."""
        known = self.crash_by_instance.get(key)
        if known is None:
            self.crash_by_instance[key] = crash
            if len(self.crash_by_instance) > _MAX_CRASHES:
                self.crash_by_instance.popitem(last=False)
            return True
        # Reports date a crash late, never early, and what was sent as well.
        first = min(known, crash, key=lambda c: c.at_s)
        sent_at_s_by_suspect = {
            suspect_id: sent_at_s + first.at_s - known.at_s
            for suspect_id, sent_at_s in known.sent_at_s_by_suspect.items()
        }
        is_changed = False
        for suspect_id, sent_at_s in crash.sent_at_s_by_suspect.items():
            sent_at_s += first.at_s - crash.at_s
            known_s = sent_at_s_by_suspect.get(suspect_id)
            if known_s is None or sent_at_s > known_s + _ROUNDING_S:
                sent_at_s_by_suspect[suspect_id] = sent_at_s
                is_changed = True
        self.crash_by_instance[key] = Crash(
            first.at_s,
            sent_at_s_by_suspect,
            known.is_own or crash.is_own,
            first.unsure_s,
        )
        return is_changed

    def remove_crashes_before(self, oldest_s: float) -> None:
        """Remove crashes that are too old to be evidence."""
        for key, crash in list(self.crash_by_instance.items()):
            if crash.at_s < oldest_s:
                del self.crash_by_instance[key]

    def adopted_suspect_ids(self) -> set[str]:
        """Return the suspects that only peers have proved to be causes."""
        return {
            quarantine.suspect_id
            for quarantine in self.quarantine_by_suspect.values()
            if quarantine.is_adopted
        }

    def are_explained(
        self, suspect_id: str, cause_ids: typing.AbstractSet[str]
    ) -> bool:
        """Whether causes were present at all known crashes of a suspect."""
        found = [
            crash.sent_at_s_by_suspect.keys()
            for crash in self.crash_by_instance.values()
            if suspect_id in crash.sent_at_s_by_suspect
        ]
        return bool(found) and not any(
            cause_ids.isdisjoint(suspect_ids) for suspect_ids in found
        )

    def probe_evidence(
        self,
        quarantine: quarantines.Quarantine,
        observed_since_s: float = -math.inf,
    ) -> quarantine_probes.Evidence:
        """Return what is known about a suspect in quarantine.

        Parameters
        ----------
        quarantine : Quarantine
            The quarantine.
        observed_since_s : float
            When the oldest node started, in seconds since boot.
        """
        suspect_id = quarantine.suspect_id
        observed_s = quarantine.started_at_s - observed_since_s
        request_share = 0.0
        if (
            observed_s < quarantine_probes.MIN_OBSERVED_S
            and not quarantine.is_request
        ):
            request_share = self.requests.share(suspect_id)
        answers = self.answers.find(suspect_id)
        release = self.release_by_suspect.get(suspect_id)
        return quarantine_probes.Evidence(
            quarantine.started_at_s,
            0 if quarantine.is_request or not answers else answers.count,
            release is not None and not release.is_explained,
            sum(
                crash.sent_at_s_by_suspect.get(suspect_id, -math.inf)
                > quarantine.started_at_s
                for crash in self.crash_by_instance.values()
            ),
            observed_s,
            request_share,
        )

    def find_causes(
        self, known_suspect_ids: typing.AbstractSet[str] = frozenset()
    ) -> list[crash_attribution.Verdict]:
        """Return the suspects that explain the crashes.

        Parameters
        ----------
        known_suspect_ids : set of str
            Suspects that explain their crashes in any case.
        """
        crashes = self.crash_by_instance.values()
        suspect_ids = {
            suspect_id
            for crash in crashes
            for suspect_id in crash.sent_at_s_by_suspect
        }
        found = ((s, self.answers.find(s)) for s in suspect_ids)
        answers_by_suspect = {s: a for s, a in found if a is not None}
        return crash_attribution.find_crash_causes(
            (
                crash_attribution.Crash(
                    crash.at_s, crash.sent_at_s_by_suspect, crash.unsure_s
                )
                for crash in crashes
            ),
            {s: answers.at_s for s, answers in answers_by_suspect.items()},
            known_suspect_ids,
            {s: answers.count for s, answers in answers_by_suspect.items()},
        )
