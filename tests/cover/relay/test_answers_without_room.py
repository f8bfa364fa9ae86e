"""Answers for which a node has no memory."""

from foxtailrelay_core import messages
from foxtailrelay_node.internal.memory import purpose as purposes
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
