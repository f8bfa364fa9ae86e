"""Streams whose events have numbers that rise by more than one."""

import contextlib
import re

from foxtailrelay_node.internal.relay.policy import event_steps
import trio

from common import relay_rig

_VERSION = ('model', 'v1')
_PROMPT = ('Token-Counts: 100,20', 'Prompt-Prefix: aa:60,bb:40')
_LAST_EVENT = re.compile(rb'(?i)last-event-id: (\d+)')


def _numbering_backend(step, ends_after=None):
    """Return a server that counts the tokens of its events, ``step`` each."""

    async def serve(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            await serve_all(stream)

    async def serve_all(stream):
        while request := await relay_rig.read_request(stream):
            if b'request-id' not in request.lower():
                await stream.aclose()
                return
            request_id = re.search(rb'(?i)request-id: (\S+)', request)[1]
            resumed = _LAST_EVENT.search(request)
            first = int(resumed[1]) + step if resumed else step
            await stream.send_all(relay_rig.stream_head(request_id.decode()))
            for number in range(first, 12 * step + 1, step):
                if number == ends_after and not resumed:
                    await stream.aclose()
                    return
                event = relay_rig.encode_event(number)
                await stream.send_all(relay_rig.encode_chunk(event))
            await stream.send_all(relay_rig.LAST_CHUNK)

    return serve


async def _receive(rig, number, path='/resume/x'):
    caller = rig.connect()
    await caller.send(path, *_PROMPT, request_id=f'r{number}')
    return await caller.receive()


def _ids(data):
    return [int(text) for text in re.findall(rb'id: (\d+)', data)]


@relay_rig.with_rig
async def test_streams_that_count_tokens_are_served_once_three_servers_do(rig):
    """Guards against breaking every stream of such servers."""
    for index in (1, 2, 3):
        rig.add_server('model', index, _numbering_backend(5))
    answers = [await _receive(rig, number) for number in range(6)]
    assert relay_rig.status_code(answers[0]) == 502
    assert _ids(answers[-1]) == list(range(5, 61, 5))
    assert answers[-1].endswith(relay_rig.LAST_CHUNK)


@relay_rig.with_rig
async def test_streams_that_count_tokens_go_on_at_another_server(rig):
    for index in (1, 2, 3):
        rig.add_server('model', index, _numbering_backend(5, ends_after=30))
    answers = [await _receive(rig, number) for number in range(3)]
    assert _ids(answers[-1]) == list(range(5, 61, 5))
    assert answers[-1].endswith(relay_rig.LAST_CHUNK)


def _scripted_backend(scripts):
    """Return a server that sends the numbers of the next script."""

    async def serve(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            while request := await relay_rig.read_request(stream):
                if b'request-id' not in request.lower():
                    await stream.aclose()
                    return
                request_id = re.search(rb'(?i)request-id: (\S+)', request)[1]
                await stream.send_all(
                    relay_rig.stream_head(request_id.decode())
                )
                for number in scripts.pop(0):
                    event = relay_rig.encode_event(number)
                    await stream.send_all(relay_rig.encode_chunk(event))
                await stream.send_all(relay_rig.LAST_CHUNK)

    return serve


def _add_scripted(rig, scripts):
    backend = _scripted_backend(scripts)
    for index in (1, 2, 3):
        rig.add_server('model', index, backend)


@relay_rig.with_rig
async def test_short_streams_of_faulty_servers_never_lack_an_event(rig):
    """Guards against faults of three servers that pass for a way to count."""
    _add_scripted(rig, [[1, 2, 3]] * 30 + [[1, 3]] * 60)
    for number in range(30):
        assert _ids(await _receive(rig, number)) == [1, 2, 3]
    for number in range(30, 60):
        answer = await _receive(rig, number)
        assert not answer.endswith(relay_rig.LAST_CHUNK)


@relay_rig.with_rig
async def test_streams_that_count_tokens_do_not_lack_their_first_events(rig):
    taught = [[5, 10, 15, 20, 25]] * 5
    _add_scripted(rig, [*taught, [25, 30], [25, 30]])
    for number in range(3):
        await _receive(rig, number)
    answer = await _receive(rig, 4)
    assert not answer.endswith(relay_rig.LAST_CHUNK)


async def _play_after(rig, *scripts):
    _add_scripted(rig, [*scripts, [9], [9]])
    answer = await _receive(rig, 1)
    assert not answer.endswith(relay_rig.LAST_CHUNK)


@relay_rig.with_rig
async def test_stream_that_breaks_at_a_gap_does_not_end_before_it(rig):
    """Guards against a short answer that follows one with later events."""
    await _play_after(rig, [1, 2, 3, 4, 5, 7, 8], [6])


@relay_rig.with_rig
async def test_stream_does_not_end_before_a_first_event_that_was_refused(rig):
    """Guards against a short answer that follows one that began late."""
    await _play_after(rig, [3, 4], [1])


def test_steps_of_few_servers_or_answers_are_missing_events():
    """Guards against believing servers that skip events now and then."""
    steps = event_steps.EventSteps()
    for _ in range(20):
        steps.record(_VERSION, 'i-1', 5)
        steps.record(_VERSION, 'i-2', 9)
    assert steps.largest_step(_VERSION) == 1
    steps.record(_VERSION, 'i-3', 4)
    assert steps.largest_step(_VERSION) == 4
    steps.record(_VERSION, 'i-1', 1)
    assert steps.largest_step(_VERSION) == 4
    steps.record(_VERSION, 'i-1', 1)
    steps.record(_VERSION, 'i-1', 1)
    assert steps.largest_step(_VERSION) == 1


def test_gaps_after_a_start_do_not_outweigh_one_answer_by_one():
    steps = event_steps.EventSteps()
    steps.record(_VERSION, 'i-4', 1)
    for server_id in ('i-1', 'i-2', 'i-3'):
        steps.record(_VERSION, server_id, 2)
    assert steps.largest_step(_VERSION) == 1
    assert not steps.is_open(_VERSION)


def test_memory_of_steps_is_bounded():
    steps = event_steps.EventSteps()
    for number in range(3000):
        steps.record((f's{number}', ''), 'i-1', 5)
        steps.record(_VERSION, f'i-{number}', 5)
    assert steps.largest_step(_VERSION) == 5
    assert steps.is_open(('s1', ''))
