"""Command line of the soak: ``python -m soak --seeds 1-50 --seconds 15``.

Each seed runs a cluster of its own under random faults and then checks the
guarantees.
"""

import collections
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing

import cappa
import trio

from soak import answer_guarantees
from soak import caller_kinds
from soak import fault_injector as fault_injectors
from soak import guarantees
from soak import production as releases
from soak import recorded_connection
from soak import request_record
from soak import soak_cluster as soak_clusters
from soak import upgrade

_CALLERS_PER_NODE = 2
_READY_TIMEOUT_S = 30.0
_RECOVERY_S = 12.0
_MIN_RECOVERED_RATIO = 0.8
# Allowed for startup, recovery and checks beyond the time of the faults.
_SEED_EXTRA_TIMEOUT_S = 90.0
_SHOWN_VIOLATIONS = 10


@cappa.command(name='soak')
@dataclasses.dataclass
class SoakCommand:
    """Inject random faults into real nodes and check the guarantees."""

    seeds: typing.Annotated[
        str, cappa.Arg(long=True, help='One seed, or FIRST-LAST.')
    ]
    seconds: typing.Annotated[
        float,
        cappa.Arg(long=True, help='Seconds of fault injection per seed.'),
    ] = 12.0
    nodes: typing.Annotated[
        int, cappa.Arg(long=True, help='Nodes per seed.')
    ] = 4
    at_once: typing.Annotated[
        int, cappa.Arg(long=True, help='Seeds that run concurrently.')
    ] = 1
    production: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            help='Commit of the release in production, which the nodes run '
            f'first, or "{releases.LANDING_NAME}"; empty for none.',
        ),
    ] = ''
    sources: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            help='Commit of the release that the nodes run in place of the '
            f'working tree, or "{releases.LANDING_NAME}".',
        ),
    ] = ''
    only: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            help='Inject only the faults whose names contain one of these '
            'words, separated by commas.',
        ),
    ] = ''


class Outcome(typing.NamedTuple):
    """Outcome of one seed."""

    seed: int
    requests: int
    served: int
    violations: list[str]
    old_violations: list[str]
    history: list[str]
    order_by_framing: collections.Counter[str]


async def run_seed(
    seed: int,
    folder: pathlib.Path,
    command: SoakCommand,
    builds: typing.Sequence[releases.Build],
) -> Outcome:
    """Run one seed: start a cluster, inject faults, check the guarantees."""
    rng = random.Random(seed)
    cluster = soak_clusters.SoakCluster(seed, folder, command.nodes, builds)
    injector = fault_injectors.FaultInjector(
        cluster, rng, tuple(command.only.split(','))
    )
    callers = caller_kinds.build_callers(
        cluster, seed, _CALLERS_PER_NODE * command.nodes
    )
    injector.clumps.others = callers
    violations = [
        answer_guarantees.Violation('the seed did not finish in time')
    ]
    records: list[request_record.RequestRecord] = []
    try:
        async with trio.open_nursery() as nursery:
            nursery.cancel_scope.deadline = (
                trio.current_time() + command.seconds + _SEED_EXTRA_TIMEOUT_S
            )
            await cluster.start(nursery)
            await wait_until_ready(cluster)
            for caller in callers:
                nursery.start_soon(caller.run)
            async with trio.open_nursery() as faults:
                if len(builds) > 1:
                    replaced = upgrade.Upgrade(
                        cluster, random.Random(seed), injector.record
                    )
                    faults.start_soon(replaced.run, command.seconds)
                await injector.run(nursery, command.seconds)
            recovered_from_s = time.monotonic() + _RECOVERY_S / 2
            await trio.sleep(_RECOVERY_S)
            cluster.checked_at_s = time.monotonic()
            connections = [
                connection
                for caller in [
                    *callers,
                    *injector.stops.late_callers,
                    *injector.clumps.callers,
                ]
                for connection in caller.connections
            ]
            records = [
                record
                for connection in connections
                for record in connection.records
            ]
            violations = guarantees.find_violations(cluster, connections)
            violations += _check_recovery(records, recovered_from_s)
            (folder / 'history.txt').write_text('\n'.join(injector.history))
            _save_transcripts(folder, connections, violations)
            nursery.cancel_scope.cancel()
    finally:
        cluster.stop()
    served = sum(
        record.status == 200 and record.is_complete for record in records
    )
    return Outcome(
        seed,
        len(records),
        served,
        [v.text for v in violations if not v.is_of_production],
        [v.text for v in violations if v.is_of_production],
        injector.history,
        collections.Counter(
            v.framing for v in violations if v.rule is answer_guarantees.ORDER
        ),
    )


