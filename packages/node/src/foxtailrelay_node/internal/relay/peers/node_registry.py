"""Registers this node's address in the store and reads the other ones."""

import json

from foxtailrelay_core import errors
from foxtailrelay_core import record_fields
from foxtailrelay_core import store_position
import logbook
import trio

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.state import rejection_log
from foxtailrelay_node.internal.relay.state import topic_store

_LOG = logbook.Logger('foxtailrelay.peers')
# Interval of registration until it succeeds, and of reads until one succeeds
# and while no peer is live.
_INTERVAL_S = 3.0


class NodeRegistry:
    """The node addresses in the store.

    Parameters
    ----------
    topic : str
        Keyed topic of the node records.
    store : TopicStore
        The store.
    node_id : str
        Name of this node and key of its record.
    own_address : PeerAddress
        Address on which this node accepts connections of peers.
    peers : PeerTable
        Shows whether any peer is live.
    addresses : AddressBook
        Updated with the addresses that were read.
    """

    def __init__(
        self,
        topic: str,
        store: topic_store.TopicStore,
        node_id: str,
        own_address: address_book.PeerAddress,
        peers: peer_table.PeerTable,
        addresses: address_book.AddressBook,
    ) -> None:
        self._topic = topic
        self._store = store
        self._node_id = node_id
        self._own_address = own_address
        self._peers = peers
        self._addresses = addresses
        self._rejections = rejection_log.RejectionLog(clocks.SystemClock())

    async def run(self) -> None:
        """Register and read until cancelled."""
        registered_era = None
        while True:
            # A restore of the store may have lost the record.
            if registered_era is None or (
                registered_era < self._store.known_era()
            ):
                registered_era = await self._register()
            if (
                self._addresses.registered_count() is None
                or not self._peers.live()
            ):
                await self._read_addresses()
            await trio.sleep(_INTERVAL_S)

    async def _register(self) -> int | None:
        """Write this node's record; return its era, None if it failed."""
        value = json.dumps(
            [self._own_address.host, self._own_address.port]
        ).encode()
        result = await self._store.append_keyed(
            self._topic, self._node_id, value
        )
        if isinstance(result, topic_store.Appended):
            return store_position.era_of(result.offset)
        return None

    async def _read_addresses(self) -> None:
        snapshot = await self._store.read_snapshot(self._topic)
        if isinstance(snapshot, topic_store.Snapshot):
            self._addresses.set_registered(self._parse_addresses(snapshot))

    def _parse_addresses(
        self, snapshot: topic_store.Snapshot
    ) -> list[address_book.PeerAddress]:
        """Return the addresses of nodes, except for unreadable records."""
        addresses = []
        for record in snapshot.records:
            try:
                addresses.append(_parse_address(record.value or b''))
            except errors.DECODE_ERRORS as error:
                self._log_rejection(record.key, record_fields.describe(error))
            else:
                self._rejections.forget(record.key)
        return addresses

    def _log_rejection(self, key: str, reason: str) -> None:
        if self._rejections.is_news(key, reason):
            _LOG.warning(
                'node-record-unreadable',
                extra={
                    'key': key,
                    'reason': reason,
                    'effect': 'no node is looked for at its address',
                },
            )


def _parse_address(value: bytes) -> address_book.PeerAddress:
    content = record_fields.parse_json(value)
    if not isinstance(content, list):
        raise ValueError('the record is not a list of host and port')
    host, port = content
    return address_book.PeerAddress(
        *record_fields.host_and_port(host, port, 'node')
    )
