"""Traces tell what a backend server sent and how its connection ended."""

import pytest
import trio

from foxtailrelay_node.internal.relay.attempts import attempt_log
from foxtailrelay_node.internal.relay.http import backend_connection

from common import relay_rig

_WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_LONG = b'HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n' + b'x' * 300 + b'end'


def _trace(answer, is_reset=False):
    """Return the trace of an answer, and whether it was taken as whole."""

    async def main():
        near, far = trio.socket.socketpair()
        stream = trio.SocketStream(near)
        connection = backend_connection.BackendConnection(stream)
        await connection.send('r1', 'GET', '/', [(b'Host', b'h')], b'')
        if not is_reset:
            await far.recv(65536)
        # Closing with input unread resets the connection.
        await far.send(answer)
        far.close()
        is_whole = True
        try:
            await connection.receive_head()
            while await connection.receive_part() is not None:
                pass
            connection.prepare_reuse()
        except backend_connection.BackendConnectionError:
            is_whole = False
        await connection.aclose()
        return connection.trace.describe(is_whole)

    return trio.run(main)


@pytest.mark.parametrize(
    ('answer', 'is_reset', 'fields'),
    [
        (_WHOLE, False, {}),
        (_WHOLE + b'more', False, {'extra_bytes': 'more'}),
        (
            _WHOLE[:-1],
            False,
            {
                'received_bytes': len(_WHOLE) - 1,
                'last_bytes': _WHOLE[:-1].decode(),
                'server_end': 'close',
            },
        ),
        (
            _LONG,
            False,
            {
                'received_bytes': len(_LONG),
                'last_bytes': f'{_LONG[:60].decode()}...{"x" * 57}end',
                'server_end': 'close',
            },
        ),
        (
            b'\x16\x03',
            False,
            {'received_bytes': 2, 'last_bytes': '\x16\x03'},
        ),
        (b'', True, {'received_bytes': 0, 'server_end': 'reset'}),
    ],
)
def test_a_trace_shows_wrong_bytes_and_ends(answer, is_reset, fields):
    assert _trace(answer, is_reset) == fields


class _Log:
    """Keeps the fields of log lines."""

    def __init__(self):
        self.fields = []

    def info(self, message, extra):
        self.fields.append(extra)


def test_log_shows_no_bytes_of_an_answer_that_its_caller_left(monkeypatch):
    """Guards against answers of callers in the log of each node."""
    log = _Log()
    monkeypatch.setattr(attempt_log, '_LOG', log)

    async def serve(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(
            relay_rig.stream_head()
            + relay_rig.encode_chunk(relay_rig.encode_event(1))
        )
        await trio.sleep_forever()

    @relay_rig.with_rig
    async def play(rig):
        rig.add_server('model', 1, serve)
        caller = rig.connect()
        await caller.send('/stream/x')
        await trio.sleep(1.0)
        await caller.stream.aclose()
        await trio.sleep(1.0)

    play()
    (fields,) = log.fields
    assert fields['outcome'] == 'cancelled'
    assert fields['received_bytes'] > 0
    assert 'last_bytes' not in fields
