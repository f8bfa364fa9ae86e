"""Streams whose end another server is asked to confirm."""

from foxtailrelay_core import messages
import pytest
import trio

from common import answer_reader
from common import relay_rig

_PROMPT = ('Token-Counts: 100,20', 'Prompt-Prefix: aa:60,bb:40')


def _head(request, framing=b''):
    request_id = request.lower().partition(b'request-id: ')[2].split()[0]
    return (
        b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n'
        b'Content-Type: text/event-stream\r\n%s\r\n' % (request_id, framing)
    )


async def _end_after_two(stream):
    """Serve streams that their connections end."""
    request = await relay_rig.read_request(stream)
    if request:
        await stream.send_all(_head(request))
        for number in (1, 2):
            await trio.sleep(0.1)
            await stream.send_all(relay_rig.encode_event(number))
        await stream.aclose()


def _answer_with(*parts, ends=True):
    """Return a backend that goes on with streams by these parts."""

    async def serve(stream):
        while request := await relay_rig.read_request(stream):
            await stream.send_all(
                _head(request, b'Transfer-Encoding: chunked\r\n')
                + b''.join(map(relay_rig.encode_chunk, parts))
            )
            if not ends:
                await trio.sleep_forever()
            await stream.send_all(relay_rig.LAST_CHUNK)

    return serve


async def _end_together(rig, backend, *headers, state='ready'):
    """Return the answers of two streams that end together."""
    rig.add_server('model', 1, _end_after_two)
    answers = []

    async def call(name):
        caller = rig.connect()
        await caller.send(
            '/resume/x',
            *_PROMPT,
            'Connection: close',
            *headers,
            request_id=name,
        )
        data = await caller.receive_all()
        answers.extend(answer_reader.read_answers(data))

    async with trio.open_nursery() as nursery:
        for name in ('r1', 'r2'):
            nursery.start_soon(call, name)
        await trio.sleep(0.05)
        rig.add_server('model', 1, _end_after_two, state=state)
        rig.dialer.unhealthy_hosts.add('10.0.0.1')
        rig.add_server('model', 2, backend)
    return answers


@pytest.mark.parametrize(
    'part',
    [
        relay_rig.encode_event(4),
        b'data: x\n\n',
        b'id: 3\ndata: x',
    ],
    ids=['later', 'unnumbered', 'partial'],
)
def test_end_is_not_told_once_a_server_knows_later_events(part):
    """Guards against ends that the answer of another server refutes."""

    async def play(rig):
        for answer in await _end_together(rig, _answer_with(part)):
            assert not answer.is_whole

    relay_rig.with_rig(play)()


@relay_rig.with_rig
async def test_streams_that_a_leaving_server_ends_at_once_go_on(rig):
    """Guards against the end of a server that has announced it."""
    rig.add_server('model', 1, _end_after_two)
    caller = rig.connect()
    await caller.send('/stream/x', *_PROMPT, 'Connection: close')
    await caller.receive_all()
    await trio.sleep(12.0)
    rig.confirm_configuration(relay_rig.encode_configuration())
    backend = _answer_with(relay_rig.encode_event(3))
    for answer in await _end_together(rig, backend, state='draining'):
        assert b'id: 3' in answer.body and answer.is_whole


@relay_rig.with_rig
async def test_comment_of_another_server_does_not_refute_an_end(rig):
    for answer in await _end_together(rig, _answer_with(b': wait\n\n')):
        assert answer.is_whole


@relay_rig.with_rig
async def test_comment_of_a_server_that_hangs_does_not_refute_an_end(rig):
    backend = _answer_with(b': wait\n\n', ends=False)
    for answer in await _end_together(
        rig, backend, 'Deadline-Ms: 3000', state='draining'
    ):
        assert answer.is_whole


@relay_rig.with_rig
async def test_stream_goes_on_if_a_node_does_not_say_what_it_lost(rig):
    """Guards against ends of workers that only a silent node has seen."""
    report = messages.NodeReport('a', '10.9.0.2', 80, False, (), (), (), (), 1)
    rig.table.merge_report(
        messages.ReportCopy('n2', 1, 1, 0, messages.encode_report(report))
    )
    rig.dialer.backend_by_host['10.9.0.2'] = lambda _: trio.sleep(9.0)
    rig.add_server('model', 1, _end_after_two)
    caller = rig.connect()
    await caller.send('/resume/x', *_PROMPT, 'Connection: close')
    await trio.sleep(0.05)
    rig.add_server('model', 2, _answer_with(relay_rig.encode_event(3)))
    (answer,) = answer_reader.read_answers(await caller.receive_all())
    assert b'id: 3' in answer.body and answer.is_whole
