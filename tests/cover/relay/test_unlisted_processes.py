"""What follows from a process that the server list does not show."""

import contextlib
import json

from foxtailrelay_core import messages
import pytest
import trio
from trio import testing

from common import origin_network
from common import relay_rig
from common import reporting_stream
from common import virtual_time

_HOST = '10.0.0.1'
_TOKENS = 'Token-Counts: 100,20'
_PROMPT = (_TOKENS, 'Prompt-Prefix: aa:60,bb:40')


def _stream(first, last, requests, is_cut=False):
    events = b''.join(
        relay_rig.encode_chunk(relay_rig.encode_event(number))
        for number in range(first, last + 1)
    )

    async def serve(stream):
        while request := await relay_rig.read_request(stream):
            requests.append(request)
            await stream.send_all(relay_rig.stream_head() + events)
            if is_cut:
                await stream.aclose()
                return
            await stream.send_all(relay_rig.LAST_CHUNK)

    return serve


@pytest.mark.parametrize('named', [(), ('Resumes: never-sent',)])
def test_sole_version_is_not_that_of_an_unlisted_process(named):
    """Guards against joins while the list lags and the origin is unnamed."""

    @relay_rig.with_rig
    async def play(rig):
        requests = []
        rig.add_server('model', 1, _stream(1, 2, [], is_cut=True))
        await trio.sleep(6.1)
        rig.confirm_configuration(relay_rig.encode_configuration(8))
        rig.dialer.started_ms_by_host[_HOST] = 2
        caller = rig.connect()
        await caller.send('/resume/x', _TOKENS)
        assert b'id: 2' in await caller.receive()
        rig.add_server('model', 2, _stream(3, 4, requests))
        caller = rig.connect()
        await caller.send('/resume/x', _TOKENS, 'Last-Event-Id: 2', *named)
        assert relay_rig.status_code(await caller.receive()) == 503
        assert requests == []

    play()


@pytest.mark.parametrize(
    'version, is_certain, sole_version',
    [('v1', True, 'v1'), ('v2', True, ''), ('', True, ''), ('v1', False, '')],
)
@pytest.mark.parametrize('request_id', ['', 'never-sent'])
def test_node_with_a_sole_version_asks_for_streams_of_other_ones(
    request_id, version, is_certain, sole_version
):
    async def main():
        network = origin_network.OriginNetwork(195)
        network.lists[0].sole = 'v1'
        network.nodes[1].record(
            messages.StreamOrigin(
                'r1', 'model', version, 's1', 2, 'f', is_certain, 30_000
            )
        )
        network.fail(1)
        found = await network.find(0, request_id)
        assert (found.origin, found.sole_version) == (None, sole_version)
        found = await network.find(0, request_id, fingerprint='other')
        assert (found.origin, found.sole_version) == (None, 'v1')

    virtual_time.run(main)


@pytest.mark.parametrize('is_closing', [False, True])
def test_stream_goes_on_after_a_report_that_ended_its_connection(is_closing):
    """Guards against sole servers that a lost connection excludes."""

    @relay_rig.with_rig
    async def play(rig):
        requests = []
        rig.add_server('model', 1, _stream(3, 4, requests))
        await trio.sleep(6.1)
        rig.confirm_configuration(relay_rig.encode_configuration(8))
        connect = rig.dialer.connect
        count = 0

        async def connect_once(host, port):
            nonlocal count
            count += 1
            if count > 1:
                return await connect(host, port)
            near, far = testing.memory_stream_pair()

            async def serve():
                await relay_rig.read_request(far)
                if is_closing:
                    report = reporting_stream.encode_report(1)
                    head, _, rest = report.partition(b'\r\n')
                    await far.send_all(
                        head + b'\r\nConnection: close\r\n' + rest
                    )
                await far.aclose()

            rig.nursery.start_soon(serve)
            return near

        rig.dialer.connect = connect_once
        caller = rig.connect()
        await caller.send('/resume/x', _TOKENS, 'Last-Event-Id: 2')
        assert relay_rig.status_code(await caller.receive()) == 200
        assert len(requests) == 1

    play()


