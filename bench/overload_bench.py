"""Service quality of each organisation in overload: ``make bench-overload``.

Requests arrive at multiples of the normal rate, four fifths of them from one
organisation.  Runs the system's own policy in virtual time.
"""

import concurrent.futures
import itertools
import os

import policy_bench
import policy_workload

_RATE_FACTORS = (1, 2, 4, 8)
_SEEDS = (1, 2)


class OverloadRun(policy_bench.PolicyRun):
    """A run at a multiple of the normal request rate."""

    def __init__(self, deployment, factor: int, seed: int) -> None:
        scaled = deployment._replace(
            requests_per_s=deployment.requests_per_s * factor
        )
        super().__init__(scaled, 'cost', seed, reclaim_wave=False)
        self._arrivals = policy_workload.Workload(
            scaled, seed, policy_workload.OVERLOAD_SHARES
        ).arrivals(policy_bench.SECONDS)

    def measure(self) -> dict[str, float]:
        """Return the share on time of each organisation, and totals."""
        arrivals = [a for a in self._arrivals if a.time_s >= 10]
        row = {}
        for name in policy_workload.OVERLOAD_SHARES:
            organisation_arrivals = [
                a
                for a in arrivals
                if a.organisation == name and not a.is_batch
            ]
            on_time = [
                o
                for o in self._outcomes
                if o.organisation == name
                and not o.is_batch
                and self._is_on_time(o)
            ]
            row[name] = len(on_time) / max(1, len(organisation_arrivals))
        batch_done = [
            o for o in self._outcomes if o.is_batch and o.is_complete
        ]
        batch_arrivals = [a for a in arrivals if a.is_batch]
        row['batch done'] = len(batch_done) / max(1, len(batch_arrivals))
        all_on_time = [o for o in self._outcomes if self._is_on_time(o)]
        seconds = policy_bench.SECONDS - 10
        row['on time/s'] = len(all_on_time) / seconds
        return row


def run_one(case) -> dict[str, float]:
    """Run one case in the current process."""
    name, factor, seed = case
    run = OverloadRun(policy_bench.DEPLOYMENT_BY_NAME[name], factor, seed)
    policy_bench.run_in_virtual_time(run, seed)
    return run.measure()


def main() -> None:
    """Run all cases and print the table."""
    cases = list(
        itertools.product(('mwangi', 'klippvik'), _RATE_FACTORS, _SEEDS)
    )
    with concurrent.futures.ProcessPoolExecutor(os.cpu_count()) as pool:
        row_by_case = dict(zip(cases, pool.map(run_one, cases), strict=True))
    for (name, factor, seed), row in row_by_case.items():
        cells = '  '.join(f'{k} {v:.3f}' for k, v in row.items())
        print(f'{name:<9} x{factor} seed {seed}: {cells}')


if __name__ == '__main__':
    main()
