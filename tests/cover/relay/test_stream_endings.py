"""All ways in which a stream can end, break and go on.

docs/design/stream-endings.md has the table that these cases come from.
"""

import json
import typing

import pytest
import trio

from common import answer_reader
from common import relay_rig
from common import reporting_stream
from common import virtual_time

_CHUNKED = 'Transfer-Encoding: chunked\r\n'
_END = relay_rig.LAST_CHUNK
_PROMPT = ('Token-Counts: 100,20', 'Prompt-Prefix: aa:60,bb:40')


class Reset(typing.NamedTuple):
    """The engine resets its connection."""


class Ended(typing.NamedTuple):
    """The engine's process ends; its kernel closes the connection."""


class Sleep(typing.NamedTuple):
    """The engine pauses."""

    seconds: float


def _head(status='200 OK', framing=_CHUNKED, extra=''):
    return (
        f'HTTP/1.1 {status}\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n'
        f'Content-Type: text/event-stream\r\n{framing}{extra}\r\n'
    ).encode()


def _events(first, last):
    return b''.join(map(relay_rig.encode_event, range(first, last + 1)))


def _chunk(data):
    return relay_rig.encode_chunk(data)


def _chunks(first, last):
    return _chunk(_events(first, last))


_ERROR = (
    b'HTTP/1.1 500 Oops\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n'
    b'Content-Length: 4\r\n\r\noops'
)
_BROKEN_AT_2 = [_head(), _chunks(1, 2), Reset()]


class _ScriptedStream(trio.abc.Stream):
    """The node's end of a connection to an engine that plays a script.

    The script begins with the first request that asks for no state.
    """

    def __init__(self, take_script, end_process, server_id):
        self._server_id = server_id
        self._take_script = take_script
        self._script = None
        self._reports = []
        self._end_process = end_process

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        if reporting_stream.asks_for_state(data):
            self._reports.append(
                reporting_stream.encode_state(data, 1, self._server_id)
            )
        elif self._script is None:
            self._script = self._take_script()

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        await trio.lowlevel.checkpoint()
        if self._reports:
            return self._reports.pop()
        while self._script:
            step = self._script.pop(0)
            match step:
                case Sleep(seconds):
                    await trio.sleep(seconds)
                case Reset():
                    raise trio.BrokenResourceError('reset')
                case Ended():
                    self._end_process()
                    return b''
                case _:
                    return step
        return b''

    async def aclose(self):
        await trio.lowlevel.checkpoint()


def _play(
    path,
    *scripts,
    headers=(),
    max_attempts=2,
    prompt=_PROMPT,
    method='POST',
    service='model',
):
    """Return the answers that a caller gets from engines with scripts."""
    received = []

    async def main():
        async with trio.open_nursery() as nursery:
            rig = relay_rig.RelayRig(nursery)
            remaining = list(scripts)
            connect = rig.dialer.connect

            def take_script():
                return list(remaining.pop(0)) if remaining else []

            async def connect_scripted(host, port):
                if host not in rig.dialer.backend_by_host:
                    return await connect(host, port)
                await trio.lowlevel.checkpoint()

                def end_process():
                    del rig.dialer.backend_by_host[host]

                return _ScriptedStream(
                    take_script, end_process, rig.dialer.id_by_host[host]
                )

            rig.dialer.connect = connect_scripted
            for index in range(1, len(scripts) + 1):
                rig.add_server(service, index, None)
            if headers or max_attempts != 2:
                # A caller's resume needs a history of the servers' versions.
                await trio.sleep(10.0)
                content = relay_rig.decoded_configuration() | {'version': 8}
                for route in content['routes']:
                    if route['name'] == 'resume':
                        route['max-attempts'] = max_attempts
                rig.confirm_configuration(json.dumps(content).encode())
            caller = rig.connect()
            headers_sent = (*prompt, *headers, 'Connection: close')
            await caller.send(path, *headers_sent, method=method)
            received.append(await caller.receive_all())
            nursery.cancel_scope.cancel()

    virtual_time.run(main)
    return answer_reader.read_answers(received[0])


