"""Deterministic Hypothesis run over requests, faults and timing."""

import hypothesis
from hypothesis import stateful

from common import cluster_machine

_SETTINGS = hypothesis.settings(
    max_examples=20,
    stateful_step_count=20,
    derandomize=True,
    database=None,
    deadline=None,
    # No shrinking, which takes minutes.
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
    print_blob=True,
)


def test_guarantees_hold_under_generated_faults():
    stateful.run_state_machine_as_test(
        cluster_machine.ClusterMachine, settings=_SETTINGS
    )
