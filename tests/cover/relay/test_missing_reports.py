"""Servers that give no reports, and those that only seem to."""

from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay.backends import missing_reports
import pytest
import trio
from trio import testing

from common import relay_rig
from common import reporting_stream

_KEY = ('s1', 1)
_TOKENS = 'Token-Counts: 100,20'
_SHORT = 'Deadline-Ms: 200'


def _miss(reports, *asked_at_s, has_answered=False):
    for start_s in asked_at_s:
        reports.record_miss(_KEY, start_s, start_s + 0.25, has_answered)


def test_instance_that_never_reported_is_missed_after_three_requests():
    reports = missing_reports.MissingReports()
    _miss(reports, 0.0, 0.0)
    assert not reports.are_missing(_KEY)
    _miss(reports, 0.0)
    assert reports.are_missing(_KEY)
    assert reports.is_unanswered(_KEY)


def test_pause_of_a_server_that_reports_is_no_missing_report():
    """Guards against streams that are not resumed after one short pause."""
    reports = missing_reports.MissingReports()
    reports.record_report(_KEY)
    _miss(reports, 1.0, 1.01, 1.02, 1.2)
    assert not reports.are_missing(_KEY)
    _miss(reports, 2.0, 3.0)
    assert reports.are_missing(_KEY)


def test_one_report_undoes_what_was_missed():
    reports = missing_reports.MissingReports()
    _miss(reports, 0.0, 1.0, 2.0, 3.0)
    reports.record_report(_KEY)
    assert not reports.are_missing(_KEY)
    _miss(reports, 4.0, 5.0)
    assert not reports.are_missing(_KEY)


def test_answers_that_end_are_answers():
    reports = missing_reports.MissingReports()
    _miss(reports, 0.0, 1.0, 2.0)
    _miss(reports, 3.0, has_answered=True)
    assert reports.are_missing(_KEY)
    assert not reports.is_unanswered(_KEY)


@relay_rig.with_rig
async def test_only_servers_in_use_are_asked_again_ever_more_seldom(rig):
    reports = missing_reports.MissingReports()
    rig.add_server('model', 1, None)
    (server,) = rig.servers.usable('model')
    key = server.instance_key
    for _ in range(3):
        reports.record_miss(key, 0.0, 0.0, has_answered=False)
    assert reports.take_due(100.0, 8) == []
    now_s, times_s = 0.0, []
    while now_s < 60.0:
        reports.request_check(server)
        if reports.take_due(now_s, 8):
            times_s.append(now_s)
            reports.record_miss(key, now_s, now_s, has_answered=False)
        now_s += 0.5
    assert times_s[:5] == [1.0, 3.0, 7.0, 15.0, 25.0]


class _Server:
    """Answers streams, and requests for a report with a function."""

    def __init__(self, rig, answer_report):
        self.answer_report = answer_report
        self.report_count = 0
        self._rig = rig
        rig.add_server('model', 1, None)
        rig.dialer.connect = self._connect

    async def _connect(self, host, port):
        near, far = testing.memory_stream_pair()
        self._rig.nursery.start_soon(self._serve, far)
        return near

    async def _serve(self, stream):
        try:
            while request := await relay_rig.read_request(stream):
                if request.startswith(b'GET /-/report '):
                    self.report_count += 1
                    await self.answer_report(stream)
                    continue
                request_id = (
                    request.lower().split(b'request-id: ')[1].split()[0]
                )
                await stream.send_all(
                    relay_rig.stream_head(request_id.decode())
                    + relay_rig.encode_chunk(relay_rig.encode_event(1))
                    + relay_rig.LAST_CHUNK
                )
        except trio.BrokenResourceError:
            pass


async def _stay_silent(stream):
    await trio.sleep_forever()


async def _report(stream):
    await stream.send_all(reporting_stream.encode_report(1))


async def _stream(rig, number):
    """Return the status of a stream and the time that it took."""
    started_s = trio.current_time()
    caller = rig.connect()
    await caller.send('/resume/x', _TOKENS, _SHORT, request_id=f'r{number}')
    answer = await caller.receive()
    return relay_rig.status_code(answer), trio.current_time() - started_s


@relay_rig.with_rig
async def test_streams_begin_at_once_at_a_silent_server(rig):
    """Guards against a wait for a report before each stream."""
    server = _Server(rig, _stay_silent)
    for number in range(3):
        assert (await _stream(rig, number))[0] == 200
    for number in range(3, 9):
        status, took_s = await _stream(rig, number)
        assert status == 200
        assert took_s < 0.01
    assert server.report_count == 3


@relay_rig.with_rig
async def test_server_that_reports_again_is_asked_again(rig):
    """Guards against streams that are never resumed after lost reports."""
    server = _Server(rig, _stay_silent)
    for number in range(4):
        await _stream(rig, number)
    server.answer_report = _report
    key = rig.servers.usable('model')[0].instance_key
    assert rig.prover.missing.are_missing(key)
    await trio.sleep(2.5)
    assert not rig.prover.missing.are_missing(key)
    assert server.report_count == 4


def _chunks(size):
    async def send(stream):
        await stream.send_all(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        while True:
            await stream.send_all(
                relay_rig.encode_chunk(b' ' * size) * (4096 // size)
            )

    return send


def _long_body(length):
    async def send(stream):
        await stream.send_all(b'HTTP/1.1 200 OK\r\n%s\r\n' % length)
        while True:
            await stream.send_all(b' ' * 65536)

    return send


async def _send_head(stream):
    await stream.send_all(b'HTTP/1.1 200 OK\r\n')
    while True:
        await stream.send_all(b'A: %s\r\n' % (b'a' * 4096))


send_endlessly = _long_body(b'')


@pytest.mark.parametrize(
    'send',
    [
        _chunks(1),
        _chunks(4096),
        send_endlessly,
        _long_body(b'Content-Length: 99999999\r\n'),
        _send_head,
    ],
    ids=['one byte chunks', 'chunks', 'no length', 'length', 'head'],
)
def test_endless_report_is_none_and_holds_no_memory(send):
    """Guards against nodes that run out of memory for a faulty server."""

    @relay_rig.with_rig
    async def play(rig):
        server = _Server(rig, send)
        platform = purposes.Purpose.PLATFORM
        for number in range(5):
            status, took_s = await _stream(rig, number)
            assert status == 200
            assert took_s < 0.05
        assert server.report_count == 3
        assert rig.memory.held_bytes(platform) == 0
        assert rig.memory.denied_count(platform) == 0

    play()


@relay_rig.with_rig
async def test_report_without_room_is_none(rig):
    """Guards against reports that are read beyond the memory budget."""
    server = _Server(rig, _report)
    platform = purposes.Purpose.PLATFORM
    other = [rig.memory.open_lease(platform, f'm{n}') for n in range(40)]
    for lease in other:
        lease.try_hold(rig.memory.available_bytes(platform, 'new'))
    assert (await _stream(rig, 1))[0] == 200
    assert server.report_count == 1
    assert rig.memory.denied_count(platform) == 1
    key = rig.servers.usable('model')[0].instance_key
    assert not rig.prover.missing.are_missing(key)