_WHOLE_ENDINGS = {
    'last chunk': [_head(), _chunks(1, 3), _END],
    'last chunk with the last event': [_head(), _chunks(1, 3) + _END],
    'last chunk before the deadline': [
        _head(),
        _chunks(1, 3),
        Sleep(3.94),
        _END,
    ],
    'length': [
        _head(framing=f'Content-Length: {len(_events(1, 3))}\r\n'),
        _events(1, 3),
    ],
    'length, at the deadline': [
        _head(framing=f'Content-Length: {len(_events(1, 3))}\r\n'),
        _events(1, 2),
        Sleep(3.955),
        _events(3, 3),
    ],
    'end of a connection by a running engine': [
        _head(framing=''),
        _events(1, 3),
    ],
}
_BROKEN_ENDINGS = {
    'reset between events': [_head(), _chunks(1, 2), Reset()],
    'reset within an event': [_head(), _chunk(_events(1, 2) + b'id'), Reset()],
    'closed between chunks': [_head(), _chunks(1, 2)],
    'closed within a chunk': [_head(), _chunks(1, 2)[:-2]],
    'closed within the last chunk': [_head(), _chunks(1, 2), b'0\r\n'],
    'ended within an event': [
        _head(),
        _chunk(_events(1, 2) + b'id: 3\ndata: x3\n'),
        _END,
    ],
    'chunk without a size': [_head(), _chunks(1, 2), b'zz\r\n'],
    'fewer bytes than announced': [
        _head(framing='Content-Length: 900\r\n'),
        _events(1, 2),
    ],
    'no length, reset': [_head(framing=''), _events(1, 2), Reset()],
    'no length, within an event': [
        _head(framing=''),
        _events(1, 2) + b'id: 3\ndata: x',
    ],
    'no length, end of the process': [
        _head(framing=''),
        _events(1, 2),
        Ended(),
    ],
    'no length, at the deadline': [
        _head(framing=''),
        _events(1, 2),
        Sleep(3.955),
    ],
    'last chunk at the deadline': [
        _head(),
        _chunks(1, 2),
        Sleep(3.955),
        _END,
    ],
    'event repeated': [_head(), _chunks(1, 2), _chunks(2, 3), _END],
    'event skipped': [_head(), _chunks(1, 2), _chunks(4, 5), _END],
    'number goes back': [_head(), _chunks(1, 2), _chunks(1, 3), _END],
    'id of 5000 digits': [
        _head(),
        _chunks(1, 2),
        _chunk(b'id: ' + b'9' * 5000 + b'\ndata: x\n\n'),
        _END,
    ],
    'head of another answer': [_head(), _chunks(1, 2), _ERROR],
}


@pytest.mark.parametrize('path', ['/stream/x', '/resume/x'])
@pytest.mark.parametrize('ending', _WHOLE_ENDINGS)
def test_whole_stream_is_passed_on_whole(path, ending):
    (answer,) = _play(path, _WHOLE_ENDINGS[ending])
    assert answer.is_whole
    assert answer.status == 200
    assert answer.event_ids == [1, 2, 3]


def _plain(framing=_CHUNKED, status='200 OK'):
    return _head(status, framing).replace(b'event-stream', b'plain')


@pytest.mark.parametrize('length', [4, 5_000_000])
@pytest.mark.parametrize('pause_s', [3.94, 3.955])
def test_plain_answer_that_ends_at_the_deadline_is_not_whole(length, pause_s):
    """Guards against a part of an answer that its server gave up."""
    part = _chunk(b'x' * length)
    script = [_plain(), part, Sleep(pause_s), _END]
    (answer,) = _play('/once/x', script, service='plain')
    is_believed = pause_s == 3.94
    assert (answer.status == 200 and answer.is_whole) is is_believed


