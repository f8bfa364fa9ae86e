"""The processes of the soak's nodes, each of one release."""

import collections
import json
import os
import pathlib
import re
import signal as signals
import subprocess
import sys
import typing

import yaml

from soak import production
from standin import child_end
from standin import cut_dialer

PORTS = {'front': 8080, 'ready': 8081, 'control': 8082}
_FIRST_INTERNAL_PORT = 8090
_SEED_NODE_COUNT = 3
# Bounds in the nodes' settings.
DRAIN_MS = 2000
REVOKE_MS = 5000
_MEMORY_MB = 300
# A log line with one of these shows a message that a node cannot read.
_MESSAGE_MARKS = (
    'peer-report-unreadable',
    'peer-connection-failed',
    'peer-of-other-cluster',
    'DecodeError',
    'FrameError',
)
# A log line with one of these shows a fault of the node that wrote it.
_FAULT_MARKS = ('Traceback (most recent call last)', 'request-crashed')
_START = '{"event": "release-started"'

_PEAK = re.compile(r'^VmHWM:\s+(\d+) kB', re.MULTILINE)
_EXCEPTION = re.compile(r'[ |]*(\w+\.)*\w+(Error|Exception|Group|[A-Z]\w+): ')


class ProcessFault(typing.NamedTuple):
    """What a process or its log shows to be wrong.

    Parameters
    ----------
    text : str
        Node and fault.
    is_of_production : bool
        Whether only the release in production shows it.
    """

    text: str
    is_of_production: bool = False


