"""Retries of all nodes together stay within the budget."""

from foxtailrelay_node.internal.relay.policy import cluster_retry_budget

_RATIO = 0.2
_EXTRA = 58
_WINDOW_S = 10.0


def _run(node_count, requests_per_s, seconds, exchange_s=0.5):
    """Request a retry for every first attempt; return the times of both."""
    nodes = [
        cluster_retry_budget.ClusterRetryBudget(_RATIO, _EXTRA, _WINDOW_S)
        for _ in range(node_count)
    ]
    for node in nodes:
        node.set_node_count(node_count)
    requests, retries = [], []
    now_s, last_exchange_s, turn = 0.0, 0.0, 0
    step_s = 1 / requests_per_s
    while now_s < seconds:
        now_s += step_s
        turn += 1
        node = nodes[turn % node_count]
        node.record_request('s', now_s)
        requests.append(now_s)
        if node.try_spend('s', now_s):
            retries.append(now_s)
        if now_s - last_exchange_s >= exchange_s:
            last_exchange_s = now_s
            for index, other in enumerate(nodes):
                for peer in nodes:
                    if peer is not other:
                        peer.record_peer_attempt_counts(
                            str(index),
                            other.build_attempt_counts(now_s, {}, {}),
                        )
    return requests, retries


def _count(times, end_s):
    return sum(end_s - _WINDOW_S < at_s <= end_s for at_s in times)


def test_retries_stay_within_the_budget_while_every_attempt_fails():
    requests, retries = _run(node_count=9, requests_per_s=100, seconds=25)
    for end_s in range(1, 26):
        allowed = _RATIO * _count(requests, end_s) + _EXTRA
        assert _count(retries, end_s) <= allowed
    assert len(retries) > 0.3 * (_RATIO * len(requests) + 2 * _EXTRA)


def test_rare_failures_are_always_retried():
    node = cluster_retry_budget.ClusterRetryBudget(_RATIO, _EXTRA, _WINDOW_S)
    node.set_node_count(9)
    for second in range(30):
        for _ in range(10):
            node.record_request('s', float(second))
        assert node.try_spend('s', float(second))
