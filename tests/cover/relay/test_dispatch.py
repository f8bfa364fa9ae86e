"""One node places all requests; its failure delays them only briefly."""

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.dispatch import dispatch_client
from foxtailrelay_node.internal.relay.dispatch import dispatcher_selector
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import exchange_server
from foxtailrelay_node.internal.relay.peers import node_identity
from foxtailrelay_node.internal.relay.peers import peer_table
import pytest
import trio
from trio import testing

from common import fake_clocks
from common import relay_rig

_PEER_HOST = '10.9.0.2'
_CALL = messages.PlaceCall(
    'r1', 'model', ('aa',), (900,), 900, 80, 500, 9000, 0, 'a', False, (), 1
)


def _report(centicores=100, is_leaving=False, host=_PEER_HOST):
    return messages.NodeReport(
        'a', host, 80, is_leaving, (), (), (), (), centicores
    )


def _copy(node_id, sequence=1, **report):
    body = messages.encode_report(_report(**report))
    return messages.ReportCopy(node_id, 1, sequence, 0, body)


def _add_peer(rig, serve):
    """Add a peer with more cores; ``serve`` handles its connections."""
    rig.table.merge_report(_copy('n2', centicores=1000))
    rig.dialer.backend_by_host[_PEER_HOST] = serve


def _serve(rig):
    """Return a server that answers with the rig's own dispatcher."""
    return exchange_server.ExchangeServer(
        None,
        60.0,
        rig.clock,
        rig.dispatcher,
        rig.origins,
        rig.tunnel_server,
        rig.signs,
        rig.memory,
    ).serve_connection


def _stream_backend(requests):
    return relay_rig.scripted_backend(
        relay_rig.stream_head()
        + relay_rig.encode_chunk(relay_rig.encode_event(1))
        + relay_rig.LAST_CHUNK,
        requests=requests,
    )


async def _send_request(rig):
    caller = rig.connect()
    await caller.send('/stream/x')
    return await caller.receive()


@relay_rig.with_rig
async def test_more_powerful_peer_places_and_receives_the_outcome(rig):
    requests = []
    rig.add_server('model', 1, _stream_backend(requests))
    calls, notes = [], []
    answer, note = rig.dispatcher.handle_call, rig.dispatcher.handle_note
    rig.dispatcher.handle_call = lambda c: (calls.append(c), answer(c))[1]
    rig.dispatcher.handle_note = lambda n: (notes.append(n), note(n))[1]
    _add_peer(rig, _serve(rig))
    assert relay_rig.status_code(await _send_request(rig)) == 200
    await trio.sleep(0.1)
    assert [call.request_id for call in calls] == ['r1']
    assert [n.event for n in notes] == [
        messages.PlaceEvent.BEGUN,
        messages.PlaceEvent.DONE,
    ]
    assert {n.booking for n in notes} == {calls[0].booking}


@relay_rig.with_rig
async def test_unresponsive_dispatcher_delays_only_two_requests(rig):
    async def unresponsive(stream):
        async for _ in stream:
            pass

    _add_peer(rig, unresponsive)
    for limit_s in (0.25, 0.25, 0.02):
        rig.add_server('model', 1, _stream_backend([]))
        start_s = trio.current_time()
        assert relay_rig.status_code(await _send_request(rig)) == 200
        assert trio.current_time() - start_s <= limit_s


@relay_rig.with_rig
async def test_unreachable_dispatcher_is_bypassed(rig):
    rig.add_server('model', 1, _stream_backend([]))
    rig.table.merge_report(_copy('n2', centicores=1000))
    assert relay_rig.status_code(await _send_request(rig)) == 200


@relay_rig.with_rig
async def test_server_listed_only_by_the_dispatcher_is_not_used(rig):
    requests = []
    rig.add_server('model', 1, _stream_backend(requests))
    rig.dispatcher.handle_call = lambda call: messages.PlaceAnswer(
        'unheard-of', 20_000, 900, 0, 0, 100, 'soonest', 0, True
    )
    assert relay_rig.status_code(await _send_request(rig)) == 200
    assert len(requests) == 1


