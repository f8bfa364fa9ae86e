"""A list that is behind names no version for a stream that is taken up."""

from foxtailrelay_core import errors
from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.state import topic_follower
from foxtailrelay_node.internal.relay.state import topic_store
import pytest
import trio

from common import origin_network
from common import relay_rig
from common import virtual_time

_TOKENS = 'Token-Counts: 100,20'
_TAKE_UP = ('Last-Event-Id: 2',)
_NAMED_TAKE_UP = ('Last-Event-Id: 2', 'Resumes: never-sent')
# Longer than streams of the route last.
_FOLLOWED_S = 6.1


class _Store(topic_store.TopicStore):
    """A topic of servers, whose records a node reads only if it asks."""

    def __init__(self):
        self.records = []
        self.state = 'answers'
        self.read_count = 0
        self.is_truncating = False

    def put(self, key, value):
        self.records.append(
            topic_store.KeyedRecord(key, len(self.records), value)
        )

    async def read_snapshot(self, topic):
        await self._answer()
        newest = {record.key: record for record in self.records}
        return topic_store.Snapshot(
            tuple(r for r in newest.values() if r.value is not None),
            len(self.records),
        )

    async def read_changes(self, topic, offset, wait_s):
        self.read_count += 1
        if self.state == 'refuses':
            await trio.lowlevel.checkpoint()
            return topic_store.Unavailable('down', False)
        await self._answer()
        return topic_store.Changes(
            tuple(self.records[offset:]), len(self.records)
        )

    async def _answer(self):
        if self.state == 'is silent':
            await trio.sleep(2.0)
        await trio.sleep(0.004)

    async def read_log(self, topic, offset):
        raise NotImplementedError

    async def append_at(self, topic, offset, record):
        raise NotImplementedError

    async def append_keyed(self, topic, key, value):
        raise NotImplementedError


def _stream(first, last, requests):
    events = [
        relay_rig.encode_chunk(relay_rig.encode_event(number))
        for number in range(first, last + 1)
    ]
    answer = relay_rig.stream_head() + b''.join(events)

    async def serve(stream):
        while request := await relay_rig.read_request(stream):
            requests.append(request)
            await stream.send_all(answer)
            await stream.send_all(relay_rig.LAST_CHUNK)

    return serve


class _Node:
    """A rig whose list of servers follows a store."""

    def __init__(self, rig):
        self.rig = rig
        self.store = _Store()
        self.requests = []
        rig.servers.follower = topic_follower.TopicFollower(
            'servers', self.store, rig.servers, rig.health, rig.clock, 1.0
        )

    async def follow(self):
        """List a server of v1 for as long as streams last."""
        self.rig.add_server('model', 1, _stream(3, 4, self.requests))
        self.list_server(1, 'v1')
        await self.read()
        await trio.sleep(_FOLLOWED_S)
        await self.read()

    def list_server(self, index, version, born=1):
        value = relay_rig.encode_server_entry(
            'model', index, version=version, born=born
        )
        self.store.put(f's{index}', value)

    async def read(self):
        await self.rig.servers.follower._read(0.0)

    def confirm_configuration(self):
        """Keep keys valid, however old the list is."""
        self.rig.confirm_configuration(
            relay_rig.encode_configuration(100 + int(trio.current_time()))
        )

    async def take_up(self, headers=_TAKE_UP, confirms_configuration=True):
        if confirms_configuration:
            self.confirm_configuration()
        caller = self.rig.connect()
        await caller.send('/resume/x', _TOKENS, *headers, body=b'prompt')
        return await caller.receive()


def _with_node(function):
    def play(*args):
        async def main():
            async with trio.open_nursery() as nursery:
                await function(_Node(relay_rig.RelayRig(nursery)), *args)
                nursery.cancel_scope.cancel()

        virtual_time.run(main)

    return play


@pytest.mark.parametrize('age_s', [0.1, 1.0, 2.9])
@pytest.mark.parametrize('state', ['answers', 'is silent', 'refuses'])
@pytest.mark.parametrize('headers', [_TAKE_UP, _NAMED_TAKE_UP])
def test_stream_of_an_unread_version_is_not_joined(age_s, state, headers):
    @_with_node
    async def play(node):
        await node.follow()
        node.list_server(2, 'v2')
        node.store.state = state
        await trio.sleep(age_s)
        answer = await node.take_up(headers)
        assert relay_rig.status_code(answer) == 503
        assert b'not-run' in answer
        assert node.requests == []
        # Another node may have read the list.
        is_known_here = state == 'answers'
        assert (b'retry-after' in answer.lower()) is not is_known_here
        if is_known_here:
            kind = errors.ErrorKind.STREAM_ORIGIN_UNKNOWN
            assert kind.value.encode() in answer

    play()


