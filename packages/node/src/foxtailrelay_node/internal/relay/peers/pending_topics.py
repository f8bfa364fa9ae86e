"""What an exchange between nodes asks for and has been asked for."""

import typing

from foxtailrelay_core import messages


class PendingTopics(typing.NamedTuple):
    """Topic requests and records to send with the next exchange.

    Parameters
    ----------
    wants : tuple of TopicWant
        Records to request from the peer.
    topics : tuple of TopicRecords
        Records that the peer requested.
    """

    wants: tuple[messages.TopicWant, ...]
    topics: tuple[messages.TopicRecords, ...]

    @property
    def is_urgent(self) -> bool:
        """Whether the exchange should be sent without delay."""
        return bool(self.wants or self.topics)


NO_PENDING_TOPICS = PendingTopics((), ())
