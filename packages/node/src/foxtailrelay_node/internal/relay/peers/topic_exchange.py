"""Builds and applies what an exchange between nodes says of topics."""

import collections
import typing

from foxtailrelay_core import messages
from foxtailrelay_core import store_position
import logbook

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.peers import message_age
from foxtailrelay_node.internal.relay.state import topic_follower

_LOG = logbook.Logger('foxtailrelay.peers')
# Start of a request for all records of a topic.
_ALL_RECORDS = -1
_MAX_LOST_REQUESTS = 20
# Half of a frame, which carries reports as well.
_MAX_TOPIC_BYTES = 4 << 20


class TopicExchange:
    """Compares copies of topics with a peer's, and exchanges records.

    Parameters
    ----------
    followers : tuple of TopicFollower
        The topics that this node follows.
    clock : Clock
        Clock for ages.
    """

    def __init__(
        self,
        followers: tuple[topic_follower.TopicFollower, ...],
        clock: clocks.Clock,
    ) -> None:
        self._followers = followers
        self._clock = clock
        self._lost_requests: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )

    def build_marks(self, now_s: float) -> tuple[messages.TopicMark, ...]:
        """Return how far this node has read each topic."""
        return tuple(self._build_mark(f, now_s) for f in self._followers)

    def apply_marks(
        self, marks: typing.Iterable[messages.TopicMark], requested_at_s: float
    ) -> list[messages.TopicWant]:
        """Take over ages; return what to request where a peer has more."""
        wants = []
        for mark in marks:
            follower = self._follower(mark.topic)
            if follower is None or mark.end < 0:
                continue
            view = follower.view
            is_required = mark.end <= view.end and self._is_lost_version(
                follower, mark.version
            )
            follower.listener.handle_peer_version(mark.version, is_required)
            if is_required and self._may_request_lost(mark):
                wants.append(messages.TopicWant(mark.topic, _ALL_RECORDS))
            if mark.end == view.end:
                as_of_s = requested_at_s - mark.age_ms / 1000
                view.as_of_s = max(view.as_of_s, as_of_s)
            elif mark.end > view.end:
                wants.append(messages.TopicWant(mark.topic, view.end))
        return wants

    def build_topics(
        self, wants: typing.Iterable[messages.TopicWant]
    ) -> typing.Iterator[messages.TopicRecords]:
        """Return records for one message, which the peer has room for.

        The peer asks again for a topic that is left out.
        """
        left_bytes = _MAX_TOPIC_BYTES
        for want in wants:
            topic = self._build_topic_records(want)
            if topic is None:
                continue
            topic_bytes = sum(len(r.value) for r in topic.records)
            if topic_bytes <= left_bytes:
                left_bytes -= topic_bytes
                yield topic

    def apply_records(
        self, answer: messages.TopicRecords, requested_at_s: float
    ) -> None:
        """Apply topic records that were requested from a peer."""
        follower = self._follower(answer.topic)
        if follower is None:
            return
        as_of_s = requested_at_s - answer.age_ms / 1000
        _LOG.info(
            'topic-from-peer',
            extra={
                'topic': answer.topic,
                'end': answer.end,
                'had': follower.view.end,
                'records': len(answer.records),
            },
        )
        follower.apply_peer_records(answer, as_of_s)

    def _build_topic_records(
        self, want: messages.TopicWant
    ) -> messages.TopicRecords | None:
        """Return the records of a topic that a peer requested."""
        follower = self._follower(want.topic)
        if follower is None or not follower.view.is_loaded:
            return None
        view = follower.view
        if view.is_truncated:
            # Which records are left out differs between nodes.
            return None
        is_full, records = view.changes_since(want.from_offset)
        if sum(len(r.value or b'') for r in records) > _MAX_TOPIC_BYTES:
            # The peer reads the store itself once its copy is too old.
            return None
        return messages.TopicRecords(
            want.topic,
            view.end,
            message_age.age_ms(self._clock.boot_s(), view.as_of_s),
            is_full,
            tuple(
                messages.TopicRecord(
                    r.key, r.offset, r.value or b'', r.value is None
                )
                for r in records
            ),
        )

    @staticmethod
    def _is_lost_version(
        follower: topic_follower.TopicFollower, version: int
    ) -> bool:
        """Whether a restore of the store has lost a peer's version.

        The peer has read no further than this node, yet its content is newer.
        """
        return (
            store_position.era_of(follower.view.end) > 0
            and version > follower.listener.content_version()
        )

    def _may_request_lost(self, mark: messages.TopicMark) -> bool:
        """Whether a lost version has not been requested too often already.

        A node that cannot decode the version would request it for ever.
        """
        self._lost_requests[mark.topic, mark.version] += 1
        return (
            self._lost_requests[mark.topic, mark.version] <= _MAX_LOST_REQUESTS
        )

    def _build_mark(
        self, follower: topic_follower.TopicFollower, now_s: float
    ) -> messages.TopicMark:
        view = follower.view
        if not view.is_loaded:
            return messages.TopicMark(follower.topic, -1, 0)
        return messages.TopicMark(
            follower.topic,
            view.end,
            message_age.age_ms(now_s, view.as_of_s),
            follower.listener.content_version(),
        )

    def _follower(self, topic: str) -> topic_follower.TopicFollower | None:
        for follower in self._followers:
            if follower.topic == topic:
                return follower
        return None
