"""Streams go on at the software version that began them, or not at all."""

import itertools
import random

from foxtailrelay_core import errors
from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import version_history
from foxtailrelay_node.internal.relay.peers import stream_origins
from foxtailrelay_node.internal.relay.policy import stream_version
from foxtailrelay_node.internal.relay.state import topic_store
import pytest
import trio

from common import origin_network
from common import relay_rig
from common import virtual_time

_TOKENS = 'Token-Counts: 100,20'
_NUMBERS = itertools.count()
_ORIGIN = messages.StreamOrigin(
    'r1', 'model', 'v1', 's1', 1, 'f', True, 30_000
)


def _server(version, server_id='s1', started_ms=1):
    return backend_server.BackendServer(
        server_id, 'model', 'h', 1, 'a', 8, False, False, started_ms, version
    )


@pytest.mark.parametrize(
    'origin, sole_version, is_current, allowed',
    [
        (_ORIGIN, '', True, {'v1'}),
        (_ORIGIN, 'v2', True, {'v1'}),
        (_ORIGIN, 'v1', False, None),
        (_ORIGIN._replace(is_certain=False), 'v1', True, None),
        (None, '', True, None),
        (None, 'v2', True, {'v2'}),
        (None, 'v2', False, None),
    ],
)
def test_version_is_required_only_where_it_is_known(
    origin, sole_version, is_current, allowed
):
    found = stream_version.resolve(origin, sole_version, is_current)
    if allowed is None:
        assert isinstance(found, stream_version.Unresolved)
        return
    versions = {v for v in ('', 'v1', 'v2') if found.allows(_server(v))}
    assert versions == allowed


def test_stream_of_an_unknown_version_goes_on_at_its_instance_only():
    """Guards against entries without a version, which are not alike."""
    found = stream_version.resolve(_ORIGIN._replace(version=''), '', True)
    assert found.allows(_server('', 's1', 1))
    assert not found.allows(_server('', 's1', 2))
    assert not found.allows(_server('', 's2', 1))


def test_sole_version_needs_a_time_without_another_one():
    history = version_history.VersionHistory()
    history.record('model', 'v1', 0.0)
    assert history.find_sole('model', {'v1'}, 59.0, 60.0) == ''
    assert history.find_sole('model', {'v1'}, 61.0, 60.0) == 'v1'
    history.record('model', 'v2', 70.0)
    assert history.find_sole('model', {'v1'}, 129.0, 60.0) == ''
    assert history.find_sole('model', {'v1'}, 131.0, 60.0) == 'v1'
    assert history.find_sole('model', {'v1', ''}, 131.0, 60.0) == ''


def _stream_backend(first, last, requests, is_cut=False):
    """Return an engine that sends some events, then ends the stream."""
    events = [
        relay_rig.encode_chunk(relay_rig.encode_event(number))
        for number in range(first, last + 1)
    ]
    answer = relay_rig.stream_head('q') + b''.join(events)

    async def serve(stream):
        while request := await relay_rig.read_request(stream):
            requests.append(request)
            await stream.send_all(answer)
            if is_cut:
                await stream.aclose()
                return
            await stream.send_all(relay_rig.LAST_CHUNK)

    return serve


async def _send(rig, *headers, request_id='q', key='k1', body=b'prompt'):
    tenants = [
        {'name': 'org', 'api-keys': ['k1']},
        {'name': 'other', 'api-keys': ['k2']},
    ]
    rig.confirm_configuration(
        relay_rig.encode_configuration(100 + next(_NUMBERS), tenants=tenants)
    )
    caller = rig.connect()
    await caller.send(
        '/resume/x',
        _TOKENS,
        *headers,
        request_id=request_id,
        key=key,
        body=body,
    )
    return await caller.receive()


async def _begin(rig, **changes):
    """Begin a stream at an engine that ends after two events."""
    rig.add_server(
        'model', 1, _stream_backend(1, 2, [], is_cut=True), **changes
    )
    answer = await _send(rig)
    assert b'id: 2' in answer
    del rig.dialer.backend_by_host['10.0.0.1']