class NodeProcesses:
    """Starts, signals and replaces the nodes' processes.

    Parameters
    ----------
    folder : pathlib.Path
        Where the nodes' settings and logs are written.
    builds : sequence of Build
        The release with which nodes begin; the last one is the newest.

    Attributes
    ----------
    process_by_host : dict
        The newest process of each node.
    build_by_host : dict
        The release that a node runs when it is started.
    builds : sequence of Build
        All releases.
    """

    def __init__(
        self, folder: pathlib.Path, builds: typing.Sequence[production.Build]
    ) -> None:
        self.process_by_host: dict[str, subprocess.Popen] = {}
        self.build_by_host: dict[str, production.Build] = {}
        self.builds = builds
        self._folder = folder
        self._expected_ends: set[int] = set()
        self._starts_by_host: dict[str, list[str]] = {}
        self._running_by_host: dict[str, production.Build] = {}

    def clock_path(self, host: str) -> pathlib.Path:
        """Return the file with the offset of a node's wall clock."""
        return self._folder / f'{host}.clock'

    def runs_production(self, host: str) -> bool:
        """Whether a node runs an older release than the newest."""
        return self._running_by_host[host] is not self.builds[-1]

    def start(self, host: str, cut_path: pathlib.Path) -> None:
        """Start a node's process."""
        build = self.build_by_host.setdefault(host, self.builds[0])
        self._running_by_host[host] = build
        self._starts_by_host.setdefault(host, []).append(build.start_line())
        stand_ins = production.working_tree().folder / 'platform/tests'
        path = [*build.python_path(), str(stand_ins)]
        with self._log_path(host).open('ab') as log:
            self.process_by_host[host] = subprocess.Popen(
                [sys.executable, '-m', 'standin.cut_node'],
                cwd=self._folder,
                env=os.environ
                | {
                    'PYTHONPATH': os.pathsep.join(path),
                    'FOXTAILRELAY_NODE_FILE': str(self._settings_path(host)),
                    cut_dialer.FILE_VARIABLE: str(cut_path),
                },
                stdout=log,
                stderr=log,
                preexec_fn=child_end.with_parent(),
            )

    def signal(self, host: str, number: signals.Signals) -> None:
        """Send a signal to a node's process if it is running."""
        process = self.process_by_host[host]
        if number in (signals.SIGKILL, signals.SIGTERM):
            self._expected_ends.add(process.pid)
        if process.poll() is None:
            process.send_signal(number)

    def find_faults(self) -> list[ProcessFault]:
        """Return what the processes and their logs show to be wrong."""
        faults = [
            ProcessFault(
                f'{host} ended by itself with status {process.poll()}',
                self.runs_production(host),
            )
            for host, process in self.process_by_host.items()
            if process.poll() is not None
            and process.pid not in self._expected_ends
        ]
        faults += self._find_large()
        newest = self.builds[-1].start_line()
        for host in self.process_by_host:
            lines = self._log_path(host).read_text(errors='replace')
            lines_by_start = split_by_start(lines.splitlines())
            for start, lines in lines_by_start.items():
                if start not in self._starts_by_host[host]:
                    text = f'{host} ran a release that was not due: {start}'
                    faults.append(ProcessFault(text))
                faults += [
                    ProcessFault(text, start != newest)
                    for text in count_faults(host, lines, _FAULT_MARKS)
                ]
                faults += [
                    ProcessFault(text)
                    for text in count_faults(host, lines, _MESSAGE_MARKS)
                ]
        return faults

    def _find_large(self) -> list[ProcessFault]:
        """Return the processes that a platform would have killed."""
        faults = []
        for host, process in self.process_by_host.items():
            peak_mb = read_peak_mb(process.pid)
            if process.poll() is None and peak_mb > _MEMORY_MB:
                text = f'{host} used {peak_mb:.0f} of {_MEMORY_MB} MB'
                faults.append(ProcessFault(text, self.runs_production(host)))
        return faults

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.process_by_host.values():
            process.kill()
            process.wait()

    def write_settings(
        self, host: str, hosts: list[str], store: str, cloud: str
    ) -> None:
        """Write a node's settings file."""
        seeds = hosts[:_SEED_NODE_COUNT]
        settings = {
            'node-name': f'node-{host}',
            'zone': 'a',
            'listen': {n: f'{host}:{p}' for n, p in PORTS.items()},
            'internal-ports': [_FIRST_INTERNAL_PORT, _FIRST_INTERNAL_PORT + 9],
            'seeds': [f'{seed}:{PORTS["control"]}' for seed in seeds],
            'bounds': {
                'grace-s': 8,
                'drain-ms': DRAIN_MS,
                'revoke-ms': REVOKE_MS,
                'usage-window-s': 2,
                'usage-late-s': 8,
            },
            'provider': {'address': store},
            'limits': {'memory-mb': _MEMORY_MB},
            'cloud': {'address': cloud, 'duties': ['usage_report']},
        }
        settings['clock-offset-file'] = str(self.clock_path(host))
        self._settings_path(host).write_text(yaml.dump(settings))

    def _settings_path(self, host: str) -> pathlib.Path:
        return self._folder / f'{host}.yaml'

    def _log_path(self, host: str) -> pathlib.Path:
        return self._folder / f'{host}.log'


def read_peak_mb(pid: int) -> float:
    """Return the largest memory of a process; 0 if it has ended."""
    try:
        text = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0.0
    found = _PEAK.search(text)
    return int(found.group(1)) / 1024 if found else 0.0


def split_by_start(lines: list[str]) -> dict[str, list[str]]:
    """Return the lines that each release wrote."""
    lines_by_start: dict[str, list[str]] = {}
    start = ''
    for line in lines:
        if line.startswith(_START):
            start = line
        lines_by_start.setdefault(start, []).append(line)
    return lines_by_start


def count_faults(
    host: str, lines: list[str], marks: tuple[str, ...]
) -> list[str]:
    """Count the log lines with a mark, by event and exception."""
    counts: collections.Counter[str] = collections.Counter()
    for line in lines:
        if not any(mark in line for mark in marks):
            continue
        try:
            entry = json.loads(line)
        except ValueError:
            counts[line.strip()] += 1
            continue
        errors = [
            text.strip(' |')
            for text in entry.get('exception', '').splitlines()
            if _EXCEPTION.match(text)
        ]
        reason = errors[-1] if errors else entry.get('reason', '')
        counts[f'{entry.get("event")}: {reason}'] += 1
    return [
        f'{host} logged {count} times: {fault}'
        for fault, count in counts.items()
    ]
