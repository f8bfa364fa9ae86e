"""What other nodes and health checks show of the end of an answer."""

import contextlib
import functools

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.attempts import health_prober
from foxtailrelay_node.internal.relay.backends import health_check
from foxtailrelay_node.internal.relay.backends import process_signs
from foxtailrelay_node.internal.relay.dispatch import dispatch_client
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import exchange_server
from foxtailrelay_node.internal.relay.policy import answer_end
import pytest
import trio

from common import answer_reader
from common import relay_rig

_KEY = ('s1', 1)
_PROMPT = ('Token-Counts: 100,20', 'Prompt-Prefix: aa:60,bb:40')


def test_signs_keep_their_times_on_the_way_to_another_node():
    table = process_signs.ProcessSignsTable()
    table.record_lost(_KEY, 99.0)
    sent = messages.decode(messages.encode(1, table.describe(_KEY, 100.0)))[1]
    assert process_signs.lost_at_s(sent, 50.0) == [49.0]
    told = table.describe(_KEY, 110.0)
    assert process_signs.lost_at_s(told, 50.0) == []


def test_later_loss_does_not_hide_the_one_at_an_end():
    """Guards against workers that end one after another."""
    table = process_signs.ProcessSignsTable()
    end = answer_end.AnswerEnd(9.9, 10.0, 60.0)
    for lost_at_s in (10.0, 10.4):
        table.record_lost(_KEY, lost_at_s)
    assert answer_end.has_ended_with_others(end, table.find(_KEY))
    found = process_signs.lost_at_s(table.describe(_KEY, 10.5), 10.5)
    signs = answer_end.ProcessSigns(peers_lost_at_s=found)
    assert answer_end.has_ended_with_others(end, signs)


@relay_rig.with_rig
async def test_node_tells_its_signs_over_a_connection(rig):
    server = exchange_server.ExchangeServer(
        None, 60.0, rig.clock, rig.dispatcher, rig.origins,
        rig.tunnel_server, rig.signs, rig.memory,
    )  # fmt: skip
    rig.dialer.backend_by_host['10.9.0.2'] = server.serve_connection
    rig.prover.signs.record_lost(_KEY, rig.clock.boot_s())
    client = dispatch_client.DispatchClient(rig.dialer)
    rig.nursery.start_soon(client.run)
    await trio.sleep(0.5)
    answer = await client.request(
        address_book.PeerAddress('10.9.0.2', 80),
        messages.ProcessQuery(*_KEY),
        1.0,
    )
    assert answer == messages.ProcessFound((500,))


@pytest.mark.parametrize('path', ['/stream/x', '/once/x'])
def test_frozen_node_does_not_hold_an_answer_past_its_deadline(path):
    """Guards against sound answers that are lost to a question."""

    async def play(rig):
        report = messages.NodeReport(
            'a', '10.9.0.2', 80, False, (), (), (), (), 1
        )
        rig.table.merge_report(
            messages.ReportCopy('n2', 1, 1, 0, messages.encode_report(report))
        )
        rig.dialer.backend_by_host['10.9.0.2'] = lambda _: trio.sleep(9.0)
        rig.confirm_configuration(relay_rig.encode_configuration())
        gate = trio.Event()
        gate.set()
        service = 'plain' if path == '/once/x' else 'model'
        rig.add_server(service, 1, _close_together(gate, b''))
        caller = rig.connect()
        await caller.send(
            path, *_PROMPT, 'Connection: close', 'Deadline-Ms: 400'
        )
        (answer,) = answer_reader.read_answers(await caller.receive_all())
        assert answer.status == 200 and answer.is_whole

    relay_rig.with_rig(play)()


