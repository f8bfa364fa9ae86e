"""Ends of workers of servers whose process that reports lives on."""

from common import relay_rig
from common import reporting_stream
import pytest
import trio

_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n'
    b'Content-Type: text/event-stream\r\n\r\n'
)
_EVENT_COUNT = 4
_INTERVAL_S = 0.5
_PROMPT = ('Token-Counts: 100,20', 'Prompt-Prefix: aa:60,bb:40')


def _stream_from(first, runs):
    async def serve(stream):
        request = await relay_rig.read_request(stream)
        if not request:
            return
        runs.append(request)
        await stream.send_all(_HEAD)
        for number in range(first, _EVENT_COUNT + 1):
            await trio.sleep(_INTERVAL_S)
            await stream.send_all(relay_rig.encode_event(number))
        await stream.aclose()

    return serve


async def _call(rig, path, disturb):
    caller = rig.connect()
    await caller.send(path, *_PROMPT, 'Connection: close')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(disturb)
        received = await caller.receive_all()
        nursery.cancel_scope.cancel()
    return received


@pytest.mark.parametrize('after_s', [1.1, 1.4, 1.501])
def test_stream_of_a_worker_that_ended_is_not_whole(after_s):
    """Guards against ends that count since the server's report says so."""

    async def play(rig):
        rig.add_server('model', 1, _stream_from(1, []))

        async def end_worker():
            await trio.sleep(after_s)
            rig.end_connections('10.0.0.1')

        received = await _call(rig, '/stream/x', end_worker)
        assert relay_rig.encode_event(2) in received
        assert not received.endswith(relay_rig.LAST_CHUNK)

    relay_rig.with_rig(play)()


@relay_rig.with_rig
async def test_stream_is_not_whole_if_two_workers_end_while_it_is_judged(rig):
    """Guards against a later loss in place of the one at the end."""
    serve_stream = _stream_from(1, [])
    start_s = trio.current_time()

    async def serve(stream):
        if trio.current_time() - start_s < 1.1:
            await serve_stream(stream)
            return
        while request := await relay_rig.read_request(stream):
            is_healthy = trio.current_time() - start_s > 2.0
            await stream.send_all(
                reporting_stream.encode_health('s1', is_healthy)
                if is_healthy
                else relay_rig.NOT_RUN_RESPONSE
            )
            assert request.startswith(b'GET /health ')

    rig.dialer.hosts_with_own_health.add('10.0.0.1')
    rig.add_server('model', 1, serve)

    async def end_workers():
        await trio.sleep(1.1)
        rig.end_connections('10.0.0.1')
        await trio.sleep(0.8)
        rig.end_connections('10.0.0.1')

    received = await _call(rig, '/stream/x', end_workers)
    assert relay_rig.encode_event(2) in received
    assert not received.endswith(relay_rig.LAST_CHUNK)


@relay_rig.with_rig
async def test_stream_of_a_worker_that_ended_while_its_caller_read_nothing(
    rig,
):
    """Guards against ends that are read long after the worker ended."""
    rig.add_server('model', 1, _stream_from(1, []))
    caller, connection = rig.connect_with_connection()
    send_part = connection.send_part

    async def send_slowly(part):
        await send_part(part)
        if b'id: 1' in part:
            await trio.sleep(1.2)

    connection.send_part = send_slowly
    await caller.send('/stream/x', *_PROMPT, 'Connection: close')
    await trio.sleep(1.1)
    rig.end_connections('10.0.0.1')
    received = await caller.receive_all()
    assert relay_rig.encode_event(2) in received
    assert relay_rig.encode_event(3) not in received
    assert not received.endswith(relay_rig.LAST_CHUNK)


@relay_rig.with_rig
async def test_stream_of_a_worker_that_ended_goes_on_at_another_server(rig):
    """Guards against ends that count since the server's report says so."""
    rig.add_server('model', 1, _stream_from(1, []))

    async def end_worker():
        await trio.sleep(1.1)
        rig.add_server('model', 2, _stream_from(3, []))
        rig.end_connections('10.0.0.1')

    received = await _call(rig, '/resume/x', end_worker)
    for number in range(1, _EVENT_COUNT + 1):
        assert received.count(relay_rig.encode_event(number)) == 1
    assert received.endswith(relay_rig.LAST_CHUNK)


@relay_rig.with_rig
async def test_stream_outlives_an_idle_connection_of_its_server(rig):
    """Guards against idle timeouts that count as ends of workers."""
    await _play_idle_timeouts(rig, 0.3, '/stream/x')


@pytest.mark.parametrize('path', ['/stream/x', '/resume/x'])
@pytest.mark.parametrize('idle_s', [0.01, 0.05, 0.3, 1.0, 1.5])
def test_stream_of_a_server_that_closes_idle_connections_is_whole(
    idle_s, path
):
    """Guards against idle timeouts that count as ends of workers."""

    async def play(rig):
        await _play_idle_timeouts(rig, idle_s, path)

    relay_rig.with_rig(play)()


async def _play_idle_timeouts(rig, idle_s, path):
    runs = []
    serve_stream = _stream_from(1, runs)

    async def serve(stream):
        if not runs:
            await serve_stream(stream)
            return
        # Only these reads show when the connection was last used.
        raw_stream = stream._stream
        while True:
            with trio.move_on_after(idle_s) as scope:
                request = await relay_rig.read_request(raw_stream)
                if not request:
                    break
                await raw_stream.send_all(
                    reporting_stream.encode_state(request, 1, 's1')
                )
            if scope.cancelled_caught:
                break
        await stream.aclose()

    rig.add_server('model', 1, serve)
    received = await _call(rig, path, trio.sleep_forever)
    assert received.count(b'\nid: ') == _EVENT_COUNT
    assert received.endswith(relay_rig.LAST_CHUNK)
    assert len(runs) == 1
    assert len(rig.dialer.connected_hosts) <= 10


@pytest.mark.parametrize('pause_s', [0.1, 0.3, 0.7])
def test_all_connections_are_held_again_after_a_pause(pause_s):
    """Guards against workers that nothing watches after a short pause."""

    async def play(rig):
        open_count, event_count = 0, 1

        async def serve(stream):
            nonlocal open_count
            open_count += 1
            try:
                if await relay_rig.read_request(stream):
                    await stream.send_all(_HEAD)
                    for number in range(1, event_count + 1):
                        await stream.send_all(relay_rig.encode_event(number))
                        await trio.sleep(1.3)
                    await stream.aclose()
            finally:
                open_count -= 1

        rig.add_server('model', 1, serve)
        await _call(rig, '/stream/x', trio.sleep_forever)
        await trio.sleep(pause_s)
        event_count = 9
        await rig.connect().send('/stream/x', *_PROMPT)
        await trio.sleep(1.5)
        assert open_count == 1 + 3

    relay_rig.with_rig(play)()


@relay_rig.with_rig
async def test_held_connection_ends_with_the_answers(rig):
    """Guards against connections that are held though nothing needs them."""
    open_count = 0
    serve_stream = _stream_from(1, [])

    async def serve(stream):
        nonlocal open_count
        open_count += 1
        try:
            await serve_stream(stream)
        finally:
            open_count -= 1

    rig.add_server('model', 1, serve)
    await _call(rig, '/stream/x', trio.sleep_forever)
    await trio.sleep(1.0)
    assert open_count == 0
