"""Invariants of the cluster, checked against the calls that ran."""

import collections


def check_invariants(cluster):
    """Check the invariants that hold at any time.

    Raises
    ------
    AssertionError
        With the violated invariant.
    """
    run_count = collections.Counter(run.key for run in cluster.runs)
    for key, count in run_count.items():
        assert count <= 1, f'{key} ran {count} times'
    results_by_key = collections.defaultdict(list)
    for call, result in cluster.result_by_call.items():
        if result is not None:
            results_by_key[cluster.key_by_call[call]].append(result)
    for key, results in results_by_key.items():
        _check_key(key, results, run_count[key], cluster)
    for (name, _), revisions in cluster.revision_history.items():
        assert revisions == sorted(revisions), f'revision decreased at {name}'


def _check_key(key, results, run_count, cluster):
    """Check the results of all calls with one key."""
    outcomes = [result.outcome for result in results]
    if 'ran' in outcomes:
        assert run_count == 1, f'{key}: reported as ran, but did not run'
        # Calls with one key may have different outcomes, but each complete
        # answer must be the one that the server sent.
        answer = cluster.backend_by_name['b1'].answer_of(key)
        for result in results:
            if result.outcome == 'ran':
                assert result.body == answer, f'{key}: answer of another call'
    if outcomes and all(outcome == 'not-run' for outcome in outcomes):
        assert run_count == 0, f'{key}: reported as not-run, but ran'


def check_settled(cluster):
    """Check the invariants that hold after recovery from all faults.

    Every accepted call has run, or its entry is unknown with a cause.
    """
    check_invariants(cluster)
    entry_by_key = {}
    for node in cluster.node_by_name.values():
        for partition in node.ledger.partitions.followed():
            for key, entry in partition.state.entry_by_key.items():
                entry_by_key[key.rpartition('/')[2]] = entry
    ran = {run.key for run in cluster.runs}
    for call, result in cluster.result_by_call.items():
        key = cluster.key_by_call[call]
        if result is None or result.outcome != 'accepted':
            continue
        entry = entry_by_key.get(key)
        is_reported_unknown = (
            entry is not None and entry.state.value == 'unknown'
        )
        assert key in ran or (is_reported_unknown and entry.cause), (
            f'{key}: accepted, but lost; its entry is {entry}'
        )


def check_convergence(cluster):
    """Check that nodes agree and streams are complete or have failed.

    This holds once all nodes run again and all faults have ended.
    """
    revisions = {
        name: node.configuration.revision
        for name, node in cluster.node_by_name.items()
    }
    assert len(set(revisions.values())) <= 1, f'revisions {revisions}'
    for name, stream in cluster.stream_result_by_name.items():
        assert stream.expected_text.startswith(stream.text), (
            f'{name}: text of another answer'
        )
        if not stream.failure:
            assert stream.text == stream.expected_text, f'{name}: incomplete'