def _close_together(gate, health):
    """Return a backend whose streams end together, and its health."""

    async def serve(stream):
        request = await relay_rig.read_request(stream)
        if request.startswith(b'GET /health '):
            await stream.send_all(health)
        elif request:
            request_id = request.lower().partition(b'request-id: ')[2].split()
            await stream.send_all(
                b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n'
                b'Content-Type: text/event-stream\r\n\r\n'
                % request_id[0]
                + relay_rig.encode_event(1)
            )
            await gate.wait()
        await stream.aclose()

    return serve


@relay_rig.with_rig
async def test_nodes_that_had_requests_at_the_end_are_asked(rig):
    """Guards against large clusters whose nodes report the end first.

    Some of the nodes are leaving.
    """
    asked = []

    def report(number, sequence, running):
        host = f'10.9.1.{number}'
        load = messages.ServerLoad('s1', running, 0)
        body = messages.encode_report(
            messages.NodeReport(
                'a', host, 80, number > 55, (load,), (), (), (), 1
            )
        )
        rig.dialer.backend_by_host[host] = functools.partial(listen, number)
        rig.table.merge_report(
            messages.ReportCopy(f'm{number}', 1, sequence, 0, body)
        )

    async def listen(number, stream):
        asked.append(number)
        await trio.sleep_forever()

    rig.confirm_configuration(relay_rig.encode_configuration())
    gate = trio.Event()
    gate.set()
    rig.add_server('model', 1, _close_together(gate, b''))
    for number in range(1, 60):
        report(number, 1, int(number > 48))
    caller = rig.connect()
    await caller.send('/stream/x', *_PROMPT, 'Connection: close')
    await trio.sleep(1.0)
    for number in range(1, 60):
        report(number, 2, 0)
    await caller.receive_all()
    assert sorted(asked) == list(range(49, 60))


_HEALTHY = b'HTTP/1.1 200 OK\r\nInstance-Id: s1\r\nContent-Length: 0\r\n\r\n'
_LEAVING = _HEALTHY.replace(b'200 OK', b'503 Ending')
_FULL = _LEAVING.replace(b'Instance', b'Not-Executed: 1\r\nInstance')
_FOREIGN = _HEALTHY.replace(b's1', b's2')


@pytest.mark.parametrize('path', ['/stream/x', '/resume/x', '/once/x'])
@pytest.mark.parametrize(
    ('health', 'state', 'is_whole'),
    [
        (_HEALTHY, 'ready', True),
        (_LEAVING, 'ready', False),
        (_LEAVING, 'draining', True),
        (_FULL, 'ready', False),
        (_FOREIGN, 'ready', False),
    ],
    ids=['healthy', 'ending', 'announced', 'full', 'foreign'],
)
def test_answers_that_end_together_are_whole_if_their_process_is_healthy(
    path, health, state, is_whole
):
    """Guards against a process that ends its answers and reports on."""

    async def play(rig):
        gate = trio.Event()
        service = 'plain' if path == '/once/x' else 'model'
        serve = _close_together(gate, health)
        rig.dialer.hosts_with_own_health.add('10.0.0.1')
        rig.add_server(service, 1, serve)
        answers = []

        async def call(name):
            caller = rig.connect()
            await caller.send(
                path, *_PROMPT, 'Connection: close', request_id=name
            )
            answers.extend(
                answer_reader.read_answers(await caller.receive_all())
            )

        async with trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(call, f'r{number}')
            await trio.sleep(0.5)
            rig.add_server(service, 1, serve, state=state)
            gate.set()
        assert [a.status == 200 and a.is_whole for a in answers] == (
            [is_whole] * 3
        )

    relay_rig.with_rig(play)()


