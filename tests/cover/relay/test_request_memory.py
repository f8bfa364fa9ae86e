"""What callers send is held within the memory budget."""

import contextlib
import functools
import tracemalloc

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay import status_handler
import pytest
import trio
from trio import testing

from common import relay_rig

# One connection may hold a third of what is for requests.
_TOTAL_BYTES = 1_200_000
_MAX_BYTES = 100_000
_SMALL_BODY = bytes(1000)
_CHUNKED = 'Transfer-Encoding: chunked'


def _with_small_budget(function):
    """Return a test with a rig whose budget a few requests exhaust."""

    async def play(rig):
        rig.memory = memory_budget.MemoryBudget(_TOTAL_BYTES)
        await function(rig)

    play.__name__ = function.__name__
    return relay_rig.with_rig(play)


def _held_bytes(rig):
    return rig.memory.held_bytes(purposes.Purpose.REQUEST)


def _head(request_id, *headers):
    lines = (
        'POST /once/x HTTP/1.1',
        'Host: h',
        f'Request-Id: {request_id}',
        'Authorization: Token k1',
        *headers,
    )
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def _check_refusal(response):
    head = response.partition(b'\r\n\r\n')[0].lower()
    assert relay_rig.status_code(response) == 503
    assert b'retry-after: 2' in head
    assert b'connection: close' in head
    assert b'"outcome": "not-run"' in response
    assert b'"kind": "overloaded"' in response


async def _answer_long(stream, work_s=0.5):
    """Serve one request with a body; answer when it is whole."""
    data = b''
    while part := await stream.receive_some():
        data += part
        head, separator, body = data.partition(b'\r\n\r\n')
        if not separator:
            continue
        _, _, length = head.lower().partition(b'content-length: ')
        if len(body) >= int(length.split(b'\r\n')[0]):
            break
    await trio.sleep(work_s)
    name = data.partition(b'request-id: ')[2].split(b'\r\n')[0].decode()
    await stream.send_all(relay_rig.success_response(request_id=name))


@pytest.mark.parametrize('more', ((), ('Expect: 100-continue',)))
def test_body_without_room_is_refused_before_it_is_sent(more):
    """Guards against reading a body that is known to be refused."""

    @_with_small_budget
    async def check(rig):
        requests = []
        backend = relay_rig.scripted_backend(requests=requests)
        rig.add_server('plain', 1, backend)
        caller = rig.connect()
        length = f'Content-Length: {_MAX_BYTES + 1000}'
        await caller.stream.send_all(_head('r1', length, *more))
        response = await caller.receive()
        _check_refusal(response)
        assert b'Request-Id: r1' in response
        assert not requests
        await caller.stream.aclose()
        await trio.sleep(2)
        assert _held_bytes(rig) == 0

    check()


@_with_small_budget
async def test_body_of_unknown_length_is_refused_when_there_is_no_room(rig):
    """Guards against a chunked body that fills the memory."""
    caller = rig.connect()
    await caller.stream.send_all(_head('r1', _CHUNKED))
    chunk = relay_rig.encode_chunk(bytes(20_000))
    for _ in range(4):
        await caller.stream.send_all(chunk)
        await testing.wait_all_tasks_blocked()
    assert _held_bytes(rig) < _MAX_BYTES
    await caller.stream.send_all(chunk + chunk)
    await testing.wait_all_tasks_blocked()
    assert _held_bytes(rig) == 0
    _check_refusal(await caller.receive())


@_with_small_budget
async def test_framing_of_a_body_takes_no_room(rig):
    """Guards against refusals of short bodies in many small chunks."""
    rig.add_server('plain', 1, _answer_long)
    caller = rig.connect()
    await caller.stream.send_all(_head('r1', _CHUNKED))
    for _ in range(100):
        await caller.stream.send_all(relay_rig.encode_chunk(b'x') * 300)
        await testing.wait_all_tasks_blocked()
    await caller.stream.send_all(relay_rig.LAST_CHUNK)
    assert relay_rig.status_code(await caller.receive()) == 200


