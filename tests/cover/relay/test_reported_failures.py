"""Failures that operators of similar systems reported, tried on this node.

A planned stop under load is tried in ``platform/tests/test_processes.py``,
and malformed messages in ``test_malformed_input.py``.
"""

import pytest
import trio

from common import relay_rig

_STREAM_HEADERS = ('Token-Counts: 100,20', 'Prompt-Prefix: aa:60,bb:40')


async def _call(caller, request_id):
    """Send a repeatable request with its own id and return the answer."""
    await caller.stream.send_all(
        f'GET /any/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n'
        'Authorization: Token k1\r\n\r\n'.encode()
    )
    return await caller.receive()


@pytest.mark.parametrize('pause_s', [0.0, 0.001, 0.2, 1.0])
def test_a_late_second_copy_reaches_no_other_caller(pause_s):
    """Guards against an answer that the next caller gets as its own.

    The server repeats the first answer on the connection that is in use
    again: before the next request, together with it, or after it.
    """

    @relay_rig.with_rig
    async def play(rig):
        first = relay_rig.success_response(b'first', request_id='r1')

        async def repeat(stream):
            await relay_rig.read_request(stream)
            await stream.send_all(first)
            await trio.sleep(pause_s)
            await stream.send_all(first)
            while await relay_rig.read_request(stream):
                await stream.send_all(first)
                await trio.sleep(pause_s)
                await stream.send_all(
                    relay_rig.success_response(b'second', request_id='r2')
                )

        async def repeat_until_closed(stream):
            try:
                await repeat(stream)
            except trio.BrokenResourceError:
                return

        rig.add_server('plain', 1, repeat_until_closed)
        one, other = rig.connect(), rig.connect()
        assert (await _call(one, 'r1')).endswith(b'first')
        await trio.sleep(pause_s / 2)
        assert b'first' not in await _call(other, 'r2')

    play()


@relay_rig.with_rig
async def test_a_slow_but_sound_stream_is_not_cut(rig):
    """Guards against streams that end because of long pauses alone."""

    async def slow(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(relay_rig.stream_head())
        for number in (1, 2, 3):
            await trio.sleep(1.2)
            await stream.send_all(
                relay_rig.encode_chunk(relay_rig.encode_event(number))
            )
        await stream.send_all(relay_rig.LAST_CHUNK)

    rig.add_server('model', 1, slow)
    caller = rig.connect()
    await caller.send('/stream/x', *_STREAM_HEADERS)
    data = await caller.receive()
    assert b'x3' in data
    assert data.endswith(relay_rig.LAST_CHUNK)


@relay_rig.with_rig
async def test_a_stalled_stream_with_a_byte_now_and_then_ends(rig):
    """Guards against streams whose stray bytes keep them open for ever."""
    closed = trio.Event()

    async def stall(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(
            relay_rig.stream_head()
            + relay_rig.encode_chunk(relay_rig.encode_event(1))
        )
        try:
            while True:
                await trio.sleep(0.3)
                await stream.send_all(relay_rig.encode_chunk(b':'))
        except trio.BrokenResourceError:
            closed.set()

    rig.add_server('model', 1, stall)
    caller = rig.connect()
    started_s = trio.current_time()
    await caller.send('/stream/x', *_STREAM_HEADERS)
    data = await caller.receive_all()
    assert not data.endswith(relay_rig.LAST_CHUNK)
    # The timeout of the route is 4 s.
    assert trio.current_time() - started_s < 4.5
    with trio.fail_after(0.5):
        await closed.wait()


@relay_rig.with_rig
async def test_work_at_a_server_that_is_only_silent_goes_on_there(rig):
    """Guards against a second run of work that a silent server goes on with.

    Its entry in the server list lapses while it is running a request.
    """
    runs = []
    entry_removed = trio.Event()

    async def run(stream):
        await relay_rig.read_request(stream)
        runs.append(1)
        await stream.send_all(
            relay_rig.stream_head()
            + relay_rig.encode_chunk(relay_rig.encode_event(1))
        )
        await entry_removed.wait()
        await trio.sleep(1.0)
        await stream.send_all(
            relay_rig.encode_chunk(relay_rig.encode_event(2))
            + relay_rig.LAST_CHUNK
        )

    rig.add_server('model', 1, run)
    caller = rig.connect()
    await caller.send('/resume/x', *_STREAM_HEADERS)
    await trio.sleep(0.1)
    rig.add_server('model', 2, run)
    rig.servers._remove('s1')
    entry_removed.set()
    data = await caller.receive()
    assert b'x1' in data and b'x2' in data
    assert data.endswith(relay_rig.LAST_CHUNK)
    assert runs == [1]


@relay_rig.with_rig
async def test_a_process_that_was_paused_sends_nothing_with_an_old_key(rig):
    """Guards against a key that has run out while the process stood still.

    The pause lies between the check of the key and the sending.
    """
    requests = []
    rig.add_server(
        'plain',
        1,
        relay_rig.scripted_backend(
            relay_rig.success_response(), requests=requests
        ),
    )
    connect = rig.dialer.connect

    async def connect_and_pause(host, port):
        stream = await connect(host, port)
        rig.clock.suspended_s += relay_rig.KEY_VALIDITY_S
        return stream

    rig.dialer.connect = connect_and_pause
    caller = rig.connect()
    await caller.send('/once/x')
    assert relay_rig.status_code(await caller.receive()) == 503
    assert requests == []
