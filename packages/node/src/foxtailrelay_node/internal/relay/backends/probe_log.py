"""Single requests with a quarantined part that a node lets through."""

import math
import random
import typing

from foxtailrelay_node.internal.relay.policy import quarantine_probes


class _Probe(typing.NamedTuple):
    """The last probe of a quarantine.

    Parameters
    ----------
    started_at_s : float
        When the quarantine started; a later one has probes of its own.
    draw : float
        Chooses the turns of this node.
    request_ids : tuple of str
        Suspects of the request that was let through; empty for none.
    sent_at_s : float
        When it was first let through, in seconds since boot.
    """

    started_at_s: float
    draw: float
    request_ids: tuple[str, ...] = ()
    sent_at_s: float = -math.inf


class ProbeLog:
    """Lets single requests with quarantined parts through.

    Parameters
    ----------
    rng : Random
        Chooses the turns of this node.
    node_count : int
        Nodes that send probes independently; 0 if all ask this one.
    """

    def __init__(self, rng: random.Random, node_count: int) -> None:
        self.node_count = node_count
        self._rng = rng
        self._probe_by_suspect: dict[str, _Probe] = {}

    def admits(
        self,
        suspect_id: str,
        request_ids: tuple[str, ...],
        evidence: quarantine_probes.Evidence,
        now_s: float,
    ) -> bool:
        """Return whether a request is the probe, or becomes it."""
        if not quarantine_probes.may_probe(evidence):
            self._probe_by_suspect.pop(suspect_id, None)
            return False
        probe = self._probe_by_suspect.get(suspect_id)
        if probe is None or probe.started_at_s != evidence.started_at_s:
            probe = _Probe(evidence.started_at_s, self._rng.random())
            self._probe_by_suspect[suspect_id] = probe
        if now_s < probe.sent_at_s + quarantine_probes.PROBE_LIFETIME_S:
            return probe.request_ids == request_ids
        if not quarantine_probes.is_turn(
            now_s, evidence.started_at_s, self.node_count, probe.draw
        ):
            return False
        self._probe_by_suspect[suspect_id] = probe._replace(
            request_ids=request_ids, sent_at_s=now_s
        )
        return True
