"""One node's request path to servers that name a bound on rejections."""

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.dispatch import brittle_shares
from foxtailrelay_node.internal.relay.dispatch import dispatcher
from foxtailrelay_node.internal.relay.state import topic_store
import trio

from common import relay_rig

_SLOTS = 2
_CALL = messages.PlaceCall(
    'r1', 'plain', (), (), 0, 0, 500, 4000, 1, 'a', False, (), 1
)


def _brittle_backend(rig, requests):
    async def serve(stream):
        while await relay_rig.read_request(stream):
            requests.append(stream)
            await trio.sleep(1.0)
            await stream.send_all(
                relay_rig.success_response(extra='Server-Brittle: 2\r\n')
            )

    return serve


async def _call(rig, count):
    """Send requests at the same time and return the status of each."""
    rig.confirm_configuration(relay_rig.encode_configuration())
    statuses = []

    async def call_once():
        caller = rig.connect()
        await caller.send('/once/x')
        statuses.append(relay_rig.status_code(await caller.receive()))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(call_once)
    return statuses


@relay_rig.with_rig
async def test_no_more_requests_than_slots_reach_a_brittle_server(rig):
    """Guards against LIMIT; the rest are refused at once, as not run."""
    requests = []
    rig.add_server('plain', 1, _brittle_backend(rig, requests), slots=_SLOTS)
    assert await _call(rig, 1) == [200]
    start_s = trio.current_time()
    statuses = await _call(rig, 5)
    assert sorted(statuses) == [200, 200, 503, 503, 503]
    assert len(requests) == 1 + _SLOTS
    assert trio.current_time() - start_s < 1.1


@relay_rig.with_rig
async def test_new_server_of_a_brittle_service_is_not_overfilled(rig):
    """Guards against LIMIT at a server that has answered nobody yet."""
    rig.add_server('plain', 1, _brittle_backend(rig, []), slots=_SLOTS)
    assert await _call(rig, 1) == [200]
    requests = []
    rig.add_server('plain', 2, _brittle_backend(rig, requests), slots=_SLOTS)
    statuses = await _call(rig, 8)
    assert statuses.count(200) == 2 * _SLOTS
    assert len(requests) == _SLOTS


@relay_rig.with_rig
async def test_bound_that_is_no_longer_named_ends(rig):
    rig.add_server('plain', 1, relay_rig.scripted_backend(), slots=_SLOTS)
    (server,) = rig.servers.usable('plain')
    rig.servers.brittleness.record_answer(server, 3.0)
    assert rig.servers.rejection_bound_per_s('plain') == 3.0
    rig.servers.brittleness.record_answer(server, None)
    assert rig.servers.rejection_bound_per_s('plain') == 3.0
    rig.servers.brittleness.record_answer(server, float('inf'))
    assert rig.servers.rejection_bound_per_s('plain') is None


@relay_rig.with_rig
async def test_dispatcher_places_plain_requests_only_at_brittle_servers(rig):
    rig.add_server('plain', 1, relay_rig.scripted_backend(), slots=_SLOTS)
    assert not rig.dispatcher.handle_call(_CALL).is_judged
    (server,) = rig.servers.usable('plain')
    rig.servers.brittleness.record_answer(server, 1.0)
    answers = [
        rig.dispatcher.handle_call(_CALL._replace(booking=number))
        for number in range(4)
    ]
    assert [bool(answer.server) for answer in answers] == [
        True,
        True,
        False,
        False,
    ]
    rig.dispatcher.handle_note(
        messages.PlaceNote(0, messages.PlaceEvent.FAILED, 0, False, True)
    )
    answer = rig.dispatcher.handle_call(_CALL._replace(booking=9))
    assert not answer.server
    assert answer.retry_after_ms > 0


@relay_rig.with_rig
async def test_dispatcher_beside_another_one_uses_only_safe_places(rig):
    """Guards against LIMIT: each of two dispatchers uses the whole bound."""
    rig.add_server('plain', 1, relay_rig.scripted_backend(), slots=4)
    (server,) = rig.servers.usable('plain')
    rig.servers.brittleness.record_answer(server, 2.0)
    substitute = dispatcher.Dispatcher(
        rig.servers,
        rig.state,
        rig.quarantine,
        rig.loads,
        rig.clock,
        lambda service: True,
    )
    load = messages.ServerLoad('s1', 3, 0)
    for _ in range(9):
        rig.loads.record_peer_loads('n2', [load], 0.0)
        assert not substitute.handle_call(_CALL).server
        await trio.sleep(1.0)
    rig.loads.record_peer_loads('n2', [load._replace(running=2)], 0.0)
    assert substitute.handle_call(_CALL).server


class _Selector:
    def limit_share(self, server_id, limit_per_s):
        return 0.5


@relay_rig.with_rig
async def test_node_without_a_dispatcher_uses_no_place_that_peers_use(rig):
    """Guards against LIMIT while a dispatcher is slow to answer."""
    rig.add_server('plain', 1, relay_rig.scripted_backend(), slots=4)
    servers = rig.servers.usable('plain')
    shares = brittle_shares.BrittleShares(rig.loads, rig.clock, _Selector())
    load = messages.ServerLoad('s1', 3, 0)
    rig.loads.record_peer_loads('n2', [load], 0.0)
    assert not shares.with_room(servers, 2.0)
    rig.loads.record_peer_loads('n2', [load._replace(running=2)], 0.0)
    assert shares.with_room(servers, 2.0)


@relay_rig.with_rig
async def test_servers_that_replace_brittle_ones_are_not_overfilled(rig):
    """Guards against LIMIT after all servers have fallen over at once."""
    rig.add_server('plain', 1, relay_rig.scripted_backend(), slots=_SLOTS)
    (server,) = rig.servers.usable('plain')
    rig.servers.brittleness.record_answer(server, 3.0)
    assert rig.servers.rejection_bound_per_s('plain') == 3.0
    rig.servers.handle_records([topic_store.KeyedRecord('s1', 5, None)])
    rig.add_server('plain', 2, relay_rig.scripted_backend(), slots=_SLOTS)
    assert rig.servers.rejection_bound_per_s('plain') == 3.0
    await trio.sleep(11.0)
    assert rig.servers.rejection_bound_per_s('plain') is None


@relay_rig.with_rig
async def test_server_that_only_the_dispatcher_lists_is_left_out(rig):
    """Guards against LIMIT: a node that chooses beside its dispatcher."""
    rig.add_server('plain', 1, _brittle_backend(rig, []), slots=1)
    assert await _call(rig, 1) == [200]
    asked = []

    def handle_call(call):
        asked.append(call.excluded)
        name = 's1' if 's9' in call.excluded else 's9'
        return messages.PlaceAnswer(name, 0, 0, 0, 0, 100, '', 0, True)

    rig.dispatcher.handle_call = handle_call
    assert await _call(rig, 1) == [200]
    assert asked == [(), ('s9',)]