def test_failure_in_chunks_at_the_deadline_is_passed_on():
    script = [Sleep(3.955), _plain(status='504 Late'), _chunk(b'late'), _END]
    (answer,) = _play('/once/x', script, service='plain')
    assert (answer.status, answer.body) == (504, b'late')


@pytest.mark.parametrize('blank', [b'\n', b'\r\n', b'\n\n'])
def test_stream_may_end_with_blank_lines(blank):
    script = [_head(), _chunks(1, 3), _chunk(blank), _END]
    (answer,) = _play('/stream/x', script)
    assert answer.is_whole
    assert answer.body == _events(1, 3) + blank


@pytest.mark.parametrize('ending', _BROKEN_ENDINGS)
def test_stream_that_breaks_off_does_not_look_whole(ending):
    (answer,) = _play('/stream/x', _BROKEN_ENDINGS[ending])
    assert not answer.is_whole
    assert answer.event_ids == [1, 2]


@pytest.mark.parametrize('ending', _BROKEN_ENDINGS)
def test_stream_that_breaks_off_is_resumed_without_gap(ending):
    if ending.endswith('at the deadline'):
        rest = [_head(), Sleep(1.0), _chunks(3, 4), _END]
        (answer,) = _play('/resume/x', _BROKEN_ENDINGS[ending], rest)
        assert not answer.is_whole
        assert answer.event_ids == [1, 2]
        return
    rest = [_head(), _chunks(3, 4), _END]
    (answer,) = _play('/resume/x', _BROKEN_ENDINGS[ending], rest)
    assert answer.is_whole
    assert answer.event_ids == [1, 2, 3, 4]


_CONTINUATIONS = {
    'error': [_ERROR],
    'error with events': [_head('500 Oops'), _chunks(3, 4), _END],
    'refusal': [relay_rig.NOT_RUN_RESPONSE],
    'not found': [_ERROR.replace(b'500 Oops', b'404 Gone')],
    'another instance': [_ERROR.replace(b'500 Oops', b'421 Other')],
    'answer of another request': [
        _head().replace(b'r1', b'r9'),
        _chunks(3, 4),
        _END,
    ],
    'no answer': [],
    'empty stream': [_head(), _END],
    'empty answer': [_head(framing='Content-Length: 0\r\n')],
    'empty, no length': [_head(framing='')],
    'no content': [_head('204 Empty', framing='')],
    'partial content': [_head('206 Part'), _chunks(3, 4), _END],
    'another type': [
        _head(framing=_CHUNKED).replace(b'event-stream', b'plain'),
        _chunks(3, 4),
        _END,
    ],
    'text': [_head(), _chunk(b'fine'), _END],
    'encoded': [
        _head(extra='Content-Encoding: gzip\r\n'),
        _chunks(3, 4),
        _END,
    ],
    'begins anew': [_head(), _chunks(1, 4), _END],
    'repeats an event': [_head(), _chunks(2, 4), _END],
    'skips an event': [_head(), _chunks(4, 5), _END],
    'event without an id': [_head(), _chunk(b'data: x3\n\n'), _END],
    'event with a text as its id': [
        _head(),
        _chunk(b'id: a\ndata: x3\n\n'),
        _END,
    ],
    'no length, end of the process': [_head(framing=''), Ended()],
    'unsigned': [
        _head().replace(b'Response-Seal: s\r\n', b''),
        _chunks(3, 4),
        _END,
    ],
}


@pytest.mark.parametrize('continuation', _CONTINUATIONS)
def test_answer_that_does_not_continue_a_stream_is_not_joined(continuation):
    (answer,) = _play('/resume/x', _BROKEN_AT_2, _CONTINUATIONS[continuation])
    assert not answer.is_whole
    assert answer.event_ids == [1, 2]