@pytest.mark.parametrize('age_s', [0.1, 1.0, 2.9])
def test_stream_of_the_only_version_is_taken_up_after_a_read(age_s):
    """Guards against refusals where no second version was ever listed."""

    @_with_node
    async def play(node):
        await node.follow()
        await trio.sleep(age_s)
        answer = await node.take_up()
        assert relay_rig.status_code(answer) == 200
        assert len(node.requests) == 1

    play()


def test_take_ups_at_the_same_time_share_reads():
    """Guards against a burst of take-ups that floods the store."""

    @_with_node
    async def play(node):
        await node.follow()
        reads = node.store.read_count
        answers = []

        async def take_up():
            answers.append(await node.take_up())

        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(take_up)
        assert [relay_rig.status_code(a) for a in answers] == [200] * 6
        assert node.store.read_count - reads <= 2

    play()


@pytest.mark.parametrize('node_count', [3, 7, 66])
@pytest.mark.parametrize('peers', ['answer', 'are silent', 'are not live'])
@pytest.mark.parametrize('store', ['answers', 'is away'])
def test_node_out_of_step_names_no_version(node_count, peers, store):
    """Guards against silence of peers that counts as a word for a version."""

    async def main():
        network = origin_network.OriginNetwork(node_count)
        out_of_step = network.lists[0]
        out_of_step.sole = 'v1'
        if store == 'answers':
            # Several versions, once the list is read.
            out_of_step.sole_after_read = ''
        else:
            out_of_step.is_store_away = True
        if peers == 'are silent':
            network.live = {0}
        elif peers == 'are not live':
            network.live = network.reporting = {0}
        for request_id in ('', 'never-sent'):
            found = await network.find(0, request_id)
            assert (found.origin, found.sole_version) == (None, '')

    virtual_time.run(main)


@pytest.mark.parametrize('topic', ['lists', 'routes'])
@pytest.mark.parametrize('peer_end, sole_version', [(6, ''), (7, 'v1')])
def test_peer_that_has_read_less_names_no_version(
    topic, peer_end, sole_version
):
    """Guards against what has come and gone since a peer's read."""

    async def main():
        network = origin_network.OriginNetwork(3)
        copies = getattr(network, topic)
        # The first node has started a moment ago.
        copies[0].end = 7
        copies[1].end = peer_end
        network.lists[1].sole = 'v1'
        found = await network.find(0, '')
        assert found.sole_version == sole_version

    virtual_time.run(main)


@pytest.mark.parametrize('is_store_away', [False, True])
def test_list_is_read_only_where_one_version_is_listed(is_store_away):
    """Guards against reads, and waiting callers, that can change nothing."""

    @_with_node
    async def play(node):
        await node.follow()
        node.list_server(2, 'v2')
        await node.read()
        if is_store_away:
            node.store.state = 'is silent'
        reads, start_s = node.store.read_count, trio.current_time()
        answer = await node.take_up()
        assert relay_rig.status_code(answer) == 503
        assert b'retry-after' not in answer.lower()
        assert node.store.read_count == reads
        assert trio.current_time() - start_s < 0.05

    play()


def test_take_up_at_a_silent_store_is_refused_soon():
    """Guards against callers that wait for a store that is known to fail."""

    @_with_node
    async def play(node):
        await node.follow()
        node.store.state = 'is silent'
        start_s = trio.current_time()
        assert relay_rig.status_code(await node.take_up()) == 503
        assert trio.current_time() - start_s <= 0.55
        node.rig.health.record_failure(
            'servers', 'silent', node.rig.clock.boot_s()
        )
        start_s = trio.current_time()
        assert relay_rig.status_code(await node.take_up()) == 503
        assert trio.current_time() - start_s <= 0.15

    play()


def _copy_of(store, from_offset):
    """Return what a peer with a current copy sends."""
    newest = {r.key: r for r in store.records[from_offset:]}
    return messages.TopicRecords(
        'servers',
        len(store.records),
        0,
        False,
        tuple(
            messages.TopicRecord(
                r.key, r.offset, r.value or b'', r.value is None
            )
            for r in newest.values()
        ),
    )


@pytest.mark.parametrize('source', ['snapshot', 'peer', 'store'])
@pytest.mark.parametrize('has_own_id', [False, True])
def test_stream_of_a_version_that_has_gone_is_not_joined(source, has_own_id):
    """Guards against copies that show only the newest entry of a server."""

    @_with_node
    async def play(node):
        await node.follow()
        node.rig.add_server('model', 2, _stream(3, 4, node.requests))
        node.list_server(2, 'v1')
        await node.read()
        await trio.sleep(_FOLLOWED_S)
        read_end = node.rig.servers.follower.view.end
        key = 3 if has_own_id else 2
        node.list_server(key, 'v2', born=2)
        if has_own_id:
            node.store.put('s3', None)
        else:
            node.list_server(2, 'v1', born=3)
            node.rig.dialer.started_ms_by_host['10.0.0.2'] = 3
        follower = node.rig.servers.follower
        if source == 'snapshot':
            follower._needs_snapshot = True
        elif source == 'peer':
            follower.apply_peer_records(
                _copy_of(node.store, read_end), node.rig.clock.boot_s()
            )
        answer = await node.take_up()
        assert relay_rig.status_code(answer) == 503
        assert node.requests == []
        # The list has been followed without a gap for long enough again.
        await trio.sleep(_FOLLOWED_S)
        await node.read()
        answer = await node.take_up()
        assert relay_rig.status_code(answer) == 200

    play()


