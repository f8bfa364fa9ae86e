"""What an overload does to each organisation: ``make bench-overload``.

Requests come at multiples of the calm rate, four fifths of them from one
organisation; virtual time, the system's own policy.
"""

import concurrent.futures
import itertools
import os

import policy_bench
import policy_workload

_RATES = (1, 2, 4, 8)
_SEEDS = (1, 2)


class OverloadRun(policy_bench.PolicyRun):
    """One run at a multiple of the calm rate."""

    def __init__(self, deployment, factor: int, seed: int) -> None:
        loaded = deployment._replace(
            requests_per_s=deployment.requests_per_s * factor
        )
        super().__init__(loaded, 'cost', seed, reclaim_wave=False)
        self._arrivals = policy_workload.Workload(
            loaded, seed, policy_workload.OVERLOAD_SHARES
        ).arrivals(policy_bench.SECONDS)

    def rows(self) -> dict[str, float]:
        """Return the share on time by organisation, and totals."""
        asked = [a for a in self._arrivals if a.time_s >= 10]
        rows = {}
        for name in policy_workload.OVERLOAD_SHARES:
            mine = [
                a for a in asked if a.organisation == name and not a.is_batch
            ]
            on_time = [
                o
                for o in self._outcomes
                if o.organisation == name
                and not o.is_batch
                and self._is_on_time(o)
            ]
            rows[name] = len(on_time) / max(1, len(mine))
        done = [o for o in self._outcomes if o.is_batch and o.is_complete]
        batch = [a for a in asked if a.is_batch]
        rows['batch done'] = len(done) / max(1, len(batch))
        good = [o for o in self._outcomes if self._is_on_time(o)]
        seconds = policy_bench.SECONDS - 10
        rows['on time/s'] = len(good) / seconds
        return rows


def run_one(case) -> dict[str, float]:
    """Run one case in this process."""
    name, factor, seed = case
    run = OverloadRun(policy_bench.DEPLOYMENT_BY_NAME[name], factor, seed)
    policy_bench.run_virtually(run, seed)
    return run.rows()


def main() -> None:
    """Run all cases and print the table."""
    cases = list(itertools.product(('mwangi', 'klippvik'), _RATES, _SEEDS))
    with concurrent.futures.ProcessPoolExecutor(os.cpu_count()) as pool:
        row_by_case = dict(zip(cases, pool.map(run_one, cases), strict=True))
    for (name, factor, seed), row in row_by_case.items():
        cells = '  '.join(f'{k} {v:.3f}' for k, v in row.items())
        print(f'{name:<9} x{factor} seed {seed}: {cells}')


if __name__ == '__main__':
    main()