@pytest.mark.parametrize(
    'continuation',
    [
        'begins anew',
        'repeats an event',
        'skips an event',
        'event without an id',
        'event with a text as its id',
        'unsigned',
        'encoded',
    ],
)
def test_stream_that_its_caller_takes_up_goes_on_at_the_next_event(
    continuation,
):
    (answer,) = _play(
        '/stream/x',
        _CONTINUATIONS[continuation],
        headers=('Last-Event-Id: 2', 'Resumes: r0'),
    )
    assert answer.status == 502


_EMPTY = [_head(), _END]
_TAKEN_UP = ('Last-Event-Id: 2', 'Resumes: r0')


def test_empty_end_of_a_stream_that_is_taken_up_is_confirmed_by_another():
    (answer,) = _play('/resume/x', _EMPTY, _EMPTY, headers=_TAKEN_UP)
    assert answer.is_whole
    assert (answer.status, answer.body) == (200, b'')


_LATE_START = [_head(), _chunks(3, 4), _END]


def test_stream_that_lacks_its_first_events_is_not_passed_on():
    """Guards against a stream from its third event on that looks whole."""
    (answer,) = _play('/stream/x', _LATE_START)
    assert answer.status == 502


def test_stream_that_lacks_its_first_events_is_begun_by_another_engine():
    whole = [_head(), _chunks(1, 4), _END]
    (answer,) = _play('/resume/x', _LATE_START, whole)
    assert answer.is_whole
    assert answer.event_ids == [1, 2, 3, 4]


@pytest.mark.parametrize('second', [_LATE_START, _EMPTY])
def test_stream_that_lacks_its_first_events_fails_without_another(second):
    (answer,) = _play('/resume/x', _LATE_START, second)
    assert answer.status == 502


def test_stream_may_begin_with_event_0():
    (answer,) = _play('/stream/x', [_head(), _chunks(0, 2), _END])
    assert answer.is_whole
    assert answer.event_ids == [0, 1, 2]


@pytest.mark.parametrize('first', [1, 2, 4])
def test_stream_that_is_taken_up_begins_with_the_next_event(first):
    rest = [_head(), _chunks(first, 5), _END]
    sound = [_head(), _chunks(3, 5), _END]
    (answer,) = _play('/resume/x', rest, sound, headers=_TAKEN_UP)
    assert answer.is_whole
    assert answer.event_ids == [3, 4, 5]
    (answer,) = _play('/resume/x', rest, rest, headers=_TAKEN_UP)
    assert answer.status == 502


def test_new_stream_without_an_event_is_not_whole():
    """Guards against a stream that looks whole before its first event."""
    (answer,) = _play('/stream/x', _EMPTY)
    assert answer.status == 502


@pytest.mark.parametrize('framing', [_CHUNKED, 'Content-Length: 0\r\n'])
def test_new_stream_without_an_event_is_begun_by_another_server(framing):
    empty = [_head(framing=framing), _END if framing == _CHUNKED else b'']
    whole = [_head(), _chunks(1, 3), _END]
    (answer,) = _play('/resume/x', empty, whole)
    assert answer.is_whole
    assert answer.event_ids == [1, 2, 3]


@pytest.mark.parametrize('path', ['/stream/x', '/resume/x'])
def test_stream_of_no_answer_tokens_is_whole_without_an_event(path):
    prompt = ('Token-Counts: 100,0', _PROMPT[1])
    (answer,) = _play(path, _EMPTY, prompt=prompt)
    assert answer.is_whole
    assert (answer.status, answer.body) == (200, b'')


def test_answer_to_head_needs_no_event():
    (answer,) = _play('/stream/x', [_head()], method='HEAD')
    assert answer.status == 200


def test_new_stream_without_an_event_is_believed_from_two_servers():
    (answer,) = _play('/resume/x', _EMPTY, _EMPTY)
    assert answer.is_whole
    assert (answer.status, answer.body) == (200, b'')


