"""Streams that a server broke off and that their caller takes up again."""

import pytest

from common import answer_reader
from common import relay_rig

_PROMPT = ('Token-Counts: 100,20', 'Prompt-Prefix: aa:60,bb:40')
_EVENTS = relay_rig.encode_event(1) + relay_rig.encode_event(2)
_BEGUN = relay_rig.encode_event(3)


def _add_server(rig, index, body, ends):
    async def serve(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(relay_rig.stream_head())
        if body:
            await stream.send_all(relay_rig.encode_chunk(body))
        if ends:
            await stream.send_all(relay_rig.LAST_CHUNK)
        await stream.aclose()

    rig.add_server('model', index, serve)


async def _call(rig, *headers):
    rig.confirm_configuration(relay_rig.encode_configuration())
    caller = rig.connect()
    await caller.send('/resume/x', *_PROMPT, *headers, 'Connection: close')
    (answer,) = answer_reader.read_answers(await caller.receive_all())
    return answer


@pytest.mark.parametrize(
    'rest, is_end',
    [
        (b'', True),
        # Neither shows an event.
        (b'\n', True),
        (b': still run', True),
        (_BEGUN[:1], False),
        (_BEGUN[:-1], False),
    ],
)
def test_stream_does_not_end_before_an_event_that_had_begun(rest, is_end):
    """Guards against servers that agree on an end that is too early."""

    @relay_rig.with_rig
    async def play(rig):
        _add_server(rig, 1, _EVENTS + rest, ends=False)
        answer = await _call(rig)
        assert answer.event_ids == [1, 2]
        del rig.dialer.backend_by_host['10.0.0.1']
        for index in (2, 3):
            _add_server(rig, index, b'', ends=True)
        answer = await _call(rig, 'Last-Event-Id: 2', 'Resumes: r1')
        assert answer.status == (200 if is_end else 502)
        # The stream ends at a later event.
        answer = await _call(rig, 'Last-Event-Id: 3', 'Resumes: r1')
        assert answer.status == 200

    play()


@relay_rig.with_rig
async def test_stream_that_is_taken_up_earlier_ends_no_sooner(rig):
    """Guards against an end between what the caller has and a known event."""
    _add_server(rig, 1, _EVENTS + _BEGUN[:-1], ends=False)
    await _call(rig)
    del rig.dialer.backend_by_host['10.0.0.1']
    resumed = ('Last-Event-Id: 1', 'Resumes: r1')
    _add_server(rig, 2, relay_rig.encode_event(2), ends=True)
    answer = await _call(rig, *resumed)
    assert not answer.is_whole
    assert answer.event_ids == [2]
    _add_server(rig, 3, _BEGUN, ends=True)
    answer = await _call(rig, 'Last-Event-Id: 2', 'Resumes: r1')
    assert answer.is_whole
    assert answer.event_ids == [3]
