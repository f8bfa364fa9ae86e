"""The newest report of each node."""

import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.peers import gossip_params

# A node counts as a member for this long after its last report, in seconds;
# longer than any window that its counts are needed for.
MEMBER_TIMEOUT_S = 20.0
_REMEMBERED_S = 40.0


class PeerReport(typing.NamedTuple):
    """A report and when it was made.

    Parameters
    ----------
    copy : ReportCopy
        As received, for passing on.
    report : NodeReport
        Decoded.
    made_at_s : float
        When it was made, on this node's clock for ages.
    """

    copy: messages.ReportCopy
    report: messages.NodeReport
    made_at_s: float

    @property
    def start_id(self) -> str:
        """Name of the start of the node."""
        return f'{self.copy.node_id}/{self.copy.incarnation}'


class PeerTable:
    """Reports of other nodes by node id.

    Parameters
    ----------
    own_id : str
        This node's name; reports of it are left out.
    clock : Clock
        Judges ages.
    """

    def __init__(self, own_id: str, clock: clocks.Clock) -> None:
        self._own_id = own_id
        self._clock = clock
        self._report_by_id: dict[str, PeerReport] = {}

    def merge_report(self, copy: messages.ReportCopy) -> PeerReport | None:
        """Take in a report; return it if it is news.

        Raises
        ------
        DecodeError
            If it cannot be read.
        """
        if copy.node_id == self._own_id:
            return None
        known = self._report_by_id.get(copy.node_id)
        if known is not None and (
            (known.copy.incarnation, known.copy.sequence)
            >= (copy.incarnation, copy.sequence)
        ):
            return None
        made_at_s = self._clock.boot_s() - copy.age_ms / 1000
        report = PeerReport(copy, messages.decode_report(copy.body), made_at_s)
        self._report_by_id[copy.node_id] = report
        return report

    def all(self) -> list[PeerReport]:
        """Return all reports that are remembered."""
        oldest_s = self._clock.boot_s() - _REMEMBERED_S
        for node_id, report in list(self._report_by_id.items()):
            if report.made_at_s < oldest_s:
                del self._report_by_id[node_id]
        return list(self._report_by_id.values())

    def live(self) -> list[PeerReport]:
        """Return the reports of nodes that are up and stay."""
        reports = self.all()
        oldest_s = self._clock.boot_s() - gossip_params.report_timeout_s(
            len(reports)
        )
        return [
            report
            for report in reports
            if report.made_at_s >= oldest_s and not report.report.is_leaving
        ]

    def members(self) -> list[PeerReport]:
        """Return the reports of nodes that may be up and stay."""
        oldest_s = self._clock.boot_s() - MEMBER_TIMEOUT_S
        return [
            report
            for report in self.all()
            if report.made_at_s >= oldest_s and not report.report.is_leaving
        ]