@relay_rig.with_rig
async def test_refusal_by_the_dispatcher_is_answered_at_once_as_not_run(rig):
    requests = []
    rig.add_server('model', 1, _stream_backend(requests))
    rig.dispatcher.handle_call = lambda call: messages.PlaceAnswer(
        '', 0, 0, 0, 0, 0, 'too late', 1500, True
    )
    answer = await _send_request(rig)
    assert relay_rig.status_code(answer) == 503
    assert b'retry-after: 1.5' in answer.lower()
    assert not requests


@relay_rig.with_rig
async def test_caller_disconnect_during_dispatch_cancels_the_reservation(
    rig,
):
    notes = []
    rig.dispatcher.handle_note = notes.append
    rig.add_server('model', 1, _stream_backend([]))
    serve = _serve(rig)

    async def slow(stream):
        await trio.sleep(0.15)
        await serve(stream)

    _add_peer(rig, slow)
    caller = rig.connect()
    await caller.send('/stream/x')
    await trio.sleep(0.05)
    await caller.stream.aclose()
    await trio.sleep(1.0)
    assert [n.event for n in notes] == [messages.PlaceEvent.LEFT]


@relay_rig.with_rig
async def test_reservations_that_are_never_ended_expire(rig):
    rig.add_server('model', 1, _stream_backend([]))
    for booking in range(5):
        rig.dispatcher.handle_call(_CALL._replace(booking=booking))
    assert rig.dispatcher.handle_call(_CALL._replace(booking=9)).running == 5
    await trio.sleep(10)
    rig.dispatcher.expire_reservations()
    answer = rig.dispatcher.handle_call(_CALL._replace(booking=10))
    assert (answer.running, answer.pending_tokens) == (0, 0)


@relay_rig.with_rig
async def test_engine_that_fails_for_one_node_is_avoided_for_all(rig):
    for index in (1, 2):
        rig.add_server('model', index, _stream_backend([]))
    first = rig.dispatcher.handle_call(_CALL)
    rig.dispatcher.handle_note(
        messages.PlaceNote(1, messages.PlaceEvent.FAILED, 0)
    )
    for booking in range(2, 6):
        answer = rig.dispatcher.handle_call(_CALL._replace(booking=booking))
        assert answer.server != first.server


@relay_rig.with_rig
async def test_retry_after_grows_with_the_length_of_an_overload(rig):
    rig.add_server('model', 1, _stream_backend([]))
    call = _CALL._replace(urgency=1, prompt_tokens=60_000)
    retry_after_s = []
    for booking in range(100):
        answer = rig.dispatcher.handle_call(call._replace(booking=booking))
        if not answer.server:
            retry_after_s.append(answer.retry_after_ms / 1000)
        await trio.sleep(0.1)
    assert retry_after_s[0] < 0.6
    assert retry_after_s[-1] == 3.0
    await trio.sleep(10)
    rig.dispatcher.expire_reservations()
    assert rig.dispatcher.handle_call(call._replace(prompt_tokens=900)).server


@relay_rig.with_rig
async def test_engine_in_the_callers_zone_is_preferred_among_equals(rig):
    for index, zone in enumerate('bacd'):
        rig.add_server('model', index, _stream_backend([]), zone=zone)
    zones = {}
    for booking, zone in enumerate('abcd'):
        answer = rig.dispatcher.handle_call(
            _CALL._replace(booking=booking, zone=zone, part_ids=(zone,))
        )
        zones[zone] = rig.servers.find_usable(answer.server).zone
    assert zones == {zone: zone for zone in 'abcd'}


@relay_rig.with_rig
async def test_node_without_configuration_makes_no_decision(rig):
    rig.state.table = None
    assert not rig.dispatcher.handle_call(_CALL).is_judged


