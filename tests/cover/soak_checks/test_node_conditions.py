"""The soak knows at which times its nodes could do their work."""

import time

import pytest

from soak import node_conditions


@pytest.mark.parametrize(('count', 'are_kept'), [(2, True), (3, False)])
def test_origins_are_lost_only_if_more_than_two_nodes_end_at_once(
    count, are_kept
):
    hosts = ['n1', 'n2', 'n3', 'n4']
    conditions = node_conditions.NodeConditions(hosts)
    before_s = time.monotonic()
    with conditions.ending(hosts[:count]):
        inside_s = time.monotonic()
    after_s = time.monotonic()
    assert conditions.were_origins_kept(before_s, after_s) is are_kept
    assert conditions.were_origins_kept(inside_s, after_s) is are_kept
    assert conditions.were_origins_kept(before_s - 1.0, before_s)
    assert conditions.were_origins_kept(after_s, after_s + 1.0)
