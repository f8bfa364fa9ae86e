"""Metrics of what a process holds of others' bytes."""

import typing

from prometheus_client import core
from prometheus_client import registry

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes


class MemoryMetricsCollector(registry.Collector):
    """Exports what a memory budget grants, by purpose.

    Parameters
    ----------
    memory : MemoryBudget
        The budget of the process.
    """

    def __init__(self, memory: memory_budget.MemoryBudget) -> None:
        self._memory = memory

    def collect(self) -> typing.Iterator[core.Metric]:
        """Yield the current values."""
        held = core.GaugeMetricFamily(
            'foxtailrelay_held_bytes',
            'Received bytes that are held, by what they are held for.',
            labels=['purpose'],
        )
        limit = core.GaugeMetricFamily(
            'foxtailrelay_held_bytes_limit',
            'Received bytes that may be held at most.',
            labels=['purpose'],
        )
        denied = core.GaugeMetricFamily(
            'foxtailrelay_memory_denied',
            'How often there was no room for received bytes.',
            labels=['purpose'],
        )
        for purpose in purposes.Purpose:
            labels = [purpose.value]
            held.add_metric(labels, self._memory.held_bytes(purpose))
            limit.add_metric(labels, self._memory.limit_bytes(purpose))
            denied.add_metric(labels, self._memory.denied_count(purpose))
        yield from (held, limit, denied)
