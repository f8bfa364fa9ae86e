"""What another process at a server's address does not prove."""

import pytest
import trio
from trio import testing

from common import answer_reader
from common import relay_rig

_HOST = '10.0.0.1'
_PROMPT = ('Token-Counts: 100,20', 'Prompt-Prefix: aa:60,bb:40')
_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n'
    b'Content-Type: text/event-stream\r\n\r\n'
)


def _end_without_length(rig, next_started_ms):
    """Return a server whose connection ends, and who then has the address."""

    async def serve(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(_HEAD + relay_rig.encode_event(1))
        rig.dialer.started_ms_by_host[_HOST] = next_started_ms
        await stream.aclose()

    return serve


async def _read_answer(rig, path):
    caller = rig.connect()
    await caller.send(path, *_PROMPT, 'Connection: close')
    (answer,) = answer_reader.read_answers(await caller.receive_all())
    return answer


@pytest.mark.parametrize('path', ['/once/x', '/any/x', '/stream/x'])
@pytest.mark.parametrize('next_started_ms', [2, None])
def test_end_is_not_believed_of_another_process(path, next_started_ms):
    """Guards against streams that look whole when their server is replaced."""

    @relay_rig.with_rig
    async def play(rig):
        service = 'model' if path == '/stream/x' else 'plain'
        rig.add_server(service, 1, _end_without_length(rig, next_started_ms))
        answer = await _read_answer(rig, path)
        assert answer.status == 502 or not answer.is_whole

    play()


@pytest.mark.parametrize('path', ['/once/x', '/any/x', '/stream/x'])
def test_end_without_length_is_believed_of_the_same_process(path):
    @relay_rig.with_rig
    async def play(rig):
        service = 'model' if path == '/stream/x' else 'plain'
        rig.add_server(service, 1, _end_without_length(rig, 1))
        answer = await _read_answer(rig, path)
        assert answer.status == 200
        assert answer.is_whole

    play()


@relay_rig.with_rig
async def test_end_without_length_waits_for_no_silent_server(rig):
    """Guards against ends that are believed of a server that hangs."""
    is_silent = False

    async def serve(stream):
        nonlocal is_silent
        if is_silent:
            await trio.sleep_forever()
        await relay_rig.read_request(stream)
        await stream.send_all(_HEAD + relay_rig.encode_event(1))
        is_silent = True
        await stream.aclose()

    rig.add_server('model', 1, serve)
    started_s = trio.current_time()
    answer = await _read_answer(rig, '/stream/x')
    assert not answer.is_whole
    assert trio.current_time() - started_s < 1.0


def _end_plain(rig, is_replaced):
    """Return a server that names no length and gives no report."""

    async def serve(stream):
        if not await relay_rig.read_request(stream):
            return
        await stream.send_all(_HEAD + b'whole')
        if is_replaced():
            rig.end_connections(_HOST)
        await stream.aclose()

    return serve


@pytest.mark.parametrize('path', ['/once/x', '/any/x'])
@pytest.mark.parametrize('is_replaced', [False, True])
def test_server_without_lengths_is_served_by_a_witness(path, is_replaced):
    """Guards against servers that can never prove the end of an answer."""

    @relay_rig.with_rig
    async def play(rig):
        replaced = False
        rig.add_server('plain', 1, _end_plain(rig, lambda: replaced))
        rig.dialer.started_ms_by_host[_HOST] = None
        for _ in range(5):
            answer = await _read_answer(rig, path)
            await trio.sleep(5.0)
            rig.confirm_configuration(relay_rig.encode_configuration())
        assert (answer.status, answer.body) == (200, b'whole')
        replaced = is_replaced
        answer = await _read_answer(rig, path)
        assert (answer.status == 200) is not is_replaced

    play()


def _reset_reports(rig, count):
    """Reset the next connections, as a server without a free one does."""
    connect = rig.dialer.connect
    left = count

    async def connect_full(host, port):
        nonlocal left
        stream = await connect(host, port)
        if left:
            left -= 1
            await stream.aclose()
            near, far = testing.memory_stream_pair()
            await far.aclose()
            return near
        return stream

    rig.dialer.connect = connect_full


@pytest.mark.parametrize('path', ['/once/x', '/any/x', '/stream/x'])
def test_end_is_believed_of_a_server_that_resets_one_report(path):
    """Guards against whole answers that fail while a server is full."""

    @relay_rig.with_rig
    async def play(rig):
        async def serve(stream):
            if not await relay_rig.read_request(stream):
                return
            await stream.send_all(_HEAD + relay_rig.encode_event(1))
            _reset_reports(rig, 1)
            await stream.aclose()

        service = 'model' if path == '/stream/x' else 'plain'
        rig.add_server(service, 1, serve)
        caller = rig.connect()
        await caller.send(path, *_PROMPT, 'Connection: close')
        (answer,) = answer_reader.read_answers(await caller.receive_all())
        assert answer.status == 200
        assert answer.is_whole

    play()


@pytest.mark.parametrize('path', ['/once/x', '/any/x', '/stream/x'])
@pytest.mark.parametrize('is_replaced_again', [False, True])
def test_end_is_believed_of_an_unlisted_process_that_reported(
    path, is_replaced_again
):
    """Guards against servers that are of no use until a list shows them."""

    @relay_rig.with_rig
    async def play(rig):
        service = 'model' if path == '/stream/x' else 'plain'
        next_ms = 2

        async def serve(stream):
            if not await relay_rig.read_request(stream):
                return
            await stream.send_all(_HEAD + relay_rig.encode_event(1))
            rig.dialer.started_ms_by_host[_HOST] = next_ms
            await stream.aclose()

        rig.add_server(service, 1, serve)
        rig.dialer.started_ms_by_host[_HOST] = 2
        answer = await _read_answer(rig, path)
        assert answer.status == 502 or not answer.is_whole
        await trio.sleep(2.0)
        if is_replaced_again:
            next_ms = 3
        answer = await _read_answer(rig, path)
        is_whole = answer.status == 200 and answer.is_whole
        assert is_whole is not is_replaced_again

    play()


def test_end_is_believed_of_a_server_that_resets_some_reports():
    """Guards against answers that are lost while a server is full."""

    @relay_rig.with_rig
    async def play(rig):
        async def serve(stream):
            if not await relay_rig.read_request(stream):
                return
            await stream.send_all(_HEAD + relay_rig.encode_event(1))
            # The first one is that of the health check.
            _reset_reports(rig, 4)
            await stream.aclose()

        rig.add_server('model', 1, serve)
        answer = await _read_answer(rig, '/stream/x')
        assert answer.status == 200
        assert answer.is_whole

    play()
