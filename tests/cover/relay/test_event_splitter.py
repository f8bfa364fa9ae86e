"""Events are found however the bytes arrive."""

import time

from foxtailrelay_node.internal.relay.http import event_splitter


def test_event_that_comes_byte_by_byte_costs_time_in_proportion():
    """Guards against a search that starts again with each byte."""
    splitter = event_splitter.EventSplitter()
    start_s = time.process_time()
    for _ in range(200_000):
        assert splitter.feed(b'x') == []
    assert time.process_time() - start_s < 3.0


def test_end_of_an_event_is_found_across_parts():
    for end in (b'\r\n\r\n', b'\n\n', b'\r\r'):
        for parts in ([end[:1], end[1:]], [end[:-1], end[-1:]]):
            splitter = event_splitter.EventSplitter()
            assert splitter.feed(b'id: 1\ndata: a' + parts[0]) == []
            (event,) = splitter.feed(parts[1] + b'id: 2')
            assert event.data == b'id: 1\ndata: a' + end
            assert splitter.has_partial_event
