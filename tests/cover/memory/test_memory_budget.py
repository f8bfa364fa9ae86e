"""One budget for all that a process holds of others' bytes."""

import hypothesis
from hypothesis import strategies

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes

_TOTAL = 100_000
_ANSWER = purposes.Purpose.ANSWER
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(purposes.Purpose),
        strategies.integers(0, 5),
        strategies.integers(-9_000, 9_000),
    ),
    max_size=200,
)


def _fill(budget, owner, step=100):
    lease = budget.open_lease(_ANSWER, owner)
    while lease.try_hold(step):
        pass
    return lease


@hypothesis.given(_STEPS)
def test_sum_over_all_leases_stays_within_the_budget(steps):
    """Sixty answers that never end took a node beyond its memory."""
    budget = memory_budget.MemoryBudget(_TOTAL)
    lease_by_key = {}
    for purpose, number, count in steps:
        key = purpose, number
        if key not in lease_by_key:
            lease_by_key[key] = budget.open_lease(purpose, f'm{number}')
        if count >= 0:
            lease_by_key[key].try_hold(count)
        else:
            lease_by_key[key].release(-count)
        held = {each: budget.held_bytes(each) for each in purposes.Purpose}
        assert sum(held.values()) <= _TOTAL
        assert sum(held.values()) == sum(
            lease.held_bytes for lease in lease_by_key.values()
        )
        assert all(held[each] <= budget.limit_bytes(each) for each in held)
    for lease in lease_by_key.values():
        lease.close()
    assert all(not budget.held_bytes(each) for each in purposes.Purpose)


def test_faulty_server_leaves_most_of_the_room_to_the_others():
    """One server's bytes left no room for sound answers."""
    budget = memory_budget.MemoryBudget(_TOTAL)
    greedy = [_fill(budget, 'faulty') for _ in range(60)]
    limit = budget.limit_bytes(_ANSWER)
    assert sum(lease.held_bytes for lease in greedy) <= limit / 3
    sound = budget.open_lease(_ANSWER, 'sound')
    assert sound.try_hold(limit // 5)


def test_faulty_servers_together_leave_room_to_sound_ones():
    """Several faulty servers used up what one alone had to leave."""
    budget = memory_budget.MemoryBudget(_TOTAL)
    for number in range(5):
        _fill(budget, f'faulty-{number}')
    sound = budget.open_lease(_ANSWER, 'sound')
    assert sound.try_hold(budget.limit_bytes(_ANSWER) // 30)


def test_answers_take_no_room_of_requests():
    """Bytes of servers led to refusals of request bodies."""
    budget = memory_budget.MemoryBudget(_TOTAL)
    before = budget.available_bytes(purposes.Purpose.REQUEST, 'caller')
    _fill(budget, 'faulty')
    after = budget.available_bytes(purposes.Purpose.REQUEST, 'caller')
    assert after == before


def test_closed_lease_gives_its_bytes_back():
    """What an ended request held was never free again."""
    budget = memory_budget.MemoryBudget(_TOTAL)
    with budget.open_lease(_ANSWER, 'm1') as lease:
        assert lease.try_hold(5_000)
        lease.release(1_000)
        assert budget.held_bytes(_ANSWER) == 4_000
    assert not budget.held_bytes(_ANSWER)


def test_budget_leaves_the_process_its_own_memory():
    """A budget of the whole limit leaves nothing to the program."""
    budget = memory_budget.MemoryBudget.from_memory_limit(300 << 20)
    total = sum(budget.limit_bytes(each) for each in purposes.Purpose)
    assert 60 << 20 < total < 100 << 20
    smallest = memory_budget.MemoryBudget.from_memory_limit(100 << 20)
    assert smallest.limit_bytes(_ANSWER) >= 3 << 20