@pytest.mark.parametrize(
    ('first', 'headers'), [(1, ()), (3, ('Last-Event-Id: 2', 'Resumes: r0'))]
)
def test_empty_answer_that_events_refuted_confirms_no_end(first, headers):
    """Guards against an end that one server alone has shown."""
    broken = [_head(), _chunks(first, first + 1), Reset()]
    scripts = [_EMPTY, broken, _EMPTY]
    (answer,) = _play('/resume/x', *scripts, headers=headers, max_attempts=3)
    assert not answer.is_whole
    assert answer.event_ids == [first, first + 1]
    (answer,) = _play(
        '/resume/x', *scripts, _EMPTY, headers=headers, max_attempts=4
    )
    assert answer.is_whole


def test_events_of_another_server_go_before_an_empty_end():
    rest = [_head(), _chunks(3, 4), _END]
    (answer,) = _play('/resume/x', _EMPTY, rest, headers=_TAKEN_UP)
    assert answer.is_whole
    assert answer.event_ids == [3, 4]


@pytest.mark.parametrize(
    'continuation', ['skips an event', 'event without an id']
)
def test_empty_end_is_not_believed_after_a_later_event(continuation):
    """Guards against an end that another server has just contradicted."""
    later = _CONTINUATIONS[continuation]
    (answer,) = _play('/resume/x', later, _EMPTY, headers=_TAKEN_UP)
    assert answer.status == 502


def test_empty_end_is_believed_where_no_other_server_may_be_asked():
    (answer,) = _play('/stream/x', _EMPTY, headers=_TAKEN_UP)
    assert answer.is_whole
    assert (answer.status, answer.body) == (200, b'')


@pytest.mark.parametrize(
    'event', [b'data: y\n\n', b'id: a\ndata: y\n\n', b'data: y\n\nid: 3\n']
)
def test_stream_at_an_uncertain_position_is_not_resumed(event):
    first = [_head(), _chunk(_events(1, 2) + event), Reset()]
    (answer,) = _play('/resume/x', first, [_head(), _chunks(3, 4), _END])
    assert not answer.is_whole
    assert answer.body == _events(1, 2) + event[: event.find(b'\n\n') + 2]


def test_stream_without_ids_is_not_resumed():
    first = [_head(), _chunk(b'data: x1\n\n'), Reset()]
    again = [_head(), _chunk(b'data: x1\n\ndata: x2\n\n'), _END]
    (answer,) = _play('/resume/x', first, again)
    assert not answer.is_whole
    assert answer.body == b'data: x1\n\n'


def test_stream_with_a_comment_is_resumed():
    first = [_head(), _chunk(_events(1, 2) + b': alive\n\n'), Reset()]
    (answer,) = _play('/resume/x', first, [_head(), _chunks(3, 4), _END])
    assert answer.is_whole
    assert answer.body == _events(1, 2) + b': alive\n\n' + _events(3, 4)


_WITHOUT_DATA = [b': alive\n\n', b'weights: 3\n\n']


@pytest.mark.parametrize('block', _WITHOUT_DATA)
@pytest.mark.parametrize('framing', [_CHUNKED, ''])
def test_comment_is_no_event_that_goes_on_with_a_stream(block, framing):
    """Guards against an empty answer that ends a broken stream."""
    data = _chunk(block) + _END if framing else block
    empty = [_head(framing=framing), data]
    (answer,) = _play('/resume/x', _BROKEN_AT_2, empty)
    assert not answer.is_whole
    assert answer.body == _events(1, 2) + block


@pytest.mark.parametrize('block', _WITHOUT_DATA)
def test_new_stream_with_a_comment_only_is_begun_by_another_engine(block):
    empty = [_head(), _chunk(block), _END]
    (answer,) = _play('/resume/x', empty, [_head(), _chunks(1, 3), _END])
    assert answer.is_whole
    assert answer.body == block + _events(1, 3)
    (answer,) = _play('/stream/x', empty)
    assert not answer.is_whole


def test_stream_without_an_event_is_begun_by_another_engine():
    first = [_head(), Reset()]
    (answer,) = _play('/resume/x', first, [_head(), _chunks(1, 2), _END])
    assert answer.is_whole
    assert answer.event_ids == [1, 2]