@relay_rig.with_rig
async def test_connection_is_closed_if_the_caller_leaves_during_a_report(rig):
    """Guards against connections that a server keeps for nobody."""
    ended = trio.Event()

    async def connect(host, port):
        near, far = testing.memory_stream_pair()

        async def serve():
            while await far.receive_some():
                pass
            ended.set()

        rig.nursery.start_soon(serve)
        kept.append(near)
        return near

    kept = []
    rig.add_server('model', 1, None)
    rig.dialer.connect = connect
    caller = rig.connect()
    await caller.send('/resume/x', _TOKENS)
    await trio.sleep(0.1)
    await caller.stream.aclose()
    with trio.fail_after(1.0):
        await ended.wait()
    assert len(kept) == 1


@relay_rig.with_rig
async def test_request_id_may_read_like_that_of_a_report(rig):
    """Guards against ids that callers choose."""
    requests = []
    rig.add_server('model', 1, _stream(1, 1, requests))
    caller = rig.connect()
    await caller.send('/resume/x', _TOKENS, request_id='report 1')
    await caller.receive()
    assert len(requests) == 1


@relay_rig.with_rig
async def test_request_is_not_blamed_for_the_process_before(rig):
    """Guards against blame for a process that had ended before."""
    requests = []

    async def serve(stream):
        request = await relay_rig.read_request(stream)
        if not request:
            return
        requests.append(request)
        if b'/resume/' in request:
            await stream.send_all(relay_rig.stream_head())
            await stream.send_all(
                relay_rig.encode_chunk(relay_rig.encode_event(1))
                + relay_rig.LAST_CHUNK
            )
        await stream.aclose()

    rig.add_server('model', 1, serve)
    rig.dialer.started_ms_by_host[_HOST] = 2
    caller = rig.connect()
    await caller.send('/resume/x', _TOKENS)
    await caller.receive()
    await trio.sleep(1.0)
    crashes = []
    rig.quarantine.record_crash = lambda *args, **options: crashes.append(args)
    caller = rig.connect()
    await caller.send('/stream/x', *_PROMPT)
    assert relay_rig.status_code(await caller.receive()) == 502
    assert len(requests) == 2
    await trio.sleep(6.0)
    assert crashes == []


@relay_rig.with_rig
async def test_late_answer_on_a_kept_connection_is_no_report(rig):
    """Guards against streams that begin before a late report is read."""
    targets = []

    async def serve(stream):
        while request := await relay_rig.read_request(stream):
            targets.append(request.split()[1])
            if targets[-1] == b'/any/x':
                await stream.send_all(relay_rig.success_response())
            elif targets[-1] != b'/-/report':
                await stream.send_all(
                    relay_rig.stream_head('r2')
                    + relay_rig.encode_chunk(relay_rig.encode_event(1))
                    + relay_rig.LAST_CHUNK
                )
            elif targets[-2] == b'/any/x':
                await stream.send_all(relay_rig.success_response())
                await trio.sleep(0.01)
                await stream.send_all(reporting_stream.encode_report(1))
            else:
                await stream.send_all(reporting_stream.encode_report(1))

    async def serve_until_closed(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            await serve(stream)

    async def connect(host, port):
        near, far = testing.memory_stream_pair()
        rig.nursery.start_soon(serve_until_closed, far)
        return near

    rig.add_server('model', 1, None)
    rig.dialer.connect = connect
    fields = relay_rig.decoded_configuration() | {'version': 8}
    for route in fields['routes']:
        route['service'] = 'model'
    rig.confirm_configuration(json.dumps(fields).encode())
    for path, request_id in (('/any/x', 'r1'), ('/resume/x', 'r2')):
        caller = rig.connect()
        await caller.send(path, *_PROMPT, request_id=request_id)
        assert relay_rig.status_code(await caller.receive()) == 200
    assert targets.count(b'/resume/x') == 1