def test_heartbeats_that_a_peer_leaves_out_hide_no_version():
    """Guards against refusals at nodes that follow the list through peers."""

    @_with_node
    async def play(node):
        await node.follow()
        read_end = node.rig.servers.follower.view.end
        node.list_server(1, 'v1')
        node.list_server(1, 'v1')
        node.rig.servers.follower.apply_peer_records(
            _copy_of(node.store, read_end), node.rig.clock.boot_s()
        )
        answer = await node.take_up()
        assert relay_rig.status_code(answer) == 200

    play()


def _encode_route_to(service, version):
    content = relay_rig.decoded_configuration()
    route = next(r for r in content['routes'] if r['name'] == 'resume')
    route['service'] = service
    content['services'].append(content['services'][1] | {'name': 'other'})
    return relay_rig.encode_configuration(
        version, routes=content['routes'], services=content['services']
    )


@pytest.mark.parametrize('headers', [_TAKE_UP, _NAMED_TAKE_UP])
@pytest.mark.parametrize('is_store_away', [False, True])
def test_stream_does_not_go_on_by_a_route_that_was_replaced(
    headers, is_store_away
):
    """Guards against joined streams while a configuration is not read yet."""

    @_with_node
    async def play(node):
        await node.follow()
        node.confirm_configuration()
        store = node.rig.store
        store.is_away = is_store_away
        if not is_store_away:
            store.values.append(_encode_route_to('other', 900))
        answer = await node.take_up(headers, confirms_configuration=False)
        assert relay_rig.status_code(answer) == 503
        # Another node, or this one soon, knows the new route.
        assert b'retry-after' in answer.lower()
        assert node.requests == []

    play()


@pytest.mark.parametrize('is_known_long', [False, True])
def test_peer_names_a_version_only_if_it_knows_the_route(is_known_long):
    """Guards against a service that another one has replaced lately."""

    async def main():
        network = origin_network.OriginNetwork(3)
        network.lists[1].sole = 'v1'
        network.routes[1].is_known_long = is_known_long
        found = await network.find(0, '', host='h', path='/resume/x')
        assert found.sole_version == ('v1' if is_known_long else '')

    virtual_time.run(main)


@pytest.mark.parametrize('how', ['start', 'snapshot', 'peer'])
def test_stream_of_a_route_that_was_not_read_is_not_joined(how):
    """Guards against nodes that know a route for less time than servers."""

    @_with_node
    async def play(node):
        await node.follow()
        follower, store = node.rig.follower, node.rig.store
        if how == 'start':
            # The route led elsewhere before the node read a configuration.
            node.rig.state.table = None
            follower._needs_snapshot = True
        begin = follower.view.end
        store.values.append(_encode_route_to('other', 900))
        store.values.append(_encode_route_to('model', 901))
        if how == 'peer':
            record = messages.TopicRecord(
                'config', begin + 1, store.values[-1], False
            )
            follower.apply_peer_records(
                messages.TopicRecords(
                    'configuration', begin + 2, 0, False, (record,)
                ),
                node.rig.clock.boot_s(),
            )
        else:
            follower._needs_snapshot = True
            await follower._read(0.0)
        assert node.rig.state.table.version == 901
        answer = await node.take_up(confirms_configuration=False)
        assert relay_rig.status_code(answer) == 503
        assert node.requests == []

    play()


@pytest.mark.parametrize('node_count', [3, 7, 66])
@pytest.mark.parametrize('is_reporting', [False, True])
@pytest.mark.parametrize('fault', ['silent', 'ended', 'one of them is left'])
def test_isolated_node_names_no_version(node_count, is_reporting, fault):
    """Guards against joined streams of processes that no list shows."""

    async def main():
        network = origin_network.OriginNetwork(node_count)
        holder = network.nodes[0].holders('model')[0]
        network.lists[0].sole = 'v1'
        network.live = {0}
        network.are_ended = fault == 'ended'
        if not is_reporting:
            network.reporting = {0}
        if fault == 'one of them is left':
            network.live.add(int(holder.report.host))
        for request_id in ('', 'never-sent'):
            found = await network.find(0, request_id)
            is_isolated = fault == 'silent'
            assert found.sole_version == ('' if is_isolated else 'v1')
            assert bool(found.failure) is is_isolated

    virtual_time.run(main)