@relay_rig.with_rig
async def test_answers_that_end_together_share_a_health_check(rig):
    """Guards against checks that take all places of a server."""
    asked = []

    async def serve(stream):
        if await relay_rig.read_request(stream):
            asked.append(trio.current_time())
            await trio.sleep(0.1)
            await stream.send_all(_HEALTHY)

    rig.dialer.hosts_with_own_health.add('10.0.0.1')
    rig.add_server('plain', 1, serve)
    (server,) = rig.servers.usable('plain')
    found = []

    async def check(due_s):
        found.append(await rig.prover.health.check(server, '/health', due_s))

    now_s = rig.clock.boot_s()
    async with trio.open_nursery() as nursery:
        for _ in range(9):
            nursery.start_soon(check, now_s)
        for _ in range(40):
            await trio.sleep(0.002)
            # A check that began before the end shows nothing of it.
            nursery.start_soon(check, rig.clock.boot_s())
    assert len(asked) == 2
    healthy = health_prober.ProcessCheck(
        health_check.HealthCheck.HEALTHY, has_lived_on=True
    )
    assert found == [healthy] * 49


@relay_rig.with_rig
async def test_health_of_the_next_process_with_the_same_id_is_no_proof(rig):
    """Guards against a process that starts again under its id."""

    async def serve(stream):
        if await relay_rig.read_request(stream):
            rig.dialer.started_ms_by_host['10.0.0.1'] = 2
            await stream.send_all(_HEALTHY)

    rig.dialer.hosts_with_own_health.add('10.0.0.1')
    rig.add_server('plain', 1, serve)
    (server,) = rig.servers.usable('plain')
    check = await rig.prover.health.check(server, '/health', 0.0)
    assert check.health is health_check.HealthCheck.HEALTHY
    assert not check.has_lived_on


@relay_rig.with_rig
async def test_check_of_a_caller_that_leaves_is_begun_again_by_others(rig):
    """Guards against sound answers that break since a caller leaves."""

    async def serve(stream):
        if await relay_rig.read_request(stream):
            await trio.sleep(0.2)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(_HEALTHY)

    rig.dialer.hosts_with_own_health.add('10.0.0.1')
    rig.add_server('plain', 1, serve)
    (server,) = rig.servers.usable('plain')
    now_s = rig.clock.boot_s()
    found = []

    async def check(scope):
        with scope:
            found.append(
                await rig.prover.health.check(server, '/health', now_s)
            )

    leaving = trio.CancelScope()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(check, leaving)
        await trio.sleep(0.1)
        nursery.start_soon(check, trio.CancelScope())
        await trio.sleep(0.05)
        leaving.cancel()
    assert [check.has_lived_on for check in found] == [True]


@relay_rig.with_rig
async def test_stream_goes_on_if_a_health_check_hangs_near_the_deadline(rig):
    """Guards against checks that last longer than half of the time left."""

    async def hang(stream):
        request = await relay_rig.read_request(stream)
        if request.startswith(b'GET /health '):
            await trio.sleep(9.0)
        elif request:
            await stream.send_all(
                relay_rig.stream_head().replace(
                    b'Transfer-Encoding: chunked\r\n', b''
                )
                + relay_rig.encode_event(1)
            )
        await stream.aclose()

    async def go_on(stream):
        while await relay_rig.read_request(stream):
            await stream.send_all(
                relay_rig.stream_head()
                + relay_rig.encode_chunk(relay_rig.encode_event(2))
                + relay_rig.LAST_CHUNK
            )

    rig.dialer.hosts_with_own_health.add('10.0.0.1')
    rig.add_server('model', 1, hang)
    caller = rig.connect()
    await caller.send(
        '/resume/x', *_PROMPT, 'Connection: close', 'Deadline-Ms: 600'
    )
    await trio.sleep(0.05)
    rig.add_server('model', 2, go_on)
    (answer,) = answer_reader.read_answers(await caller.receive_all())
    assert b'id: 2' in answer.body and answer.is_whole


