"""Compares local copies of a keyed topic with a model of the topic."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from foxtailrelay_node.internal.relay.state import keyed_view
from foxtailrelay_node.internal.relay.state import topic_store

_KEYS = st.sampled_from(['a', 'b', 'c'])


def _record(key, offset, value):
    return topic_store.KeyedRecord(key, offset, value)


class TopicMachine(stateful.RuleBasedStateMachine):
    """Two copies are updated from a topic and from each other."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.late_answers = []
        self.views = [keyed_view.KeyedView(), keyed_view.KeyedView()]
        self.ends = [-1, -1]

    def content_at(self, end):
        """Return the expected copy: newest values by key before ``end``."""
        content = {}
        for record in self.log[: max(0, end)]:
            if record.value is None:
                content.pop(record.key, None)
            else:
                content[record.key] = record.value
        return content

    @stateful.rule(key=_KEYS, value=st.none() | st.binary(min_size=1))
    def append(self, key, value):
        self.log.append(_record(key, len(self.log), value))

    @stateful.rule(index=st.sampled_from([0, 1]))
    def read_snapshot(self, index):
        newest = {}
        for record in self.log:
            newest[record.key] = record
        records = tuple(r for r in newest.values() if r.value is not None)
        answer = topic_store.Snapshot(records, len(self.log))
        self.late_answers.append((answer, float(len(self.log))))
        self.views[index].replace(*self.late_answers[-1])

    @stateful.precondition(lambda self: self.late_answers)
    @stateful.rule(index=st.sampled_from([0, 1]), data=st.data())
    def an_earlier_answer_arrives_late(self, index, data):
        answer = data.draw(st.sampled_from(self.late_answers))
        self.views[index].replace(*answer)

    @stateful.rule(index=st.sampled_from([0, 1]), count=st.integers(0, 5))
    def read_changes(self, index, count):
        view = self.views[index]
        if not view.is_loaded:
            return
        records = tuple(self.log[view.end : view.end + count])
        end = view.end + len(records)
        view.extend(
            topic_store.Changes(records, end, end == len(self.log)),
            float(len(self.log)),
        )

    @stateful.rule(index=st.sampled_from([0, 1]))
    def read_from_peer(self, index):
        own, peer = self.views[index], self.views[1 - index]
        if not peer.is_loaded:
            return
        is_full, records = peer.changes_since(own.end)
        if is_full:
            own.replace(
                topic_store.Snapshot(tuple(records), peer.end), peer.as_of_s
            )
        else:
            own.extend(
                topic_store.Changes(tuple(records), peer.end), peer.as_of_s
            )

    @stateful.invariant()
    def copies_match_the_topic_and_never_go_back(self):
        for index, view in enumerate(self.views):
            assert view.end >= self.ends[index]
            self.ends[index] = view.end
            if not view.is_loaded:
                continue
            _, records = view.changes_since(-1)
            content = {r.key: r.value for r in records}
            assert content == self.content_at(view.end)
            # Times are lengths of the log: a copy that is current as of a time
            # contains all records that the log had then.
            assert view.as_of_s <= view.end


TestTopicMachine = TopicMachine.TestCase
TestTopicMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
