"""Metrics of control traffic and of log appends."""

import typing

from foxtailrelay_core import messages
from prometheus_client import core
from prometheus_client import registry


class ControlMetricsCollector(registry.Collector):
    """Exports counters that the node's components maintain.

    Parameters
    ----------
    traffic_by_part : dict of str to TrafficCount
        Control traffic by component, which is the label ``part``.
    append_count : callable
        Returns the number of appends to the log since the start.
    """

    def __init__(
        self,
        traffic_by_part: dict[str, messages.TrafficCount],
        append_count: typing.Callable[[], int],
    ) -> None:
        self._traffic_by_part = traffic_by_part
        self._append_count = append_count

    def collect(self) -> typing.Iterator[core.CounterMetricFamily]:
        """Yield the current values of the counters."""
        control = core.CounterMetricFamily(
            'foxtailrelay_control_bytes',
            'Bytes sent and received for control.',
            labels=['part'],
        )
        for part, traffic in self._traffic_by_part.items():
            control.add_metric([part], traffic.total_bytes)
        yield control
        yield core.CounterMetricFamily(
            'foxtailrelay_log_appends',
            'Appends to the log service.',
            value=self._append_count(),
        )