@_with_small_budget
async def test_slow_callers_leave_room_for_others(rig):
    """Guards against callers that stall and starve all others."""
    rig.add_server('plain', 1, _answer_long)
    length = f'Content-Length: {_MAX_BYTES - 1000}'
    slow = [rig.connect() for _ in range(30)]
    for caller in slow:
        await caller.stream.send_all(_head('s1', length))
    for _ in range(20):
        for caller in slow:
            with contextlib.suppress(trio.BrokenResourceError):
                await caller.stream.send_all(bytes(1000))
        await testing.wait_all_tasks_blocked()
    limit_bytes = rig.memory.limit_bytes(purposes.Purpose.REQUEST)
    assert limit_bytes / 2 < _held_bytes(rig) < limit_bytes
    caller = rig.connect()
    await caller.send('/once/x', body=_SMALL_BODY)
    assert relay_rig.status_code(await caller.receive()) == 200
    await caller.stream.aclose()
    await trio.sleep(8)
    assert _held_bytes(rig) == 0


@_with_small_budget
async def test_body_is_held_until_its_request_is_answered(rig):
    """Guards against room that is given back too early, or never."""
    rig.add_server('plain', 1, _answer_long)
    caller = rig.connect()
    for number in range(5):
        await caller.send(
            '/once/x', body=bytes(60_000), request_id=f'r{number}'
        )
        await trio.sleep(0.4)
        assert _held_bytes(rig) >= 60_000
        assert relay_rig.status_code(await caller.receive()) == 200
        await testing.wait_all_tasks_blocked()
        assert _held_bytes(rig) == 0
        rig.end_connections('10.0.0.1')


@_with_small_budget
async def test_unfinished_heads_are_held_within_the_budget(rig):
    """Guards against many callers with long heads that never end."""
    callers = [rig.connect() for _ in range(100)]
    for caller in callers:
        await caller.stream.send_all(_head('s1')[:-2] + b'X: ' + bytes(0))
        await caller.stream.send_all(b'x' * 15_000)
        await testing.wait_all_tasks_blocked()
    limit_bytes = rig.memory.limit_bytes(purposes.Purpose.REQUEST)
    assert limit_bytes / 2 < _held_bytes(rig) < limit_bytes
    _check_refusal(await callers[-1].receive())
    rig.add_server('plain', 1, _answer_long)
    caller = rig.connect()
    await caller.send('/once/x', body=_SMALL_BODY)
    assert relay_rig.status_code(await caller.receive()) == 200


@_with_small_budget
async def test_requests_behind_another_are_held_within_the_budget(rig):
    """Guards against pipelined requests without end."""
    rig.add_server('plain', 1, _answer_long)
    callers = [rig.connect() for _ in range(20)]
    for caller in callers:
        await caller.send('/once/x')
        await testing.wait_all_tasks_blocked()
    for caller in callers:
        rig.nursery.start_soon(
            caller.stream.send_all, _head('r2', 'Content-Length: 0') * 500
        )
        await testing.wait_all_tasks_blocked()
    limit_bytes = rig.memory.limit_bytes(purposes.Purpose.REQUEST)
    assert limit_bytes / 2 < _held_bytes(rig) < limit_bytes
    for caller in callers:
        assert relay_rig.status_code(await caller.receive()) == 200


@relay_rig.with_rig
async def test_read_ahead_of_a_connection_does_not_grow_with_requests(rig):
    """Guards against a caller that sends faster than it is answered."""
    backend = functools.partial(_answer_long, work_s=0.05)
    rig.add_server('plain', 1, backend)
    caller = rig.connect()
    most_bytes = 0
    for _ in range(10):
        await caller.stream.send_all(_head('r1', 'Content-Length: 0') * 1000)
        await trio.sleep(0.4)
        most_bytes = max(most_bytes, _held_bytes(rig))
    assert 60_000 < most_bytes < 200_000


