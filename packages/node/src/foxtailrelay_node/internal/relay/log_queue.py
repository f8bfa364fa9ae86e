"""A bounded queue of JSON log lines that never blocks the node."""

import collections
import json
import os
import typing

import logbook

from foxtailrelay_node.internal.relay import ticks

_MAX_LINES = 4000
_MAX_WRITE_BYTES = 32768


class LogQueue(logbook.Handler):
    """Queues log lines and writes them when the output accepts data.

    Lines are dropped and counted while the queue is full.  A separate line
    with their count follows once there is room.

    Parameters
    ----------
    descriptor : int
        File descriptor of the output.
    node_id : str
        Name of the node; included in each line.
    level : int
        Minimum level of the written lines.
    now_s : callable
        Returns Unix time in seconds.
    on_drop : callable
        Called for each dropped line.
    """

    def __init__(
        self,
        descriptor: int,
        node_id: str,
        level: int,
        now_s: typing.Callable[[], float],
        on_drop: typing.Callable[[], None],
    ) -> None:
        super().__init__(level=level)
        self._on_drop = on_drop
        self._descriptor = descriptor
        self._node_id = node_id
        self._now_s = now_s
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b''
        self._unreported_drop_count = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue one record."""
        if len(self._lines) >= _MAX_LINES:
            self._on_drop()
            self._unreported_drop_count += 1
            return
        self._lines.append(self._format_line(record))

    async def run(self) -> None:
        """Write lines until cancelled."""
        while True:
            self.flush()
            await ticks.sleep()

    def flush(self) -> None:
        """Write as much as the output accepts without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_batch()
            try:
                count = os.write(
                    self._descriptor, self._unwritten[:_MAX_WRITE_BYTES]
                )
            except BlockingIOError:
                return
            self._unwritten = self._unwritten[count:]

    def _next_batch(self) -> bytes:
        lines = list(self._lines)
        self._lines.clear()
        if self._unreported_drop_count:
            report = {
                'event': 'log-lines-dropped',
                'count': self._unreported_drop_count,
            }
            lines.append(json.dumps(report).encode() + b'\n')
            self._unreported_drop_count = 0
        return b''.join(lines)

    def _format_line(self, record: logbook.LogRecord) -> bytes:
        fields: dict[str, typing.Any] = {
            't': round(self._now_s(), 3),
            'node': self._node_id,
            'level': record.level_name.lower(),
            'event': record.message,
        }
        fields.update(record.extra)
        if record.exc_info:
            fields['exception'] = record.formatted_exception
        return json.dumps(fields, default=str).encode() + b'\n'
