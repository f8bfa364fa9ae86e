"""Runs seeds: ``python -m soak --seeds 1-50 --seconds 15``."""

import dataclasses
import pathlib
import random
import sys
import tempfile
import time
import typing

import cappa
import trio

from soak import callers as callers_module
from soak import fault_injector as fault_injectors
from soak import guarantees
from soak import soak_cluster as soak_clusters

_CALLERS_PER_NODE = 2
_READY_S = 30.0
_QUIET_S = 12.0
_RECOVERED_PART = 0.8
# A seed that takes this much longer than its faults is given up, in seconds.
_LONGEST_EXTRA_S = 90.0


@cappa.command(name='soak')
@dataclasses.dataclass
class SoakCommand:
    """Harm real nodes at random and check the promises."""

    seeds: typing.Annotated[
        str, cappa.Arg(long=True, help='One seed, or FIRST-LAST.')
    ]
    seconds: typing.Annotated[
        float, cappa.Arg(long=True, help='Length of the faults of a seed.')
    ] = 12.0
    nodes: typing.Annotated[
        int, cappa.Arg(long=True, help='Nodes of a seed.')
    ] = 4
    at_once: typing.Annotated[
        int, cappa.Arg(long=True, help='Seeds that run at the same time.')
    ] = 1


class Outcome(typing.NamedTuple):
    """How a seed went."""

    seed: int
    requests: int
    served: int
    violations: list[str]
    history: list[str]


async def run_seed(
    seed: int, folder: pathlib.Path, seconds: float, nodes: int
) -> Outcome:
    """Play one seed."""
    rng = random.Random(seed)
    cluster = soak_clusters.SoakCluster(seed, folder, nodes)
    injector = fault_injectors.FaultInjector(cluster, rng)
    people = [
        callers_module.Caller(cluster, random.Random(seed + i), f's{seed}c{i}')
        for i in range(_CALLERS_PER_NODE * nodes)
    ]
    violations: list[str] = ['the seed did not come to its end']
    records: list[callers_module.RequestRecord] = []
    try:
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = (
                trio.current_time() + seconds + _LONGEST_EXTRA_S
            )
            await cluster.start(nursery)
            await wait_until_ready(cluster)
            for caller in people:
                nursery.start_soon(caller.run)
            await injector.run(nursery, seconds)
            quiet_from_s = time.monotonic() + _QUIET_S / 2
            await trio.sleep(_QUIET_S)
            records = [entry for caller in people for entry in caller.records]
            violations = guarantees.find_violations(cluster, records)
            violations += _not_recovered(records, quiet_from_s)
            nursery.cancel_scope.cancel()
    finally:
        cluster.stop()
    served = sum(entry.status == 200 and entry.is_whole for entry in records)
    return Outcome(seed, len(records), served, violations, injector.history)


async def wait_until_ready(cluster: soak_clusters.SoakCluster) -> None:
    """Wait until all nodes take callers."""
    with trio.fail_after(_READY_S):
        for host in cluster.hosts:
            while not await _is_ready(cluster, host):
                await trio.sleep(0.1)


async def _is_ready(cluster: soak_clusters.SoakCluster, host: str) -> bool:
    try:
        stream = await trio.open_tcp_stream(*cluster.address(host, 'ready'))
    except OSError:
        return False
    async with stream:
        await stream.send_all(b'GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n')
        return (await stream.receive_some()).startswith(b'HTTP/1.1 200')


def _not_recovered(
    records: list[callers_module.RequestRecord], since_s: float
) -> list[str]:
    """Check that requests are served again once the faults are over."""
    late = [
        entry
        for entry in records
        if entry.sent_at_s > since_s and entry.status is not None
    ]
    served = sum(entry.status == 200 for entry in late)
    if not late or served < _RECOVERED_PART * len(late):
        return [f'{served} of {len(late)} served after the faults']
    return []


async def _run(command: SoakCommand) -> int:
    first, _, last = command.seeds.partition('-')
    seeds = list(range(int(first), int(last or first) + 1))
    failed = 0
    limit = trio.CapacityLimiter(command.at_once)

    async def run_one(seed: int) -> None:
        nonlocal failed
        async with limit:
            folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
            outcome = await run_seed(
                seed, folder, command.seconds, command.nodes
            )
        failed += bool(outcome.violations)
        _print(outcome, folder)

    async with trio.open_nursery() as nursery:
        for seed in seeds:
            nursery.start_soon(run_one, seed)
    print(f'{len(seeds) - failed} passed, {failed} failed')
    return 1 if failed else 0


def _print(outcome: Outcome, folder: pathlib.Path) -> None:
    print(
        f'seed {outcome.seed}: {outcome.requests} asked, {outcome.served} '
        f'served, {len(outcome.violations)} broken promises',
        flush=True,
    )
    if outcome.violations:
        print(f'  logs in {folder}')
        for line in outcome.violations[:10] + outcome.history:
            print(f'  {line}')


if __name__ == '__main__':
    sys.exit(trio.run(_run, cappa.parse(SoakCommand)))