_RESUMED = ('Last-Event-Id: 2', 'Resumes: q')


def _check_refused(answer, kind):
    assert relay_rig.status_code(answer) == 503
    assert kind.value.encode() in answer
    assert b'not-run' in answer
    assert b'retry-after' not in answer.lower()


@relay_rig.with_rig
async def test_stream_goes_on_at_its_version_only(rig):
    await _begin(rig)
    other, same = [], []
    for index in range(2, 6):
        backend = _stream_backend(3, 4, other)
        rig.add_server('model', index, backend, version='v2')
    rig.add_server('model', 7, _stream_backend(3, 4, same))
    answer = await _send(rig, *_RESUMED)
    assert relay_rig.status_code(answer) == 200
    assert (len(same), other) == (1, [])
    assert b'last-event-id: 2' in same[0].lower()


@relay_rig.with_rig
async def test_stream_without_a_server_of_its_version_is_refused_at_once(rig):
    """Guards against a caller that waits for a version that is gone."""
    await _begin(rig)
    rig.add_server('model', 1, None, version='v2', born=2)
    requests = []
    rig.add_server('model', 2, _stream_backend(3, 4, requests), version='v2')
    start_s = trio.current_time()
    answer = await _send(rig, *_RESUMED)
    assert trio.current_time() - start_s < 0.05
    _check_refused(answer, errors.ErrorKind.STREAM_VERSION_GONE)
    assert requests == []


@pytest.mark.parametrize(
    'headers, key, body',
    [
        (('Last-Event-Id: 2',), 'k1', b'prompt'),
        (('Last-Event-Id: 2', 'Resumes: '), 'k1', b'prompt'),
        (('Last-Event-Id: 2', 'Resumes: never-sent'), 'k1', b'prompt'),
        (_RESUMED, 'k2', b'prompt'),
        (_RESUMED, 'k1', b'another prompt'),
    ],
)
def test_stream_of_an_unknown_origin_is_refused_at_once(headers, key, body):
    """Guards against a version that is guessed."""

    async def main():
        async with trio.open_nursery() as nursery:
            rig = relay_rig.RelayRig(nursery)
            await _begin(rig)
            requests = []
            rig.add_server('model', 2, _stream_backend(3, 4, requests))
            answer = await _send(rig, *headers, key=key, body=body)
            _check_refused(answer, errors.ErrorKind.STREAM_ORIGIN_UNKNOWN)
            assert requests == []
            nursery.cancel_scope.cancel()

    virtual_time.run(main)


@relay_rig.with_rig
async def test_server_back_under_its_id_with_another_version_is_not_used(rig):
    """Guards against an id that is taken for a version."""
    await _begin(rig)
    requests = []
    rig.add_server(
        'model', 1, _stream_backend(3, 4, requests), version='v2', born=2
    )
    rig.add_server('model', 2, _stream_backend(3, 4, []))
    answer = await _send(rig, *_RESUMED)
    assert relay_rig.status_code(answer) == 200
    assert requests == []


@pytest.mark.parametrize('version', [None, 7, ['v1'], 'v' * 100])
def test_server_without_a_readable_version_begins_streams_only(version):
    async def main():
        async with trio.open_nursery() as nursery:
            rig = relay_rig.RelayRig(nursery)
            await _begin(rig, version=version)
            requests = []
            for index in (2, 3):
                backend = _stream_backend(3, 4, requests)
                rig.add_server('model', index, backend, version=version)
            answer = await _send(rig, *_RESUMED)
            assert relay_rig.status_code(answer) == 503
            assert requests == []
            nursery.cancel_scope.cancel()

    virtual_time.run(main)


@relay_rig.with_rig
async def test_node_breaks_off_an_answer_that_no_server_may_go_on_with(rig):
    """Guards against answers with events of two versions."""
    rig.add_server('model', 1, _stream_backend(1, 2, [], is_cut=True))
    requests = []
    # Costs more than the first engine, which is in the node's data centre.
    rig.add_server(
        'model', 2, _stream_backend(3, 4, requests), version='v2', zone='b'
    )
    answer = await _send(rig)
    assert b'id: 2' in answer
    assert b'id: 3' not in answer
    assert answer.endswith(b'<closed>')
    assert requests == []


