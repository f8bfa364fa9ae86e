"""Callers' connections are bounded, and stalled ones are closed first."""

import contextlib

from foxtailrelay_node.internal.callers import caller_listener
from hypercorn import config as hypercorn_config
import pytest
import trio

_MAX_CONNECTIONS = 4
_GET = b'GET /slow HTTP/1.1\r\nHost: a\r\n\r\n'
_POST = b'POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n'


class _Rig:
    """A listener whose application answers once it is told to."""

    def __init__(self, nursery, listener):
        self._nursery = nursery
        self._address = listener.socket.getsockname()
        self.may_answer = trio.Event()
        self.begun_count = 0

    async def app(self, scope, receive, send):
        if scope['type'] != 'http':
            return
        while (await receive()).get('more_body', False):
            pass
        self.begun_count += 1
        await self.may_answer.wait()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', b'4')],
            }
        )
        await send({'type': 'http.response.body', 'body': b'done'})

    async def connect(self, data=b''):
        stream = await trio.open_tcp_stream(*self._address)
        if data:
            await stream.send_all(data)
        # Lets the listener accept it.
        await trio.sleep(0.02)
        return stream

    async def connect_many(self, count, data=b''):
        return [await self.connect(data) for _ in range(count)]


def _run(play):
    async def main():
        config = hypercorn_config.Config()
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            rig = _Rig(nursery, listener)
            callers = caller_listener.CallerListener(
                rig.app, config, _MAX_CONNECTIONS
            )
            nursery.start_soon(callers.serve, [listener], stopped)
            with trio.fail_after(20):
                await play(rig)
            stopped.set()
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _receive(stream):
    """Return what is received in some time; None if it is nothing."""
    with contextlib.suppress(trio.BrokenResourceError):
        with trio.move_on_after(0.3):
            return bytes(await stream.receive_some())
        return None
    return b''


async def _receive_answer(stream):
    """Return whether a whole answer is received."""
    data = b''
    while b'done' not in data:
        part = await stream.receive_some()
        if not part:
            return False
        data += part
    return data.startswith(b'HTTP/1.1 200 ')


async def _count_closed(streams):
    return sum([await _receive(stream) == b'' for stream in streams])


@pytest.mark.parametrize('request_bytes', [_GET, _POST + b'body'])
def test_answer_under_way_is_not_cut_by_a_crowd(request_bytes):
    """Guards against callers that wait for an answer and seem to stall."""

    async def play(rig):
        caller = await rig.connect(request_bytes)
        silent = await rig.connect_many(10)
        rig.may_answer.set()
        assert await _receive_answer(caller)
        assert await _count_closed(silent) >= 10 - _MAX_CONNECTIONS

    _run(play)


@pytest.mark.parametrize('data', [b'', b'GET /', _POST, _POST + b'bod'])
def test_connection_that_has_stalled_for_longest_is_closed_first(data):
    async def play(rig):
        stalled = await rig.connect_many(_MAX_CONNECTIONS, data)
        newest = await rig.connect(_GET)
        rig.may_answer.set()
        assert await _receive_answer(newest)
        closed = [await _receive(stream) == b'' for stream in stalled]
        assert closed == [True, False, False, False]

    _run(play)


def test_new_connection_is_closed_while_all_others_wait_for_answers():
    """Guards against answers that are given up for new connections."""

    async def play(rig):
        callers = await rig.connect_many(_MAX_CONNECTIONS, _GET)
        assert rig.begun_count == _MAX_CONNECTIONS
        assert await _receive(await rig.connect()) == b''
        rig.may_answer.set()
        for caller in callers:
            assert await _receive_answer(caller)
        # They wait for requests now, and make room.
        assert await _receive_answer(await rig.connect(_GET))

    _run(play)


def test_connection_is_kept_for_further_requests():
    async def play(rig):
        rig.may_answer.set()
        caller = await rig.connect()
        for request_bytes in (_GET, _POST + b'body', _GET):
            await caller.send_all(request_bytes)
            assert await _receive_answer(caller)

    _run(play)
