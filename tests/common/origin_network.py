"""Nodes that share the origins of streams, without a network."""

import types

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.dispatch import dispatch_client
from foxtailrelay_node.internal.relay.peers import origin_transfer
from foxtailrelay_node.internal.relay.peers import stream_origins
import trio

from common import fake_clocks


class OriginNetwork:
    """Nodes whose notes arrive at once while both ends run.

    Parameters
    ----------
    node_count : int
        Number of nodes.

    Attributes
    ----------
    clock : ManualClock
        Clock of all nodes.
    nodes : list of StreamOrigins
        The nodes.
    live : set of int
        Nodes that run.
    note_counts : list of int
        Notes that each node has received.
    lists : list
        The nodes' lists; ``sole`` is their sole version, if not empty.
    routes : list
        The nodes' routes; ``is_known_long`` is whether they know where the
        path has led for as long as streams last.
    are_ended : bool
        Whether nodes that do not run refuse connections, or are silent.
    reporting : set of int
        Nodes whose reports still reach the others.
    query_count : int
        Queries of all nodes.
    """

    def __init__(self, node_count):
        self.clock = fake_clocks.ManualClock()
        self.live = set(range(node_count))
        self.reporting = set(range(node_count))
        self.note_counts = [0] * node_count
        self.query_count = 0
        self.lists = [_ServerList() for _ in range(node_count)]
        self.routes = [_Routes() for _ in range(node_count)]
        self.are_ended = False
        self.start_counts = [0] * node_count
        self.transfers = {}
        self.nodes = [self._build(number) for number in range(node_count)]

    def fail(self, number):
        """Let a node fail; its peers still list it as live."""
        self.live.discard(number)

    def restart(self, number):
        """Start a node that has lost what it kept."""
        self.live.add(number)
        self.nodes[number] = self._build(number)

    async def find(
        self, number, request_id='r1', fingerprint='f', host='', path=''
    ):
        """Return what a node finds."""
        query = messages.StreamQuery(
            request_id, 'model', fingerprint, 17_000, host, path
        )
        return await self.nodes[number].find(query)

    def _build(self, number):
        self.start_counts[number] += 1
        peers, client = _Peers(self, number), _Client(self)
        node = stream_origins.StreamOrigins(
            self.lists[number], peers, client, self.clock, self.routes[number]
        )
        self.transfers[number] = origin_transfer.OriginTransfer(
            node, peers, client
        )
        return node


class _Peers:
    """All other nodes, also those that have just failed."""

    def __init__(self, network, own_number):
        self._network = network
        self._starts = network.start_counts
        self._others = [
            types.SimpleNamespace(
                copy=types.SimpleNamespace(node_id=f'n{number}'),
                report=types.SimpleNamespace(host=str(number), peer_port=1),
            )
            for number in range(len(network.note_counts))
            if number != own_number
        ]

    def live(self):
        return [
            peer
            for peer in self.members()
            if int(peer.report.host) in self._network.reporting
        ]

    def members(self):
        for peer in self._others:
            peer.start_id = (
                f'{peer.report.host}/{self._starts[int(peer.report.host)]}'
            )
        return self._others


class _Routes:
    """Routes that have led to one service, as far as they are known."""

    def __init__(self):
        self.is_known_long = True
        self.end = 1

    def find_services(self, host, path):
        return {'model'}

    def leads_only_to(self, service, host, path, window_s):
        return self.is_known_long

    async def confirm(self, timeout_s):
        await trio.lowlevel.checkpoint()
        return True


class _ServerList:
    """A list of which a read may show more.

    Attributes
    ----------
    sole : str
        The only version that the list shows.
    sole_after_read : str or None
        The only version once the store has been read; None if that changes
        nothing.
    is_store_away : bool
        Whether reads fail.
    """

    def __init__(self):
        self.sole = ''
        self.sole_after_read = None
        self.is_store_away = False
        self.end = 1

    def sole_version(self, service, window_s):
        return self.sole

    def versions(self, service):
        return {self.sole or 'v1'}

    async def confirm(self, timeout_s):
        await trio.lowlevel.checkpoint()
        if self.is_store_away:
            return False
        if self.sole_after_read is not None:
            self.sole = self.sole_after_read
        return True


class _Client:
    def __init__(self, network):
        self._network = network

    def send_note(self, address, note, may_connect=False):
        number = int(address.host)
        if number in self._network.live:
            self._network.note_counts[number] += 1
            data = messages.encode(0, note)
            self._network.nodes[number].store(messages.decode(data)[1])

    async def request(self, address, message, timeout_s):
        await trio.lowlevel.checkpoint()
        self._network.query_count += 1
        number = int(address.host)
        if number not in self._network.live:
            if self._network.are_ended:
                return 'connection refused'
            await trio.sleep(timeout_s)
            return dispatch_client.TIMEOUT
        answer = self._network.nodes[number].handle_query(message)
        return messages.decode(messages.encode(1, answer))[1]