@relay_rig.with_rig
async def test_server_listed_while_another_is_chosen_is_not_used(rig):
    """Guards against a rollout in the moment of a resume."""
    await _begin(rig)
    same, other = [], []
    rig.add_server('model', 2, _stream_backend(3, 4, same))
    place = rig.dispatcher.handle_call

    def list_and_place(call):
        if not other:
            other.append(None)
            rig.add_server(
                'model', 3, _stream_backend(3, 4, other), version='v2'
            )
            call = call._replace(excluded=('s1', 's2'))
        return place(call)

    rig.dispatcher.handle_call = list_and_place
    answer = await _send(rig, *_RESUMED)
    assert relay_rig.status_code(answer) == 200
    assert (len(same), other) == (1, [None])


@relay_rig.with_rig
async def test_resume_without_any_server_may_be_tried_again(rig):
    await _begin(rig)
    rig.servers.handle_records([topic_store.KeyedRecord('s1', 9, None)])
    answer = await _send(rig, *_RESUMED)
    assert relay_rig.status_code(answer) == 503
    assert b'retry-after: 1' in answer.lower()


@relay_rig.with_rig
async def test_node_with_an_old_list_resumes_nothing(rig):
    """Guards against a server that has started again unseen."""
    await _begin(rig)
    requests = []
    rig.add_server('model', 2, _stream_backend(3, 4, requests))
    rig.servers.is_current = lambda: False
    answer = await _send(rig, *_RESUMED)
    assert relay_rig.status_code(answer) == 503
    assert b'retry-after: 0.3' in answer.lower()
    assert requests == []


@relay_rig.with_rig
async def test_stream_that_began_by_an_old_list_is_not_resumed(rig):
    rig.servers.is_current = lambda: False
    await _begin(rig)
    rig.servers.is_current = lambda: True
    requests = []
    rig.add_server('model', 2, _stream_backend(3, 4, requests))
    answer = await _send(rig, *_RESUMED)
    _check_refused(answer, errors.ErrorKind.STREAM_ORIGIN_UNKNOWN)
    assert requests == []


@relay_rig.with_rig
async def test_caller_without_an_origin_is_served_with_a_sole_version(rig):
    """Guards against refusals where no second version was ever listed."""
    requests = []
    rig.add_server('model', 2, _stream_backend(3, 4, requests))
    await trio.sleep(6.1)
    answer = await _send(rig, 'Last-Event-Id: 2')
    assert relay_rig.status_code(answer) == 200
    assert len(requests) == 1


@relay_rig.with_rig
async def test_new_stream_that_names_resumes_is_kept_under_its_own_id(rig):
    rig.add_server('model', 1, _stream_backend(1, 2, [], is_cut=True))
    await _send(rig, 'Resumes: other')
    del rig.dialer.backend_by_host['10.0.0.1']
    rig.add_server('model', 2, _stream_backend(3, 4, []))
    answer = await _send(rig, *_RESUMED)
    assert b'id: 4' in answer


@relay_rig.with_rig
async def test_stream_is_taken_up_twice_under_the_first_id(rig):
    """Guards against an origin that is lost with the second break."""
    await _begin(rig)
    rig.add_server('model', 2, _stream_backend(3, 3, [], is_cut=True))
    answer = await _send(rig, *_RESUMED, request_id='q')
    assert b'id: 3' in answer
    del rig.dialer.backend_by_host['10.0.0.2']
    rig.add_server('model', 3, _stream_backend(4, 4, []))
    answer = await _send(rig, 'Last-Event-Id: 3', 'Resumes: q')
    assert b'id: 4' in answer


def _run(function, *args):
    virtual_time.run(function, *args)


