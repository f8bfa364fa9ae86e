"""Passes the records of the operators' topic on to two listeners."""

import typing

from foxtailrelay_node.internal.relay.rollouts import rollout_board
from foxtailrelay_node.internal.relay.state import topic_follower
from foxtailrelay_node.internal.relay.state import topic_store


class PairedListener(topic_follower.TopicListener):
    """Listens for the configuration, and for orders of version changes.

    Parameters
    ----------
    configuration : TopicListener
        Its versions are those of the topic.
    board : RolloutBoard
        Receives orders.
    """

    def __init__(
        self,
        configuration: topic_follower.TopicListener,
        board: rollout_board.RolloutBoard,
    ) -> None:
        self._configuration = configuration
        self._board = board

    def handle_records(
        self, records: typing.Sequence[topic_store.KeyedRecord]
    ) -> None:
        """Handle changed records."""
        self._board.handle_orders(records)
        self._configuration.handle_records(records)

    def handle_gap(
        self, records: typing.Sequence[topic_store.KeyedRecord] | None
    ) -> None:
        """Handle that configurations may be missing."""
        self._configuration.handle_gap(records)

    def order_of(self, record: topic_store.KeyedRecord) -> typing.Any:
        """Return the place of a configuration among its versions."""
        return self._configuration.order_of(record)

    def content_version(self) -> int:
        """Return the version of the configuration."""
        return self._configuration.content_version()

    def handle_peer_version(self, version: int, is_required: bool) -> None:
        """Handle the configuration version of a peer."""
        self._configuration.handle_peer_version(version, is_required)
