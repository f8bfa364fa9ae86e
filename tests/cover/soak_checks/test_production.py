"""Which releases the soak runs."""

import pytest

from soak import production

_MINUTE_S = 60


def _commits(*ages_min):
    return [
        production.Commit(f'c{number}', -age_min * _MINUTE_S)
        for number, age_min in enumerate(ages_min)
    ]


@pytest.mark.parametrize(
    ('ages_min', 'landing'),
    [((0, 10, 35, 200, 210), 'c3'), ((0, 31, 40), 'c1')],
)
def test_last_landing_is_found_in_the_history(ages_min, landing):
    """Guards against a soak beside a release that is not the last one."""
    assert production.find_landing(_commits(*ages_min)) == landing


def test_history_without_a_landing_is_an_error():
    """Guards against a soak that takes its own commits for a landing."""
    with pytest.raises(production.CommitNotFound, match='whole history'):
        production.find_landing(_commits(0, 5, 20))
