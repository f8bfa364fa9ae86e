"""Servers that are leaving or ask for a pause get no requests from a node."""

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.backends import departure_notices
from foxtailrelay_node.internal.relay.backends import quiet_periods
from foxtailrelay_platform import header_format
from foxtailrelay_platform import server_format
import pytest
import trio

from common import fake_clocks
from common import relay_rig
from cover.relay import test_gossip

_LEAVING = 'Server-Leaving: 1\r\n'


def _server(index=1, **changes):
    value = relay_rig.encode_server_entry('plain', index, **changes)
    return server_format.ServerFormat().decode_server(f's{index}', value)


def _refusal(retry_after, request_id='r1'):
    return (
        f'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: {request_id}\r\n'
        f'Retry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


def _repeat(answer, requests):
    return relay_rig.scripted_backend(*[answer] * 20, requests=requests)


async def _send(rig, path='/any/x', method='GET'):
    caller = rig.connect()
    await caller.send(path, method=method)
    return await caller.receive()


@relay_rig.with_rig
async def test_no_request_follows_an_answer_that_announces_departure(rig):
    """Guards against requests to a server that its entry lists as ready.

    The list lags behind the answer, or was restored to an older copy.
    """
    leaving, staying = [], []
    rig.add_server(
        'plain',
        1,
        _repeat(relay_rig.success_response(extra=_LEAVING), leaving),
    )
    while not leaving:
        assert relay_rig.status_code(await _send(rig)) == 200
    rig.add_server('plain', 2, _repeat(relay_rig.success_response(), staying))
    for _ in range(10):
        # The entry is written again and still says that the server is ready.
        rig.add_server('plain', 1, rig.dialer.backend_by_host['10.0.0.1'])
        assert relay_rig.status_code(await _send(rig)) == 200
    assert len(leaving) == 1
    assert len(staying) == 10


@relay_rig.with_rig
async def test_the_announcement_is_not_forwarded_to_callers(rig):
    """Guards against callers that take it for an announcement of the node."""
    rig.add_server(
        'plain',
        1,
        relay_rig.scripted_backend(relay_rig.success_response(extra=_LEAVING)),
    )
    assert b'server-leaving' not in (await _send(rig)).lower()


@relay_rig.with_rig
async def test_another_start_at_the_address_of_a_left_server_is_used(rig):
    """Guards against a notice that outlives the server that gave it."""
    requests = []
    backend = _repeat(relay_rig.success_response(extra=_LEAVING), requests)
    rig.add_server('plain', 1, backend)
    await _send(rig)
    assert relay_rig.status_code(await _send(rig)) == 503
    rig.add_server('plain', 1, backend, born=2)
    assert relay_rig.status_code(await _send(rig)) == 200
    assert len(requests) == 2


@relay_rig.with_rig
async def test_a_stream_under_way_goes_on_at_a_leaving_server(rig):
    """Guards against streams that are cut by another answer's notice."""
    events_sent = trio.Event()

    async def stream(connection):
        await relay_rig.read_request(connection)
        await connection.send_all(
            relay_rig.stream_head()
            + relay_rig.encode_chunk(relay_rig.encode_event(1))
        )
        await events_sent.wait()
        await connection.send_all(
            relay_rig.encode_chunk(relay_rig.encode_event(2))
            + relay_rig.LAST_CHUNK
        )

    rig.add_server('model', 1, stream)
    caller = rig.connect()
    await caller.send('/stream/x', 'Token-Counts: 10,5')
    await trio.sleep(0.1)
    (server,) = rig.servers.usable('model')
    rig.servers.departures.record_answer(server)
    events_sent.set()
    data = await caller.receive()
    assert b'x1' in data and b'x2' in data
    assert data.endswith(relay_rig.LAST_CHUNK)


def test_peers_receive_a_notice():
    """Guards against a node that follows the list though a peer was warned."""
    clock, nodes, link = test_gossip._pair()
    server = _server()
    nodes[0].departures.record_answer(server)
    for _ in range(2):
        link.exchange()
    assert nodes[1].departures.is_leaving(server)
    assert not nodes[1].departures.is_leaving(
        server._replace(started_ms=server.started_ms + 1)
    )
    # Only the node that received the answer repeats it.
    assert nodes[1].departures.own_notices() == ()


def test_notices_of_old_answers_are_no_longer_gossiped_but_still_hold():
    clock = fake_clocks.ManualClock()
    notices = departure_notices.DepartureNotices(clock)
    notices.record_answer(_server())
    clock.now_s += 60
    assert notices.own_notices() == ()
    assert notices.is_leaving(_server())


def test_a_report_of_an_older_release_has_no_departures():
    """Guards against reports that cannot be read during a release."""
    report = messages.NodeReport('a', 'h', 80, False, (), (), (), ())
    assert messages.decode_report(messages.encode_report(report)) == report
    departures = report._replace(departures=(('i-1', 1_764_000_000_000),))
    assert (
        messages.decode_report(messages.encode_report(departures))
        == departures
    )


@relay_rig.with_rig
async def test_no_request_reaches_a_server_in_its_quiet_period(rig):
    """Guards against requests to a server that requires a pause."""
    quiet, other = [], []
    rig.add_server('plain', 1, _repeat(_refusal('2.5'), quiet))
    assert relay_rig.status_code(await _send(rig)) == 503
    rig.add_server('plain', 2, _repeat(relay_rig.success_response(), other))
    for _ in range(20):
        assert relay_rig.status_code(await _send(rig)) == 200
        await trio.sleep(0.1)
    assert len(quiet) == 1
    assert len(other) == 20


@relay_rig.with_rig
async def test_callers_are_refused_at_once_while_all_servers_are_quiet(rig):
    """Guards against callers that wait for, or come back to, no server."""
    requests = []
    for index in (1, 2):
        rig.add_server('plain', index, _repeat(_refusal('3'), requests))
    first = await _send(rig)
    assert relay_rig.status_code(first) == 503
    assert len(requests) == 2
    await trio.sleep(1.0)
    started_s = trio.current_time()
    data = (await _send(rig)).lower()
    assert relay_rig.status_code(data) == 503
    assert trio.current_time() - started_s < 0.05
    retry_after_s = float(data.partition(b'retry-after: ')[2].split()[0])
    assert retry_after_s == pytest.approx(2.0, abs=0.1)
    assert len(requests) == 2
    await trio.sleep(retry_after_s + 0.05)
    await _send(rig)
    assert len(requests) > 2


@relay_rig.with_rig
async def test_a_request_for_a_pause_is_no_failure_of_the_server(rig):
    """Guards against healthy servers that are avoided after their pause."""
    rig.add_server('plain', 1, _repeat(_refusal('0.2'), []))
    await _send(rig)
    (server,) = rig.servers.usable('plain')
    view = rig.loads.view(server)
    assert view.failure_share == 0
    assert not view.is_avoided


@relay_rig.with_rig
async def test_an_engine_in_its_quiet_period_is_not_dispatched_to(rig):
    """Guards against a dispatcher that names an engine it has no notice of."""
    quiet, other = [], []
    for index, answer, requests in (
        (1, _refusal('5'), quiet),
        (2, relay_rig.success_response(), other),
    ):
        rig.add_server('model', index, _repeat(answer, requests))
    (server, _) = rig.servers.usable('model')
    rig.servers.quiet_periods.record_refusal(server, 5.0)
    named = []
    handle_call = rig.dispatcher.handle_call

    def record_call(call):
        answer = handle_call(call)
        named.append(answer.server)
        return answer

    rig.dispatcher.handle_call = record_call
    for _ in range(6):
        caller = rig.connect()
        await caller.send('/stream/x', 'Token-Counts: 10,5')
        await caller.receive()
    assert named == ['s2'] * 6
    assert quiet == []
    assert len(other) == 6


@pytest.mark.parametrize(
    'text, expected_s',
    [
        (b'3', 3.0),
        (b'0.25', 0.25),
        (b' 1.5 ', 1.5),
        (b'-1', None),
        (b'soon', None),
        (b'Wed, 21 Oct 2026 07:28:00 GMT', None),
        (b'1e9', None),
        (b'nan', None),
        (b'', None),
    ],
)
def test_time_of_a_refusal_is_decoded(text, expected_s):
    head = header_format.HeaderFormat().decode_answer(
        503, [(b'retry-after', text)]
    )
    assert head.quiet_s == expected_s


def test_only_a_refusal_asks_for_a_pause():
    head = header_format.HeaderFormat().decode_answer(
        500, [(b'retry-after', b'3')]
    )
    assert head.quiet_s is None


def test_an_absurd_pause_is_shortened_and_a_shorter_one_does_not_end_it():
    """Guards against a server that is lost to a node by one wrong header."""
    clock = fake_clocks.ManualClock()
    periods = quiet_periods.QuietPeriods(clock)
    periods.record_refusal(_server(), 999_999_999.0)
    assert periods.remaining_s(_server()) == quiet_periods.MAX_QUIET_S
    periods.record_refusal(_server(), 1.0)
    assert periods.remaining_s(_server()) == quiet_periods.MAX_QUIET_S
    clock.now_s += quiet_periods.MAX_QUIET_S
    assert periods.remaining_s(_server()) == 0
