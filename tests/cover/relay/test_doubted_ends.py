"""What a check of a server proves about the end of its answer."""

import pytest
import trio

from common import answer_reader
from common import relay_rig

_PROMPT = ('Token-Counts: 100,20', 'Prompt-Prefix: aa:60,bb:40')
_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n'
    b'Content-Type: text/event-stream\r\n\r\n'
)


class _ResetStream(trio.abc.Stream):
    """A connection that was in the backlog of a listener that closed."""

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        await trio.lowlevel.checkpoint()
        raise trio.BrokenResourceError('reset')

    async def aclose(self):
        await trio.lowlevel.checkpoint()


@pytest.mark.parametrize('path', ['/once/x', '/stream/x'])
def test_end_of_an_answer_is_not_believed_of_an_ending_process(path):
    """Guards against the time between the ends of two sockets."""

    @relay_rig.with_rig
    async def play(rig):
        async def serve(stream):
            await relay_rig.read_request(stream)
            await stream.send_all(_HEAD + relay_rig.encode_event(1))
            checking = rig.end_checker._links._dialer
            connect, connect_ended = checking.connect, rig.dialer.connect

            async def connect_late(host, port):
                checking.connect = connect
                del rig.dialer.backend_by_host[host]
                await trio.lowlevel.checkpoint()
                return _ResetStream()

            async def connect_ending(host, port):
                if host in rig.dialer.backend_by_host:
                    return _ResetStream()
                return await connect_ended(host, port)

            checking.connect = connect_late
            rig.dialer.connect = connect_ending
            await stream.aclose()

        rig.add_server('model', 1, serve)
        rig.add_server('plain', 2, serve)
        caller = rig.connect()
        await caller.send(path, *_PROMPT, 'Connection: close')
        (answer,) = answer_reader.read_answers(await caller.receive_all())
        assert answer.status == 502 or not answer.is_whole

    play()


@relay_rig.with_rig
async def test_server_has_ended_when_its_answer_was_cut(rig):
    """Guards against servers that end together at two moments."""
    closed_at_s = []

    async def serve(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(_HEAD + relay_rig.encode_event(1))
        rig.dialer.unhealthy_hosts.add('10.0.0.1')
        await stream.aclose()
        closed_at_s.append(rig.clock.boot_s())
        await trio.sleep(0.6)
        rig.dialer.backend_by_host.clear()

    rig.add_server('model', 1, serve)
    caller = rig.connect()
    await caller.send('/stream/x', *_PROMPT, 'Connection: close')
    await caller.receive_all()
    (crash,) = rig.quarantine.build_crashes()
    assert rig.clock.boot_s() - closed_at_s[0] >= 0.6
    age_s = crash.age_ms / 1000
    assert rig.clock.boot_s() - age_s - closed_at_s[0] < 0.1


@relay_rig.with_rig
async def test_end_at_the_time_of_a_planned_stop_is_not_believed(rig):
    """Guards against servers that stop at the deadline they were given."""

    async def serve(stream):
        request = await relay_rig.read_request(stream)
        if not request:
            return
        left_ms = int(
            request.lower().partition(b'deadline-ms: ')[2].split()[0]
        )
        await stream.send_all(_HEAD + relay_rig.encode_event(1))
        await trio.sleep(left_ms / 1000 - 0.04)
        await stream.aclose()

    rig.add_server('model', 1, serve)
    durations = rig.relay._attempts._context.durations
    durations.end('stream', durations.begin('stream'), is_whole=True)
    rig.begin_stop(after_s=2.99)
    caller = rig.connect()
    await caller.send('/stream/x', *_PROMPT, 'Connection: close')
    (answer,) = answer_reader.read_answers(await caller.receive_all())
    assert not answer.is_whole