def _save_transcripts(
    folder: pathlib.Path,
    connections: typing.Sequence[recorded_connection.RecordedConnection],
    violations: typing.Sequence[answer_guarantees.Violation],
) -> None:
    """Save all bytes of the connections with wrong answers."""
    wrong_ids = {v.record.request_id for v in violations if v.record}
    for connection in connections:
        ids = [record.request_id for record in connection.records]
        if wrong_ids.intersection(ids):
            path = folder / f'connection-{ids[0]}.bin'
            path.write_bytes(bytes(connection.received))


async def wait_until_ready(cluster: soak_clusters.SoakCluster) -> None:
    """Wait until all nodes accept requests from callers."""
    with trio.fail_after(_READY_TIMEOUT_S):
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


def _check_recovery(
    records: list[request_record.RequestRecord], since_s: float
) -> list[str]:
    """Check that most requests are served again after the last fault."""
    later_records = [
        record
        for record in records
        if record.sent_at_s > since_s and record.status is not None
    ]
    served = sum(record.status == 200 for record in later_records)
    if not later_records or served < _MIN_RECOVERED_RATIO * len(later_records):
        return [
            answer_guarantees.Violation(
                f'only {served} of {len(later_records)} requests '
                'served after the faults'
            )
        ]
    return []


async def _run(command: SoakCommand) -> int:
    with tempfile.TemporaryDirectory(prefix='soak-production-') as sources:
        try:
            builds = _find_builds(command, pathlib.Path(sources))
        except releases.CommitNotFound as error:
            print(f'soak: {error}', file=sys.stderr)
            return 2
        return await _run_seeds(command, builds)


def _find_builds(
    command: SoakCommand, folder: pathlib.Path
) -> list[releases.Build]:
    """Return the releases that the nodes run, the newest last."""
    builds = [releases.working_tree()]
    if command.sources:
        builds = [
            releases.check_out(command.sources, folder / 'sources', 'sources')
        ]
    if command.production:
        old = releases.check_out(command.production, folder / 'production')
        builds.insert(0, old)
    return builds


async def _run_seeds(
    command: SoakCommand, builds: typing.Sequence[releases.Build]
) -> int:
    """Run all seeds; return 1 if one failed."""
    first, _, last = command.seeds.partition('-')
    seeds = list(range(int(first), int(last or first) + 1))
    failed = 0
    order_by_framing: collections.Counter[str] = collections.Counter()
    seeds_with_order = 0
    limit = trio.CapacityLimiter(command.at_once)

    async def run_one(seed: int) -> None:
        nonlocal failed, seeds_with_order
        async with limit:
            folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
            outcome = await run_seed(seed, folder, command, builds)
        failed += bool(outcome.violations)
        order_by_framing.update(outcome.order_by_framing)
        seeds_with_order += bool(outcome.order_by_framing)
        _print_outcome(outcome, folder)

    async with trio.open_nursery() as nursery:
        for seed in seeds:
            nursery.start_soon(run_one, seed)
    print(f'{len(seeds) - failed} passed, {failed} failed')
    framings = ', '.join(
        f'{count} {framing}'
        for framing, count in sorted(order_by_framing.items())
    )
    print(
        f'streams out of order in {seeds_with_order} of {len(seeds)} seeds: '
        f'{framings or "none"}'
    )
    return 1 if failed else 0


def _print_outcome(outcome: Outcome, folder: pathlib.Path) -> None:
    print(
        f'seed {outcome.seed}: {outcome.requests} requests, {outcome.served} '
        f'served, {len(outcome.violations)} violations',
        flush=True,
    )
    for text in outcome.old_violations[:_SHOWN_VIOLATIONS]:
        print(f'  release in production: {text}')
    if outcome.violations:
        print(f'  node logs are in {folder}')
        for text in outcome.violations[:_SHOWN_VIOLATIONS] + outcome.history:
            print(f'  {text}')


if __name__ == '__main__':
    # Shells let processes in the background ignore it.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    sys.exit(trio.run(_run, cappa.parse(SoakCommand)))
