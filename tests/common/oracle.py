"""What must always hold, checked against what really ran."""

import collections


def check_invariants(cluster):
    """Check everything that must hold at any moment.

    Raises
    ------
    AssertionError
        With the promise that was broken.
    """
    run_count = collections.Counter(run.key for run in cluster.runs)
    for key, count in run_count.items():
        assert count <= 1, f'{key} ran {count} times'
    told_by_key = collections.defaultdict(list)
    for call, told in cluster.result_by_call.items():
        if told is not None:
            told_by_key[cluster.key_by_call[call]].append(told)
    for key, all_told in told_by_key.items():
        _check_key(key, all_told, run_count[key], cluster)
    for (name, _), revisions in cluster.revision_history.items():
        assert revisions == sorted(revisions), f'revision fell at {name}'


def _check_key(key, all_told, run_count, cluster):
    """Check all answers that were given for one key."""
    outcomes = [told.outcome for told in all_told]
    if 'ran' in outcomes:
        assert run_count == 1, f'{key}: told ran, but it did not'
        # Several requests with one key may be told different things; each
        # whole answer must be the one that the server gave.
        answer = cluster.backend_by_name['b1'].answer_of(key)
        for told in all_told:
            if told.outcome == 'ran':
                assert told.body == answer, f'{key}: answer of another call'
    if outcomes and all(outcome == 'not-run' for outcome in outcomes):
        assert run_count == 0, f'{key}: told not-run, but it ran'


def check_settled(cluster):
    """Check what must hold once all faults are over and time has passed.

    Every accepted call has run, or is listed as unknown with a cause.
    """
    check_invariants(cluster)
    states = {}
    for node in cluster.node_by_name.values():
        for partition in node.ledger.partitions.followed():
            for key, entry in partition.state.entry_by_key.items():
                states[key.rpartition('/')[2]] = entry
    ran = {run.key for run in cluster.runs}
    for call, told in cluster.result_by_call.items():
        key = cluster.key_by_call[call]
        if told is None or told.outcome != 'accepted':
            continue
        entry = states.get(key)
        listed = entry is not None and entry.state.value == 'unknown'
        assert key in ran or (listed and entry.cause), (
            f'{key}: accepted, but lost; its entry is {entry}'
        )


def check_convergence(cluster):
    """Check what holds when all nodes are back and all faults are over."""
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
            assert stream.text == stream.expected_text, f'{name}: not whole'