def _table_and_selector(clock, own, centicores=100):
    identity = node_identity.NodeIdentity(
        'c', own, 'a', '10.9.0.9', 80, 1, centicores
    )
    table = peer_table.PeerTable(own, clock)
    return table, dispatcher_selector.DispatcherSelector(
        identity, table, clock
    )


def test_all_nodes_choose_the_same_powerful_node():
    clock = fake_clocks.ManualClock()
    cores = {f'n{i}': 215 if i < 4 else 39 for i in range(20)}
    chosen = set()
    for own in cores:
        table, selector = _table_and_selector(clock, own, cores[own])
        for node, centicores in cores.items():
            table.merge_report(_copy(node, centicores=centicores))
        peer = selector.choose('model')
        chosen.add(own if peer is None else peer.copy.node_id)
    assert len(chosen) == 1
    assert cores[chosen.pop()] == 215


def test_leaving_or_unresponsive_node_is_not_chosen():
    clock = fake_clocks.ManualClock()
    table, selector = _table_and_selector(clock, 'n1')
    table.merge_report(_copy('n2', centicores=1000))
    peer = selector.choose('model')
    selector.record_timeout(peer)
    selector.record_answer(peer)
    selector.record_timeout(peer)
    assert selector.choose('model') is peer
    selector.record_timeout(peer)
    assert selector.choose('model') is None
    clock.now_s += 1.9
    table.merge_report(_copy('n2', sequence=2, centicores=1000))
    assert selector.choose('model') is None
    clock.now_s += 0.2
    assert selector.choose('model').copy.node_id == 'n2'
    table.merge_report(
        _copy('n2', sequence=3, centicores=1000, is_leaving=True)
    )
    assert selector.choose('model') is None


@relay_rig.with_rig
async def test_closed_connection_is_reopened(rig):
    address = address_book.PeerAddress(_PEER_HOST, 80)
    client = dispatch_client.DispatchClient(rig.dialer)
    rig.nursery.start_soon(client.run)
    rig.add_server('model', 1, _stream_backend([]))
    rig.dialer.backend_by_host[_PEER_HOST] = exchange_server.ExchangeServer(
        None,
        0.5,
        rig.clock,
        rig.dispatcher,
        rig.origins,
        rig.tunnel_server,
        rig.signs,
        rig.memory,
    ).serve_connection
    await testing.wait_all_tasks_blocked()
    for _ in range(2):
        answer = await client.request_placement(address, _CALL, 0.2)
        assert answer.is_judged
        await trio.sleep(1.0)
    assert rig.dialer.connected_hosts.count(_PEER_HOST) == 2


@relay_rig.with_rig
async def test_dispatcher_refuses_a_part_that_ended_servers_of_all_nodes(rig):
    """Guards against crashes that nodes only report later."""
    call = _CALL._replace(part_ids=('bad', 'cc'), part_tokens=(900, 100))
    for number in range(4):
        rig.add_server('model', number, _stream_backend([]))
        answer = rig.dispatcher.handle_call(call._replace(booking=number))
        assert answer.is_quarantined == (number == 3)
        note = messages.PlaceNote(number, messages.PlaceEvent.FAILED, 0, True)
        (_, decoded) = messages.decode(messages.encode(1, note))
        rig.dispatcher.handle_note(decoded)
        rig.servers.handle_records([])
        await trio.sleep(1.0)
    assert answer.is_judged
    assert not answer.server
    assert answer.retry_after_ms > 500_000


@relay_rig.with_rig
async def test_refusal_for_a_part_reaches_the_caller_with_its_kind(rig):
    rig.add_server('model', 1, _stream_backend([]))
    rig.dispatcher.handle_call = lambda call: messages.PlaceAnswer(
        '', 0, 0, 0, 0, 0, 'part bad', 9000, True, True
    )
    answer = await _send_request(rig)
    assert relay_rig.status_code(answer) == 503
    assert b'prompt-quarantined' in answer
    assert b'retry-after: 9' in answer.lower()


