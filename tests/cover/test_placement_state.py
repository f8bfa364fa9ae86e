"""Leases and orders depend only on the offset order of records."""

from foxtailrelay_node.internal.placement import placement_state


def _apply_claim(state, offset, holder, replaces):
    state.apply(
        offset,
        {
            'kind': 'claim',
            'service': 's',
            'holder': holder,
            'replaces': replaces,
        },
    )


def _apply_intent(state, offset, argument, fencing):
    state.apply(
        offset,
        {
            'kind': 'intent',
            'service': 's',
            'backend': 'e1',
            'action': 'load-model',
            'argument': argument,
            'fencing': fencing,
        },
    )


def test_first_of_two_claims_to_replace_a_fencing_number_wins():
    state = placement_state.PlacementState()
    _apply_claim(state, 0, 'n1/1', -1)
    _apply_claim(state, 1, 'n2/1', 0)
    _apply_claim(state, 2, 'n3/1', 0)
    assert state.lease_by_service['s'] == ('n2/1', 1)


def test_intent_under_a_replaced_lease_is_ignored():
    state = placement_state.PlacementState()
    _apply_claim(state, 0, 'n1/1', -1)
    _apply_claim(state, 1, 'n2/1', 0)
    _apply_intent(state, 2, 'new', 1)
    _apply_intent(state, 3, 'old', 0)
    assert state.order_by_backend['e1'].argument == 'new'


def test_done_record_of_an_old_lease_does_not_complete_a_newer_order():
    state = placement_state.PlacementState()
    _apply_claim(state, 0, 'n1/1', -1)
    _apply_intent(state, 1, 'old', 0)
    _apply_claim(state, 2, 'n2/1', 0)
    _apply_intent(state, 3, 'new', 2)
    state.apply(
        4, {'kind': 'done', 'service': 's', 'backend': 'e1', 'fencing': 0}
    )
    assert not state.order_by_backend['e1'].is_done


def test_snapshot_restores_leases_and_orders():
    state = placement_state.PlacementState()
    _apply_claim(state, 0, 'n1/1', -1)
    _apply_intent(state, 1, 'm', 0)
    restored = placement_state.PlacementState()
    restored.restore(state.snapshot())
    assert restored.lease_by_service == state.lease_by_service
    assert restored.order_by_backend == state.order_by_backend
