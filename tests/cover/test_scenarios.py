"""Runs every scenario file, and tests the error messages of their parser."""

import pathlib

import pytest

from common import scenario
from common import virtual_time

_DIRECTORY = pathlib.Path(__file__).with_name('scenarios')
_FILES = sorted(_DIRECTORY.glob('*.scn'))


@pytest.mark.parametrize('path', _FILES, ids=lambda path: path.stem)
def test_scenario_meets_its_expectations(path):
    parsed = scenario.Scenario.from_text(path.read_text(), path.name)
    virtual_time.run(scenario.ScenarioRunner(parsed).run)


def test_syntax_error_names_the_position_and_the_expected_keywords():
    text = 'SCENARIO "x";\nAT 1 s EXPLODE n1;'
    with pytest.raises(scenario.ScenarioError) as caught:
        scenario.Scenario.from_text(text, 'a.scn')
    assert 'a.scn, line 2, column 8' in str(caught.value)
    assert 'KILL' in str(caught.value)