@relay_rig.with_rig
async def test_dispatcher_keeps_the_limit_of_an_engine(rig):
    """Guards against nodes that are sent to an engine beyond its limit."""
    rig.add_server('model', 1, _stream_backend([]))
    (server,) = rig.servers.usable('model')
    rig.servers.limits.record_answer(server, 2.0)
    start_s = trio.current_time()
    placed = 0
    for number in range(200):
        answer = rig.dispatcher.handle_call(_CALL._replace(booking=number))
        placed += bool(answer.server)
        assert answer.is_counted == bool(answer.server)
        if not answer.server:
            assert answer.is_judged
            assert answer.retry_after_ms > 0
        await trio.sleep(0.02)
    seconds = trio.current_time() - start_s
    assert 0.7 * 2.0 * seconds <= placed <= 1.5 * 2.0 * seconds + 5


@relay_rig.with_rig
async def test_node_knows_a_limit_that_the_dispatcher_does_not(rig):
    """Guards against a limit that is broken until reports arrive."""
    requests = []
    head = relay_rig.stream_head().replace(
        b'Response-Seal', b'Server-Limit: 0\r\nResponse-Seal'
    )
    event = relay_rig.encode_chunk(relay_rig.encode_event(1))
    answer = head + event + relay_rig.LAST_CHUNK
    rig.add_server(
        'model',
        1,
        relay_rig.scripted_backend(*[answer] * 9, requests=requests),
    )
    rig.dispatcher.handle_call = lambda call: messages.PlaceAnswer(
        's1', 20_000, 900, 0, 0, 100, 'soonest', 0, True
    )
    for _ in range(5):
        await _send_request(rig)
    assert len(requests) <= 2


@relay_rig.with_rig
async def test_without_a_dispatcher_engines_without_a_limit_are_preferred(rig):
    """Guards against a limit used by nodes and by a slow dispatcher."""

    async def unresponsive(stream):
        async for _ in stream:
            pass

    _add_peer(rig, unresponsive)
    limited = []
    rig.add_server('model', 1, _stream_backend(limited))
    (server,) = rig.servers.usable('model')
    rig.servers.limits.record_answer(server, 100.0)
    # After two timeouts the node is the dispatcher, and counts the limit.
    for _ in range(2):
        rig.add_server('model', 2, _stream_backend([]))
        assert relay_rig.status_code(await _send_request(rig)) == 200
    assert limited == []


@pytest.mark.parametrize(
    'disconnects, reports, incarnation, kept',
    [
        (True, False, 1, 0),
        (False, True, 2, 0),
        # Frozen or slow, cut off from this node only, or leaving.
        (False, False, 1, 3),
        (True, True, 1, 3),
    ],
)
def test_reservations_of_a_node_end_with_its_process(
    disconnects, reports, incarnation, kept
):
    """Guards against places that a killed node keeps."""

    @relay_rig.with_rig
    async def play(rig):
        near, far = testing.memory_stream_pair()
        rig.add_server('model', 1, _stream_backend([]))
        rig.table.merge_report(_copy('n2'))
        rig.nursery.start_soon(_serve(rig), far)
        frames = messages.FrameStream(near, messages.TrafficCount())
        for number in range(3):
            call = _CALL._replace(
                booking=number, answer_tokens=900, node_id='n2', incarnation=1
            )
            await frames.send(1, call)
            await frames.receive()
        if disconnects:
            await near.aclose()
        await trio.sleep(3.0)
        if reports:
            copy = _copy('n2', sequence=2, is_leaving=True)
            rig.table.merge_report(copy._replace(incarnation=incarnation))
        rig.dispatcher.expire_reservations()
        rig.dispatcher.release_ended(rig.table)
        assert rig.dispatcher.handle_call(_CALL).running == kept

    play()
