"""CPU time, memory and control traffic of a node process."""

import pathlib
import re
import time
import typing

import httpcore

_TICKS_PER_S = 100
_CONTROL_BYTES = re.compile(
    r'^foxtailrelay_control_bytes_total\{[^}]*\} (\S+)$', re.MULTILINE
)
_APPENDS = re.compile(r'^foxtailrelay_log_appends_total (\S+)$', re.MULTILINE)


class Reading(typing.NamedTuple):
    """Counters of a node at one point in time.

    Parameters
    ----------
    time_s, cpu_s : float
        Monotonic time, and CPU time used since the start.
    memory_mb : float
        Resident set size.
    control_bytes, appends : float
        Control bytes sent and received, and appends to the log, since the
        start.
    """

    time_s: float
    cpu_s: float
    memory_mb: float
    control_bytes: float
    appends: float

    @classmethod
    def from_node(cls, pid: int, url: str) -> 'Reading':
        """Read the counters of a running node."""
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
        resident_kb = int(re.search(r'VmRSS:\s+(\d+)', status)[1])
        metrics = httpcore.request('GET', f'{url}/metrics').content.decode()
        return cls(
            time.monotonic(),
            (int(fields[11]) + int(fields[12])) / _TICKS_PER_S,
            resident_kb / 1024,
            sum(float(value) for value in _CONTROL_BYTES.findall(metrics)),
            float(_APPENDS.search(metrics)[1]),
        )


class Usage(typing.NamedTuple):
    """CPU use, traffic and appends per second, and memory, of a node."""

    cpu_percent: float
    memory_mb: float
    control_kb_per_s: float
    appends_per_s: float

    @classmethod
    def from_readings(cls, before: Reading, after: Reading) -> 'Usage':
        """Compute the usage between two readings."""
        seconds = after.time_s - before.time_s
        return cls(
            100 * (after.cpu_s - before.cpu_s) / seconds,
            after.memory_mb,
            (after.control_bytes - before.control_bytes) / seconds / 1024,
            (after.appends - before.appends) / seconds,
        )
