"""The newest report of each peer."""

import typing

from foxtailrelay_core import messages
from foxtailrelay_core import record_fields

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.peers import gossip_params
from foxtailrelay_node.internal.relay.peers import peer_versions

# Time after its last report for which a node counts as a member; longer than
# any window in which its counts are used.
MEMBER_TIMEOUT_S = 20.0
_RETENTION_S = 40.0


class PeerReport(typing.NamedTuple):
    """A report and its creation time.

    Parameters
    ----------
    copy : ReportCopy
        The encoded report as received, to be forwarded.
    report : NodeReport
        The decoded report.
    made_at_s : float
        When it was built, on this node's boot clock.
    start_hash : int
        Identifies the start of the node in the exchanges.
    """

    copy: messages.ReportCopy
    report: messages.NodeReport
    made_at_s: float
    start_hash: int

    @property
    def start_id(self) -> str:
        """Id of this start of the node: its name and incarnation."""
        return f'{self.copy.node_id}/{self.copy.incarnation}'


class PeerTable:
    """The newest report of each other node.

    Parameters
    ----------
    own_id : str
        This node's name; its own reports are ignored.
    clock : Clock
        Clock for ages.
    """

    def __init__(self, own_id: str, clock: clocks.Clock) -> None:
        self._own_id = own_id
        self._clock = clock
        self._report_by_id: dict[str, PeerReport] = {}
        self._ended_by_start_id: dict[str, PeerReport] = {}

    def merge_report(self, copy: messages.ReportCopy) -> PeerReport | None:
        """Store and return a report that is newer than the stored one.

        Returns None for any other.

        Raises
        ------
        DecodeError
            If the report cannot be decoded, or its node not be reached.
        """
        if copy.node_id == self._own_id:
            return None
        current = self._report_by_id.get(copy.node_id)
        if current is not None and (
            (current.copy.incarnation, current.copy.sequence)
            >= (copy.incarnation, copy.sequence)
        ):
            return None
        report = self._decode(copy)
        self._report_by_id[copy.node_id] = report
        if current is not None and (
            current.copy.incarnation < copy.incarnation
        ):
            self._ended_by_start_id[current.start_id] = current
        return report

    def merge_ended(
        self, copy: messages.ReportCopy, own_incarnation: int
    ) -> PeerReport | None:
        """Store and return the last report of a start that has ended.

        Nodes that started later need its counts.  Returns None for any other
        report, and for one that is already stored.

        Raises
        ------
        DecodeError
            If the report cannot be decoded.
        """
        current = self._report_by_id.get(copy.node_id)
        if copy.node_id == self._own_id:
            newest = own_incarnation
        elif current is not None:
            newest = current.copy.incarnation
        else:
            return None
        if copy.incarnation >= newest or copy.age_ms > MEMBER_TIMEOUT_S * 1000:
            return None
        start_id = f'{copy.node_id}/{copy.incarnation}'
        stored = self._ended_by_start_id.get(start_id)
        if stored is not None and stored.copy.sequence >= copy.sequence:
            return None
        report = self._decode(copy)
        self._ended_by_start_id[start_id] = report
        return report

    def _decode(self, copy: messages.ReportCopy) -> PeerReport:
        made_at_s = self._clock.boot_s() - copy.age_ms / 1000
        start_hash = peer_versions.start_hash(copy)
        return PeerReport(copy, _decode_report(copy), made_at_s, start_hash)

    def ended(self) -> list[PeerReport]:
        """Return the last reports of starts that a later one has replaced."""
        oldest_s = self._clock.boot_s() - MEMBER_TIMEOUT_S
        for start_id, report in list(self._ended_by_start_id.items()):
            if report.made_at_s < oldest_s:
                del self._ended_by_start_id[start_id]
        return list(self._ended_by_start_id.values())

    def is_replaced(self, node_id: str, incarnation: int) -> bool:
        """Whether a node has started again since."""
        report = self._report_by_id.get(node_id)
        return report is not None and report.copy.incarnation > incarnation

    def is_reporting(self, node_id: str) -> bool:
        """Whether a node is live, leaving or not."""
        return any(p.copy.node_id == node_id for p in self.reporting())

    def reporting(self) -> list[PeerReport]:
        """Return the reports of live nodes, leaving or not."""
        reports = self.all()
        oldest_s = self._clock.boot_s() - gossip_params.report_timeout_s(
            len(reports)
        )
        return [report for report in reports if report.made_at_s >= oldest_s]

    def all(self) -> list[PeerReport]:
        """Return all retained reports."""
        oldest_s = self._clock.boot_s() - _RETENTION_S
        reports = list(self._report_by_id.values())
        if min([r.made_at_s for r in reports], default=oldest_s) < oldest_s:
            reports = [r for r in reports if r.made_at_s >= oldest_s]
            self._report_by_id = {r.copy.node_id: r for r in reports}
        return reports

    def live(self) -> list[PeerReport]:
        """Return the reports of live nodes that are not leaving."""
        reports = self.all()
        timeout_s = gossip_params.report_timeout_s(len(reports))
        return self._recent(reports, timeout_s)

    def members(self) -> list[PeerReport]:
        """Return the reports of nodes that may be live and are not leaving."""
        return self._recent(self.all(), MEMBER_TIMEOUT_S)

    def _recent(
        self, reports: list[PeerReport], timeout_s: float
    ) -> list[PeerReport]:
        oldest_s = self._clock.boot_s() - timeout_s
        return [
            report
            for report in reports
            if report.made_at_s >= oldest_s and not report.report.is_leaving
        ]


def _decode_report(copy: messages.ReportCopy) -> messages.NodeReport:
    report = messages.decode_report(copy.body)
    try:
        # Exchanges list the sequences of all reports.
        record_fields.whole_number(
            copy.sequence, 'sequence', high=record_fields.MAX_UINT32
        )
        record_fields.host_and_port(report.host, report.peer_port, 'node')
    except ValueError as error:
        raise messages.DecodeError(str(error)) from error
    return report
