"""Fuzzes the cluster with many random examples: ``make fuzz``."""

import os

import hypothesis
from hypothesis import stateful

from common import cluster_machine

_EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '300'))
_SETTINGS = hypothesis.settings(
    max_examples=_EXAMPLES,
    stateful_step_count=40,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    print_blob=True,
)


def test_guarantees_hold_under_fuzzing():
    stateful.run_state_machine_as_test(
        cluster_machine.ClusterMachine, settings=_SETTINGS
    )
