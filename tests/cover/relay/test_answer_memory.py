"""What backend servers send is held within the memory budget."""

import contextlib

from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay.http import event_splitter
import pytest
import trio

from common import relay_rig

_OTHERS = 40
_ANSWER = purposes.Purpose.ANSWER
_BODY = bytes(range(256)) * 400
_UNFRAMED = b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n\r\n'
_CHUNKED = _UNFRAMED[:-2] + b'Transfer-Encoding: chunked\r\n\r\n'


def _use_up(rig, left_bytes=30_000):
    """Let other servers hold what the budget has for answers."""
    memory = rig.memory
    for number in range(_OTHERS):
        lease = memory.open_lease(_ANSWER, f'other-{number}')
        free = memory.limit_bytes(_ANSWER) - memory.held_bytes(_ANSWER)
        lease.try_hold(max(0, min(free - left_bytes, free // 3)))
    return memory.limit_bytes(_ANSWER) - memory.held_bytes(_ANSWER)


async def _call(rig, path, timeout_s=10):
    caller = rig.connect()
    await caller.send(path)
    with trio.fail_after(timeout_s):
        return await caller.receive()


@relay_rig.with_rig
async def test_answer_without_room_is_forwarded_whole(rig):
    """A sound answer was lost while others held the memory."""
    _use_up(rig)
    before = rig.memory.held_bytes(_ANSWER)
    answer = relay_rig.success_response(b'@' * 100_000)
    rig.add_server('plain', 1, relay_rig.scripted_backend(answer))
    response = await _call(rig, '/once/x')
    assert relay_rig.status_code(response) == 200
    assert response.count(b'@') == 100_000
    assert response.endswith(b'\r\n0\r\n\r\n')
    assert rig.memory.held_bytes(_ANSWER) == before


@relay_rig.with_rig
async def test_answer_without_a_length_and_without_room_is_not_begun(rig):
    """A part of an answer whose end nothing proves reached its caller."""
    _use_up(rig)
    before = rig.memory.held_bytes(_ANSWER)

    async def answer(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(_UNFRAMED + _BODY)
        await stream.aclose()

    rig.add_server('plain', 1, answer)
    response = await _call(rig, '/once/x')
    assert relay_rig.status_code(response) == 502
    assert rig.memory.held_bytes(_ANSWER) == before


@relay_rig.with_rig
async def test_memory_of_an_answer_is_free_again_when_its_caller_leaves(rig):
    """Callers that left took their answers' memory with them."""

    async def answer(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(_CHUNKED + relay_rig.encode_chunk(_BODY))
        await trio.sleep_forever()

    rig.add_server('plain', 1, answer)
    caller = rig.connect()
    await caller.send('/once/x')
    await trio.sleep(0.5)
    assert rig.memory.held_bytes(_ANSWER) >= len(_BODY)
    await caller.stream.aclose()
    await trio.sleep(0.5)
    assert not rig.memory.held_bytes(_ANSWER)


@relay_rig.with_rig
async def test_event_without_its_end_is_held_within_the_budget(rig):
    """Events without an end took a megabyte each."""
    free = _use_up(rig, 100_000)
    held = []

    async def answer(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(
            _CHUNKED[:-2] + b'Content-Type: text/event-stream\r\n\r\n'
        )
        with contextlib.suppress(trio.BrokenResourceError):
            for _ in range(200):
                await stream.send_all(relay_rig.encode_chunk(b'x' * 1000))
                held.append(rig.memory.held_bytes(_ANSWER))

    limit = rig.memory.limit_bytes(_ANSWER)
    rig.add_server('model', 1, answer)
    response = await _call(rig, '/stream/x')
    assert relay_rig.status_code(response) == 502
    assert max(held) <= limit
    assert rig.memory.held_bytes(_ANSWER) == limit - free


@pytest.mark.parametrize(
    'comment, count',
    [
        (b': \n\n', event_splitter.MAX_COMMENTS + 1),
        (b': ' + b'x' * 10_000 + b'\n\n', 27),
    ],
)
def test_comments_without_end_are_an_error(comment, count):
    """Comments in place of events kept a stream, and the node, busy."""
    splitter = event_splitter.EventSplitter()
    with pytest.raises(event_splitter.TooManyComments):
        splitter.feed(comment * count)


def test_comments_between_events_are_counted_anew():
    """A long stream with a comment now and then was broken."""
    splitter = event_splitter.EventSplitter()
    for number in range(3 * event_splitter.MAX_COMMENTS):
        events = splitter.feed(b': \n\nid: %d\ndata: a\n\n' % number)
        assert len(events) == 2
