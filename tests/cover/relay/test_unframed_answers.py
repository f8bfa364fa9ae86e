"""Answers that end with their connection, and bytes that never end."""

import pytest
import trio

from common import relay_rig

_PLAIN_HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n\r\n'
_STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n'
    b'Content-Type: text/event-stream\r\n\r\n'
)
_PROMPT = ('Token-Counts: 100,20', 'Prompt-Prefix: aa:60,bb:40')
# Far more than the relay buffers of one answer.
_ENDLESS_BYTES = 64 << 20


def _close_after(*parts):
    async def serve(stream):
        await relay_rig.read_request(stream)
        for part in parts:
            await stream.send_all(part)
            await trio.sleep(0.01)
        await stream.aclose()

    return serve


class _ResetStream(trio.abc.Stream):
    """A stream that is reset after some bytes."""

    def __init__(self, data):
        self._data = data

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        await trio.lowlevel.checkpoint()
        if not self._data:
            raise trio.BrokenResourceError('reset')
        data, self._data = self._data, b''
        return data

    async def aclose(self):
        await trio.lowlevel.checkpoint()


async def _send(rig, path, *headers, method='POST'):
    caller = rig.connect()
    await caller.send(path, *headers, method=method)
    return await caller.receive()


@relay_rig.with_rig
async def test_answer_that_ends_with_its_connection_is_served_whole(rig):
    rig.add_server('plain', 1, _close_after(_PLAIN_HEAD, b'fi', b'ne'))
    answer = await _send(rig, '/once/x')
    assert relay_rig.status_code(answer) == 200
    assert b'content-length: 4' in answer.lower()
    assert answer.endswith(b'fine')


@relay_rig.with_rig
async def test_answer_that_is_reset_on_the_way_is_not_complete(rig):
    async def connect(host, port):
        await trio.lowlevel.checkpoint()
        return _ResetStream(_PLAIN_HEAD + b'fi')

    rig.add_server('plain', 1, None)
    rig.dialer.connect = connect
    assert relay_rig.status_code(await _send(rig, '/once/x')) == 502


@relay_rig.with_rig
async def test_stream_that_ends_with_its_connection_is_served_whole(rig):
    events = [relay_rig.encode_event(number) for number in (1, 2)]
    rig.add_server('model', 1, _close_after(_STREAM_HEAD, *events))
    answer = await _send(rig, '/stream/x', *_PROMPT)
    assert relay_rig.status_code(answer) == 200
    assert b'x2' in answer
    assert answer.endswith(relay_rig.LAST_CHUNK)


@relay_rig.with_rig
async def test_stream_that_ends_inside_an_event_does_not_look_complete(rig):
    rig.add_server(
        'model',
        1,
        _close_after(_STREAM_HEAD, relay_rig.encode_event(1), b'id: 2\nda'),
    )
    answer = await _send(rig, '/stream/x', *_PROMPT)
    assert b'x1' in answer
    assert b'id: 2' not in answer
    assert answer.endswith(b'<closed>')


@relay_rig.with_rig
async def test_stream_that_ends_without_an_event_is_a_failure(rig):
    rig.add_server('model', 1, _close_after(_STREAM_HEAD))
    answer = await _send(rig, '/stream/x', *_PROMPT)
    assert relay_rig.status_code(answer) == 502


@relay_rig.with_rig
async def test_stream_that_ends_inside_an_event_is_resumed_elsewhere(rig):
    rig.add_server(
        'model',
        1,
        _close_after(_STREAM_HEAD, relay_rig.encode_event(1), b'id: 2\nda'),
    )
    caller = rig.connect()
    await caller.send('/resume/x', *_PROMPT)
    await trio.sleep(0.02)
    rig.add_server(
        'model', 2, _close_after(_STREAM_HEAD, relay_rig.encode_event(2))
    )
    answer = await caller.receive()
    assert [answer.count(b'data: x%d' % n) for n in (1, 2)] == [1, 1]
    assert answer.endswith(relay_rig.LAST_CHUNK)


def _endless(head, part, sent):
    """Return a backend that sends until its connection is closed."""

    async def serve(stream):
        await relay_rig.read_request(stream)
        try:
            await stream.send_all(head)
            while sum(sent) < _ENDLESS_BYTES:
                await stream.send_all(part)
                sent.append(len(part))
                await trio.lowlevel.checkpoint()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    return serve


_ENDLESS_ANSWERS = {
    'a line': (b'HTTP/1.1 200 OK\r\nX: ', b'x' * 4096),
    'header lines': (b'HTTP/1.1 200 OK\r\n', b'X: y\r\n' * 512),
    'no answer at all': (b'', b'\x00' * 4096),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 100),
    'a body': (_PLAIN_HEAD, b'x' * 65536),
    'an event': (_STREAM_HEAD, b'x' * 65536),
    'trailers': (
        relay_rig.stream_head() + b'0\r\n',
        b'X: y\r\n' * 512,
    ),
}


@pytest.mark.parametrize('name', _ENDLESS_ANSWERS)
@pytest.mark.parametrize('path', ['/once/x', '/stream/x'])
def test_bytes_without_end_are_cut_off_soon(name, path):
    """Guards against an answer that fills the memory until the deadline."""
    head, part = _ENDLESS_ANSWERS[name]

    @relay_rig.with_rig
    async def check(rig):
        sent = []
        service = 'model' if path.startswith('/stream') else 'plain'
        rig.add_server(service, 1, _endless(head, part, sent))
        start_s = trio.current_time()
        answer = await _send(rig, path, *_PROMPT)
        assert relay_rig.status_code(answer) == 502
        assert sum(sent) < _ENDLESS_BYTES
        assert trio.current_time() - start_s < 1.0

    check()


@relay_rig.with_rig
async def test_repeatable_request_goes_on_after_bytes_without_end(rig):
    rig.add_server('plain', 1, _endless(b'', b'\x00' * 4096, []))
    caller = rig.connect()
    await caller.send('/any/x', method='GET')
    rig.add_server(
        'plain', 2, relay_rig.scripted_backend(relay_rig.success_response())
    )
    assert relay_rig.status_code(await caller.receive()) == 200