@pytest.mark.parametrize('node_count', [2, 7, 12, 66, 195])
def test_any_node_finds_the_origin_after_two_have_failed(node_count):
    """Guards against streams that end with the node that relayed them."""

    async def main():
        network = origin_network.OriginNetwork(node_count)
        rng = random.Random(node_count)
        for number in range(40):
            relaying = rng.randrange(node_count)
            origin = _ORIGIN._replace(request_id=f'r{number}')
            network.nodes[relaying].record(origin)
            network.fail(relaying)
            asking = rng.choice(sorted(network.live))
            if node_count > 2:
                other = rng.choice(sorted(network.live - {asking}))
                network.fail(other)
            found = await network.find(asking, f'r{number}')
            assert found.origin == origin
            for failed in set(range(node_count)) - network.live:
                network.live.add(failed)

    _run(main)


def test_origin_is_not_found_under_another_request():
    async def main():
        network = origin_network.OriginNetwork(4)
        network.nodes[0].record(_ORIGIN)
        assert (await network.find(1)).origin == _ORIGIN
        assert (await network.find(1, fingerprint='other')).origin is None
        assert (await network.find(1, request_id='r2')).origin is None

    _run(main)


def test_node_that_has_just_started_finds_origins_of_its_peers():
    async def main():
        network = origin_network.OriginNetwork(4)
        network.nodes[0].record(_ORIGIN)
        network.restart(0)
        assert (await network.find(0)).origin == _ORIGIN

    _run(main)


@pytest.mark.parametrize('node_count', [4, 66])
def test_origin_outlives_restarts_of_all_nodes_in_turn(node_count):
    """Guards against origins that are lost as their holders restart."""

    async def main():
        network = origin_network.OriginNetwork(node_count)
        for number in range(120):
            origin = _ORIGIN._replace(request_id=f'r{number}')
            network.nodes[0].record(origin)
        for number in range(node_count):
            network.restart(number)
            for running in set(range(node_count)) - {number}:
                await network.transfers[running].send_to_new_holders()
        network.clock.now_s += 1
        for number in range(120):
            found = await network.find(number % node_count, f'r{number}')
            assert found.origin is not None
        # An origin is kept no longer for having been sent on.
        network.clock.now_s += _ORIGIN.keep_ms / 1000
        assert (await network.find(0, 'r1')).origin is None
        counts = list(network.note_counts)
        for transfer in network.transfers.values():
            await transfer.send_to_new_holders()
        assert network.note_counts == counts

    _run(main)


def test_node_that_has_just_started_asks_for_the_sole_version():
    """Guards against refusals where no second version was ever listed."""

    async def main():
        network = origin_network.OriginNetwork(4)
        for number in (1, 2):
            network.lists[number].sole = 'v1'
        assert (await network.find(0, '')).sole_version == 'v1'
        network.lists[2].sole = 'v2'
        assert (await network.find(0, '')).sole_version == ''

    _run(main)


def test_query_to_failed_nodes_ends_soon():
    """Guards against callers that wait for nodes that do not answer."""

    async def main():
        network = origin_network.OriginNetwork(7)
        network.live = {0}
        start_s = trio.current_time()
        assert (await network.find(0)).origin is None
        assert trio.current_time() - start_s <= 0.2

    _run(main)


def test_messages_and_memory_are_bounded_at_the_planned_size():
    """Guards against origins that all of 195 nodes receive or keep."""

    async def main():
        network = origin_network.OriginNetwork(195)
        for number in range(1000):
            origin = _ORIGIN._replace(request_id=f'r{number}')
            network.nodes[number % 195].record(origin)
        assert sum(network.note_counts) <= 3 * 1000
        assert sum(count > 0 for count in network.note_counts) <= 4
        network.query_count = 0
        await network.find(0, 'never-sent')
        assert network.query_count <= 3

    _run(main)


