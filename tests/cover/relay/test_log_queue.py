"""The log queue is bounded and never blocks."""

import json
import os

from foxtailrelay_node.internal.relay import log_queue
import logbook

_LOG = logbook.Logger('test')


def _queue(descriptor, on_drop=lambda: None):
    return log_queue.LogQueue(
        descriptor, 'n1', logbook.INFO, lambda: 5.0, on_drop
    )


def _read(descriptor):
    return [json.loads(x) for x in os.read(descriptor, 1 << 24).splitlines()]


def test_line_is_one_json_object_with_its_fields():
    reader, writer = os.pipe()
    queue = _queue(writer)
    with queue.applicationbound():
        _LOG.info('placed', extra={'request': 'r1', 'age_s': 0.5})
    queue.flush()
    (line,) = _read(reader)
    assert line == {
        't': 5.0,
        'node': 'n1',
        'level': 'info',
        'event': 'placed',
        'request': 'r1',
        'age_s': 0.5,
    }


def test_blocked_output_does_not_block_and_dropped_lines_are_counted():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    dropped = []
    queue = _queue(writer, lambda: dropped.append(1))
    with queue.applicationbound():
        for number in range(20_000):
            _LOG.info('placed', extra={'request': f'r{number}'})
            if number % 100 == 0:
                queue.flush()
    assert dropped
    lines = []
    for _ in range(1000):
        os.set_blocking(reader, False)
        try:
            lines.append(os.read(reader, 1 << 20))
        except BlockingIOError:
            break
        queue.flush()
    events = [json.loads(x) for x in b''.join(lines).splitlines()]
    reported = sum(
        e['count'] for e in events if e['event'] == 'log-lines-dropped'
    )
    assert reported == len(dropped)
