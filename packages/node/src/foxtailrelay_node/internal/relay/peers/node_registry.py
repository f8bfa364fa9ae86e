"""Tells in the store where this node listens, and learns where others do."""

import json

import logbook
import trio

from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.state import topic_store

_LOG = logbook.Logger('foxtailrelay.peers')
# Interval of telling, until it succeeds, and of reading while no peer is
# heard, in seconds.
_INTERVAL_S = 3.0


class NodeRegistry:
    """The record of nodes in the store.

    Parameters
    ----------
    topic : str
        Keyed topic of the record.
    source : RecordSource
        The store.
    node_id : str
        This node's name, the key of its record.
    own : PeerAddress
        Where this node listens for peers.
    table : PeerTable
        Tells whether any peer is heard.
    addresses : AddressBook
        Is told what was read.
    """

    def __init__(
        self,
        topic: str,
        source: topic_store.TopicStore,
        node_id: str,
        own: address_book.PeerAddress,
        table: peer_table.PeerTable,
        addresses: address_book.AddressBook,
    ) -> None:
        self._topic = topic
        self._source = source
        self._node_id = node_id
        self._own = own
        self._table = table
        self._addresses = addresses

    async def run(self) -> None:
        """Tell and read until cancelled."""
        is_told = False
        while True:
            if not is_told:
                is_told = await self._tell()
            if not self._table.live():
                await self._read()
            await trio.sleep(_INTERVAL_S)

    async def _tell(self) -> bool:
        value = json.dumps([self._own.host, self._own.port]).encode()
        result = await self._source.append_keyed(
            self._topic, self._node_id, value
        )
        return isinstance(result, topic_store.Appended)

    async def _read(self) -> None:
        newest = await self._source.read_snapshot(self._topic)
        if isinstance(newest, topic_store.Snapshot):
            self._addresses.set_registered(_addresses_of(newest))


def _addresses_of(
    newest: topic_store.Snapshot,
) -> list[address_book.PeerAddress]:
    """Return where nodes listen; unreadable records are left out."""
    addresses = []
    for record in newest.records:
        try:
            host, port = json.loads(record.value or b'null')
            addresses.append(address_book.PeerAddress(str(host), int(port)))
        except (ValueError, TypeError) as error:
            _LOG.warning(
                'node-record-unreadable',
                extra={'key': record.key, 'reason': str(error)},
            )
    return addresses
