"""Heads of answers that end before their blank line."""

import enum
import itertools
import typing

from foxtailrelay_node.internal.relay.tunnels import tunnel_stream
import pytest
import trio
from trio import testing

from common import byte_exact
from common import relay_rig
from common import reporting_stream

_TOKENS = ('Token-Counts: 10,10', 'Prompt-Prefix: a:10')
_WHOLE = b'whole'
_WINDOW = 1 << 20
# Before a repeat, the node asks whether the server has ended.
_CHECK_S = 1.0


class _End(enum.Enum):
    """How the engine's connection ends within the head."""

    FIN = 'the engine closes its connection in order'
    RESET = 'the engine resets its connection'
    HOP_LOST = 'the peer that carries the connection is lost'


class _Path(typing.NamedTuple):
    """A connection to an engine."""

    is_tunnel: bool
    end: _End


_PATHS = (
    _Path(False, _End.FIN),
    _Path(False, _End.RESET),
    _Path(True, _End.FIN),
    _Path(True, _End.RESET),
    _Path(True, _End.HOP_LOST),
)


class _Kind(typing.NamedTuple):
    """A kind of request."""

    path: str
    service: str
    method: str = 'POST'
    may_repeat: bool = False


_KINDS = (
    _Kind('/once/x', 'plain'),
    _Kind('/once/x', 'plain', 'HEAD'),
    _Kind('/any/x', 'plain', may_repeat=True),
    _Kind('/any/x', 'plain', 'HEAD', may_repeat=True),
    _Kind('/stream/x', 'model'),
    _Kind('/resume/x', 'model', may_repeat=True),
)
_INTERIM_ANSWERS = (b'', b'HTTP/1.1 100 Continue\r\n\r\n')


class _Engines:
    """Servers that do what they are told on each connection."""

    def __init__(self, rig, kind, path):
        self._kind, self._path = kind, path
        report = reporting_stream.encode_report(1)
        if path.is_tunnel:
            report = tunnel_stream.HEADER.pack(len(report)) + report
        self._dialer = byte_exact.ByteExactDialer(_WINDOW, report)
        rig.dialer.connect = self._dialer.connect
        if path.is_tunnel:
            rig.links.connect = self._open_tunnel
            rig.links.record_failure = lambda *args, **kwargs: None
        for index in (1, 2):
            rig.add_server(kind.service, index, None)

    async def _open_tunnel(self, server, timeout_s=0.0):
        stream = await self._dialer.connect(server.host, server.port)
        return tunnel_stream.TunnelStream(stream, 'n2')

    @property
    def request_count(self):
        """How many requests have arrived in all."""
        return sum(
            len(byte_exact.split_requests(end.received)[0])
            for end in self._dialer.ends
        )

    def has_used(self, index):
        """Whether a connection carries a request."""
        ends = self._dialer.ends
        return index < len(ends) and bool(ends[index].received)

    def send(self, index, data):
        """Send bytes to the node."""
        if data and self._path.is_tunnel:
            data = tunnel_stream.HEADER.pack(len(data)) + data
        self._dialer.ends[index].send(data)

    async def end(self, index):
        """End a connection after what was sent has been read."""
        await testing.wait_all_tasks_blocked()
        end = self._dialer.ends[index]
        if self._path.end is _End.HOP_LOST:
            end.end()
        elif self._path.is_tunnel:
            length = tunnel_stream.END_OF_STREAM
            if self._path.end is _End.RESET:
                length = tunnel_stream.SERVER_RESET
            end.send(tunnel_stream.HEADER.pack(length))
        elif self._path.end is _End.RESET:
            end.reset()
        else:
            end.end()


def _whole_answer(kind, request_id='r1', first_event=1):
    if kind.service == 'plain':
        answer = relay_rig.success_response(_WHOLE, request_id)
        if kind.method == 'HEAD':
            return answer.removesuffix(_WHOLE)
        return answer
    events = b''.join(
        relay_rig.encode_chunk(relay_rig.encode_event(number))
        for number in range(first_event, 4)
    )
    return relay_rig.stream_head(request_id) + events + relay_rig.LAST_CHUNK


def _head(kind):
    head, separator, _ = _whole_answer(kind).partition(b'\r\n\r\n')
    return head + separator


async def _send(rig, kind, request_id='r1'):
    headers = _TOKENS if kind.service == 'model' else ()
    caller = rig.connect()
    await caller.send(
        kind.path,
        'Connection: close',
        *headers,
        method=kind.method,
        request_id=request_id,
    )
    await testing.wait_all_tasks_blocked()
    return caller


def _play_cut(kind, path, interim, count, is_kept):
    """Cut a head behind a number of bytes; check what the caller gets."""

    @relay_rig.with_rig
    async def play(rig):
        engines = _Engines(rig, kind, path)
        first_count = 0
        if is_kept:
            caller = await _send(rig, kind, 'r0')
            engines.send(0, _whole_answer(kind, 'r0'))
            await caller.receive_all()
            first_count = 1
        caller = await _send(rig, kind)
        cut_index = 0 if engines.request_count > first_count else 1
        assert engines.request_count == first_count + 1
        engines.send(cut_index, interim + _head(kind)[:count])
        await engines.end(cut_index)
        await trio.sleep(_CHECK_S)
        repeat_count = engines.request_count - first_count - 1
        if kind.may_repeat:
            assert repeat_count == 1
            engines.send(cut_index + 1, _whole_answer(kind))
        else:
            assert repeat_count == 0
        data = await caller.receive_all()
        status = relay_rig.status_code(data)
        if not kind.may_repeat:
            assert status == 502
            return
        assert status == 200
        assert data.endswith(
            b'\r\n\r\n'
            if kind.method == 'HEAD'
            else _WHOLE
            if kind.service == 'plain'
            else relay_rig.LAST_CHUNK
        )

    play()


@pytest.mark.parametrize('path', _PATHS, ids=str)
@pytest.mark.parametrize('kind', _KINDS, ids=str)
def test_head_that_is_cut_at_any_byte_is_no_answer(kind, path):
    """Guards against a success with an empty or short body (MIXED)."""
    for interim in _INTERIM_ANSWERS:
        for count in range(len(_head(kind))):
            _play_cut(kind, path, interim, count, is_kept=False)


@pytest.mark.parametrize('path', _PATHS, ids=str)
def test_head_that_is_cut_on_a_kept_connection_is_no_answer(path):
    """Guards against the end of a kept connection within a head."""
    for kind in _KINDS:
        if kind.may_repeat:
            for count in range(len(_head(kind))):
                _play_cut(kind, path, b'', count, is_kept=True)


@pytest.mark.parametrize('path', _PATHS, ids=str)
def test_head_that_is_cut_in_a_resumed_stream_does_not_end_it(path):
    """Guards against a stream that lacks events and looks whole (ORDER)."""
    kind = _KINDS[-1]
    for interim, count in itertools.product(
        _INTERIM_ANSWERS, range(len(_head(kind)))
    ):

        @relay_rig.with_rig
        async def play(rig, interim=interim, count=count):
            engines = _Engines(rig, kind, path)
            caller = await _send(rig, kind)
            event = relay_rig.encode_chunk(relay_rig.encode_event(1))
            engines.send(0, relay_rig.stream_head() + event)
            await engines.end(0)
            await trio.sleep(_CHECK_S)
            assert engines.has_used(1)
            engines.send(1, interim + _head(kind)[:count])
            await engines.end(1)
            data = await caller.receive_all()
            assert relay_rig.encode_event(1) in data
            assert not data.endswith(relay_rig.LAST_CHUNK)
            assert b'HTTP/1.1' not in data[10:]

        play()