@relay_rig.with_rig
async def test_sound_answer_is_whole_if_a_health_check_waits_for_a_place(rig):
    """Guards against checks that give up their place in the queue."""

    async def serve(stream):
        request = await relay_rig.read_request(stream)
        if request.startswith(b'GET /health '):
            await trio.sleep(0.8)
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(_HEALTHY)
        elif request:
            await stream.send_all(
                relay_rig.stream_head().replace(
                    b'Transfer-Encoding: chunked\r\n', b''
                )
                + relay_rig.encode_event(1)
            )
        await stream.aclose()

    rig.dialer.hosts_with_own_health.add('10.0.0.1')
    rig.add_server('model', 1, serve)
    caller = rig.connect()
    await caller.send('/stream/x', *_PROMPT, 'Connection: close')
    (answer,) = answer_reader.read_answers(await caller.receive_all())
    assert answer.is_whole


@relay_rig.with_rig
async def test_answers_that_end_one_by_one_share_checks_of_a_full_server(rig):
    """Guards against as many checks as ends while a server refuses them."""
    asked = []

    async def serve(stream):
        if await relay_rig.read_request(stream):
            asked.append(trio.current_time())
            await stream.send_all(_FULL)

    rig.dialer.hosts_with_own_health.add('10.0.0.1')
    rig.add_server('plain', 1, serve)
    (server,) = rig.servers.usable('plain')

    async def check(due_s):
        await rig.prover.health.check(server, '/health', due_s)

    async with trio.open_nursery() as nursery:
        for _ in range(100):
            nursery.start_soon(check, rig.clock.boot_s())
            await trio.sleep(0.01)
    assert len(asked) <= 11


@relay_rig.with_rig
async def test_ends_at_a_server_that_refuses_checks_cost_few_connections(rig):
    """Guards against a look at the address after each refusal."""
    gate = trio.Event()
    gate.set()
    rig.dialer.hosts_with_own_health.add('10.0.0.1')
    rig.add_server('model', 1, _close_together(gate, _FULL), slots=100)

    async def call(number):
        caller = rig.connect()
        await caller.send(
            '/stream/x', *_PROMPT, 'Connection: close', request_id=f'r{number}'
        )
        await caller.receive_all()

    async with trio.open_nursery() as nursery:
        for number in range(20):
            nursery.start_soon(call, number)
            await trio.sleep(0.013)
    # Among them are 20 for the requests, and 3 that are watched.
    assert len(rig.dialer.connected_hosts) <= 120


@pytest.mark.parametrize('full_s', [0.3, 1.0, 3.0])
def test_sound_answer_of_a_full_server_is_whole_once_it_has_a_place(full_s):
    """Guards against answers that break since a server is full."""

    async def play(rig):
        gate = trio.Event()
        gate.set()
        serve_answer = _close_together(gate, _HEALTHY)
        serve_full = _close_together(gate, _FULL)

        async def serve(stream):
            is_full = trio.current_time() - start_s < full_s
            await (serve_full if is_full else serve_answer)(stream)

        rig.dialer.hosts_with_own_health.add('10.0.0.1')
        rig.add_server('model', 1, serve)
        start_s = trio.current_time()
        caller = rig.connect()
        await caller.send('/stream/x', *_PROMPT, 'Connection: close')
        (answer,) = answer_reader.read_answers(await caller.receive_all())
        assert answer.is_whole == (full_s < 1.5)

    relay_rig.with_rig(play)()


@pytest.mark.parametrize('path', ['/stream/x', '/once/x', '/any/x'])
def test_end_is_not_told_of_a_service_without_a_health_check(path):
    """Guards against cut answers that look whole since nobody is asked."""

    async def play(rig):
        services = relay_rig.decoded_configuration()['services']
        for service in services:
            del service['health-path']
        rig.confirm_configuration(
            relay_rig.encode_configuration(version=8, services=services)
        )
        gate = trio.Event()
        gate.set()
        for number, service in enumerate(('model', 'plain'), 1):
            rig.add_server(service, number, _close_together(gate, b''))
        caller = rig.connect()
        await caller.send(path, *_PROMPT, 'Connection: close')
        (answer,) = answer_reader.read_answers(await caller.receive_all())
        assert answer.status == 502 or not answer.is_whole

    relay_rig.with_rig(play)()
