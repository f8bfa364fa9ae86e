"""What another process at a server's address does not prove."""

import pytest
import trio

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
