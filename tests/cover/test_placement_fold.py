"""Leadership and orders by offset order."""

from foxtailrelay_node.internal.placement import placement_fold


def _claim(fold, offset, holder, replaces):
    fold.apply(
        offset,
        {
            'kind': 'claim',
            'service': 's',
            'holder': holder,
            'replaces': replaces,
        },
    )


def _intend(fold, offset, argument, fencing):
    fold.apply(
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


def test_of_two_claims_against_one_number_the_first_wins():
    fold = placement_fold.PlacementFold()
    _claim(fold, 0, 'n1/1', -1)
    _claim(fold, 1, 'n2/1', 0)
    _claim(fold, 2, 'n3/1', 0)
    assert fold.lease_by_service['s'] == ('n2/1', 1)


def test_intent_under_a_replaced_lease_does_not_count():
    fold = placement_fold.PlacementFold()
    _claim(fold, 0, 'n1/1', -1)
    _claim(fold, 1, 'n2/1', 0)
    _intend(fold, 2, 'new', 1)
    _intend(fold, 3, 'old', 0)
    assert fold.order_by_backend['e1'].argument == 'new'


def test_late_done_of_an_old_lease_does_not_end_a_newer_order():
    fold = placement_fold.PlacementFold()
    _claim(fold, 0, 'n1/1', -1)
    _intend(fold, 1, 'old', 0)
    _claim(fold, 2, 'n2/1', 0)
    _intend(fold, 3, 'new', 2)
    fold.apply(
        4, {'kind': 'done', 'service': 's', 'backend': 'e1', 'fencing': 0}
    )
    assert not fold.order_by_backend['e1'].is_done


def test_snapshot_restores_leases_and_orders():
    fold = placement_fold.PlacementFold()
    _claim(fold, 0, 'n1/1', -1)
    _intend(fold, 1, 'm', 0)
    restored = placement_fold.PlacementFold()
    restored.restore(fold.snapshot())
    assert restored.lease_by_service == fold.lease_by_service
    assert restored.order_by_backend == fold.order_by_backend
