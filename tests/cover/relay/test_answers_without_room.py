"""Answers for which a node has no memory."""

import gc

from foxtailrelay_core import messages
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay.attempts import results
import pytest
import trio

from common import relay_rig

_ANSWER = purposes.Purpose.ANSWER
_TOKENS = 'Token-Counts: 10,10'


def _fill(rig):
    """Hold the memory for answers for other servers."""
    for number in range(60):
        lease = rig.memory.open_lease(_ANSWER, f'other{number}')
        lease.try_hold(rig.memory.available_bytes(_ANSWER, 'new'))


@relay_rig.with_rig
async def test_server_is_not_blamed_where_others_hold_the_memory(rig):
    """Guards against sound servers that count as failed at a dispatcher."""
    events = []
    handle_note = rig.dispatcher.handle_note

    def record(note):
        events.append(note.event)
        return handle_note(note)

    rig.dispatcher.handle_note = record

    async def backend(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(
            relay_rig.stream_head()
            + relay_rig.encode_chunk(b'data: ' + b'a' * 2000)
        )
        await trio.sleep_forever()

    rig.add_server('model', 1, backend)
    _fill(rig)
    caller = rig.connect()
    await caller.send('/stream/x', _TOKENS)
    assert relay_rig.status_code(await caller.receive()) == 502
    assert rig.memory.denied_count(_ANSWER) == 1
    assert messages.PlaceEvent.LEFT in events
    assert messages.PlaceEvent.FAILED not in events


async def _send_long_event(stream):
    await relay_rig.read_request(stream)
    await stream.send_all(
        relay_rig.stream_head()
        + relay_rig.encode_chunk(b'data: ' + b'a' * 900_000)
    )
    await trio.sleep_forever()


@pytest.mark.parametrize(
    ('owner', 'failure_count'), [('other%d', 0), ('s1', 1)]
)
def test_who_holds_the_memory_is_blamed_for_a_long_event(owner, failure_count):
    """Guards against sound servers blamed for what faulty ones hold."""

    @relay_rig.with_rig
    async def play(rig):
        failures = []
        rig.loads.record_failure = failures.append
        rig.add_server('model', 1, _send_long_event)
        assert rig.servers.usable('model')[0].id == 's1'
        for number in range(60):
            name = owner % number if '%' in owner else owner
            lease = rig.memory.open_lease(_ANSWER, name)
            free_bytes = rig.memory.available_bytes(_ANSWER, 's1')
            if free_bytes < 800_000:
                break
            lease.try_hold(
                min(
                    free_bytes - 500_000,
                    rig.memory.available_bytes(_ANSWER, name),
                )
            )
        assert 300_000 < rig.memory.available_bytes(_ANSWER, 's1') < 800_000
        caller = rig.connect()
        await caller.send('/stream/x', _TOKENS)
        assert relay_rig.status_code(await caller.receive()) == 502
        assert rig.memory.denied_count(_ANSWER) == 1
        assert len(failures) == failure_count

    play()


@relay_rig.with_rig
async def test_failed_answer_is_not_kept_while_another_server_answers(rig):
    """Guards against memory that is in use although its lease has ended."""

    async def fail(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(
            b'HTTP/1.1 500 Failed\r\nRequest-Id: r1\r\n'
            b'Content-Length: 1000000\r\n\r\n' + b'a' * 1_000_000
        )

    async def answer_slowly(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(relay_rig.success_response()[:-1])
        await trio.sleep_forever()

    servers = [fail]

    async def backend(stream):
        await (servers.pop() if servers else answer_slowly)(stream)

    for index in (1, 2):
        rig.add_server('plain', index, backend)
    caller = rig.connect()
    await caller.send('/any/x')
    await trio.sleep(1.0)
    assert not servers
    assert rig.memory.held_bytes(_ANSWER) < 1000
    kept = [
        thing
        for thing in gc.get_objects()
        if isinstance(thing, results.ServerFailure)
    ]
    assert not kept