def test_origins_are_evicted_by_age_and_number(monkeypatch):
    async def main():
        network = origin_network.OriginNetwork(1)
        node = network.nodes[0]
        node.record(_ORIGIN)
        network.clock.now_s += 31.0
        assert (await network.find(0)).origin is None
        monkeypatch.setattr(stream_origins, '_MAX_ORIGINS', 5)
        for number in range(9):
            node.record(_ORIGIN._replace(request_id=f'r{number}'))
        found = [await network.find(0, f'r{number}') for number in range(9)]
        assert [f.origin is None for f in found] == [True] * 4 + [False] * 5

    _run(main)


@pytest.mark.parametrize('started_ms', [2, None])
def test_stream_does_not_go_on_at_an_unlisted_process(started_ms):
    """Guards against the next version of a server, before a list shows it."""

    @relay_rig.with_rig
    async def play(rig):
        await _begin(rig)
        requests = []
        rig.add_server('model', 2, _stream_backend(3, 4, requests))
        rig.dialer.started_ms_by_host['10.0.0.2'] = started_ms
        answer = await _send(rig, *_RESUMED)
        assert relay_rig.status_code(answer) == 503
        assert requests == []

    play()


@relay_rig.with_rig
async def test_stream_begun_at_an_unlisted_process_goes_on_there_only(
    rig,
):
    """Guards against events that count as those of the version before."""
    first, same, other = [], [], []
    rig.add_server('model', 1, _stream_backend(1, 2, first, is_cut=True))
    rig.dialer.started_ms_by_host['10.0.0.1'] = 2
    assert b'id: 2' in await _send(rig)
    rig.add_server('model', 2, _stream_backend(3, 4, other))
    answer = await _send(rig, *_RESUMED)
    _check_refused(answer, errors.ErrorKind.STREAM_VERSION_GONE)
    rig.add_server(
        'model', 1, _stream_backend(3, 4, same), version='v2', born=2
    )
    answer = await _send(rig, *_RESUMED)
    assert relay_rig.status_code(answer) == 200
    assert (len(first), len(same), other) == (1, 1, [])


def _configure_resumable(rig, **route_changes):
    content = relay_rig.decoded_configuration()
    route = next(r for r in content['routes'] if r['name'] == 'resume')
    route.update(route_changes)
    content['services'].append(content['services'][1] | {'name': 'other'})
    rig.confirm_configuration(
        relay_rig.encode_configuration(
            100 + next(_NUMBERS),
            routes=content['routes'],
            services=content['services'],
        )
    )


async def _take_up(rig, *headers):
    caller = rig.connect()
    await caller.send(
        '/resume/x', _TOKENS, *headers, request_id='q', body=b'prompt'
    )
    return await caller.receive()


@pytest.mark.parametrize('headers', [_RESUMED, ('Last-Event-Id: 2',)])
def test_stream_does_not_go_on_at_another_service(headers):
    """Guards against joined streams after a route has moved."""

    @relay_rig.with_rig
    async def play(rig):
        requests = []
        rig.add_server('other', 2, _stream_backend(3, 4, requests))
        await trio.sleep(30.0)
        await _begin(rig)
        _configure_resumable(rig, service='other')
        answer = await _take_up(rig, *headers)
        assert relay_rig.status_code(answer) == 503
        assert requests == []
        await trio.sleep(30.0)
        _configure_resumable(rig, service='other')
        answer = await _take_up(rig, 'Last-Event-Id: 2')
        assert relay_rig.status_code(answer) == 200

    play()


@relay_rig.with_rig
async def test_stream_of_a_split_route_goes_on_at_the_service_that_began_it(
    rig,
):
    """Guards against the service that the caller's new id would choose."""
    same, other = [], []
    await _begin(rig)
    for index in range(2, 6):
        rig.add_server('other', index, _stream_backend(3, 4, other))
    rig.add_server('model', 7, _stream_backend(3, 4, same))
    split = [
        {'service': 'model', 'weight': 1},
        {'service': 'other', 'weight': 99},
    ]
    _configure_resumable(rig, **{'traffic-split': split, 'service': None})
    answer = await _take_up(rig, *_RESUMED)
    assert relay_rig.status_code(answer) == 200
    assert (len(same), other) == (1, [])