@relay_rig.with_rig
async def test_empty_lines_before_a_request_are_not_kept(rig):
    """Guards against a caller that sends empty lines without end."""
    caller = rig.connect()
    lines = b'\r\n' * 32_768
    tracemalloc.start()
    try:
        for _ in range(100):
            await caller.stream.send_all(lines)
            await testing.wait_all_tasks_blocked()
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept_bytes < 1_000_000


class _Source(status_handler.StatusSource):
    def status(self):
        return 200, b'ready\n'


def _connect_to_status(rig):
    near, far = testing.memory_stream_pair()
    connection = caller_connection.CallerConnection(
        far,
        status_handler.StatusHandler(_Source()),
        rig.clock.boot_s,
        rig.memory,
    )
    rig.nursery.start_soon(connection.serve)
    return relay_rig.Caller(near)


@_with_small_budget
async def test_checks_with_a_body_are_refused(rig):
    """Guards against bodies without end at the listener of checks."""
    caller = _connect_to_status(rig)
    await caller.send('/-/ready', method='GET')
    assert relay_rig.status_code(await caller.receive()) == 200
    await caller.stream.send_all(_head('r1', _CHUNKED))
    await caller.stream.send_all(relay_rig.encode_chunk(bytes(10_000)))
    assert relay_rig.status_code(await caller.receive()) == 413


@_with_small_budget
async def test_checks_without_room_are_refused_with_a_time_to_return(rig):
    """Guards against a 503 after which a caller does not know what to do."""
    others = [
        rig.memory.open_lease(purposes.Purpose.REQUEST, f'{number}')
        for number in range(100)
    ]
    for other in others:
        for _ in range(100):
            other.try_hold(1000)
    caller = _connect_to_status(rig)
    await caller.stream.send_all(_head('r1')[:-2] + b'X: ' + b'x' * 15_000)
    response = await caller.receive()
    assert relay_rig.status_code(response) == 503
    assert b'Retry-After: 2' in response


@pytest.mark.parametrize('length', [b'100000', b'1073741824'])
def test_nothing_is_kept_of_a_request_that_is_refused(length):
    """Guards against connections that keep what there was no room for."""

    @_with_small_budget
    async def play(rig):
        owner = rig.memory.open_lease(purposes.Purpose.REQUEST, 'other')
        while owner.try_hold(1000):
            pass
        callers = []
        for number in range(40):
            caller, connection = rig.connect_with_connection()
            head = _head(f'r{number}', f'Content-Length: {length.decode()}')
            await caller.stream.send_all(head + bytes(50_000))
            callers.append((caller, connection))
        # Less than refused connections linger.
        await trio.sleep(0.5)
        owner.close()
        for caller, connection in callers:
            status = relay_rig.status_code(await caller.receive())
            assert status in (413, 503)
            assert not connection._reader._read_ahead
        assert _held_bytes(rig) == 0

    play()


@pytest.mark.parametrize('is_refused', [False, True])
def test_connections_that_are_read_at_once_hold_little(is_refused):
    """Guards against parts that wait in each task for the scheduler."""

    @relay_rig.with_rig
    async def play(rig):
        lengths = []
        caller, connection = rig.connect_with_connection()
        receive_some = connection._stream.receive_some

        async def receive_and_record(max_bytes=None):
            data = await receive_some(max_bytes)
            lengths.append(len(data))
            return data

        connection._stream.receive_some = receive_and_record
        size = 1 << 30 if is_refused else 300_000
        head = _head('r1', f'Content-Length: {size}')
        await caller.stream.send_all(head + bytes(299_000))
        await trio.sleep(0.5)
        assert lengths
        assert max(lengths) <= 16384
        assert sum(lengths) >= 299_000

    play()
