"""Comparison of routing policies in virtual time: ``make bench-policy``.

Several nodes route the same requests to engine models of different speed and
price, with and without a reclaim of one data centre's engines.  Load reports
are delayed, and cache events arrive late and with gaps.
"""

import concurrent.futures
import itertools
import os
import statistics
import typing

from foxtailrelay_core import settings
from foxtailrelay_node.internal.callers import chat_request
from foxtailrelay_node.internal.callers import event_sink
from foxtailrelay_node.internal.callers import model_dispatcher
from foxtailrelay_node.internal.catalogue import catalogue
from foxtailrelay_node.internal.catalogue import catalogue_state
from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal import metrics
from foxtailrelay_node.internal.routing import cost_policy
from foxtailrelay_node.internal.routing import engine_monitor
from foxtailrelay_node.internal.routing import model_router
from foxtailrelay_standins import models
import logbook
import trio
from trio import testing

import baseline_policies
import in_process_engines
import policy_workload

DEPLOYMENT_BY_NAME = {
    'mwangi': policy_workload.MWANGI,
    'klippvik': policy_workload.KLIPPVIK,
}
_NODE_COUNT = 4
_WORKER_COUNT = int(os.environ.get('POLICY_WORKERS', str(os.cpu_count())))
SECONDS = float(os.environ.get('POLICY_SECONDS', '90'))
_SEEDS = (1, 2, 3)
_POLL_INTERVAL_S = settings.TimingSettings().engine_poll_interval_s
_WARM_UP_S = 10.0
_DEADLINE_S = 20.0
_BATCH_DEADLINE_S = 300.0
_RECLAIM_NOTICE_S = 5.0
_OUTAGE_S = 30.0
_FINISH_TIMEOUT_S = 60.0
_MEMORY_BYTES = 1 << 30
_ALL_POLICIES = 'round-robin least-outstanding prefix-hash cost bound'
POLICIES = os.environ.get('POLICY_NAMES', _ALL_POLICIES).split()


class Outcome(typing.NamedTuple):
    """Outcome of one request."""

    is_batch: bool
    organisation: str
    is_complete: bool
    first_token_s: float
    token_interval_s: float


class Score(typing.NamedTuple):
    """Measures of one run.

    ``cost`` is the price of the engines' busy time per 1,000 interactive
    requests on time; ``recomputed_tokens`` is the mean per request.
    """

    on_time: float
    cost: float
    recomputed_tokens: float
    first_token_p95_s: float
    token_interval_p95_ms: float
    batch_done: float
    worst_organisation: float


class _TimingSink(event_sink.EventSink):
    """Records the times of one answer's events."""

    def __init__(self) -> None:
        self.first_token_s = 0.0
        self.last_s = 0.0
        self.count = 0

    async def handle_event(self, engine, event):
        self.last_s = trio.current_time()
        if self.count == 0:
            self.first_token_s = self.last_s
        self.count += 1


class _Configuration:
    """The part of the configuration that the engine monitor uses."""

    def __init__(self, deployment) -> None:
        self.state = catalogue_state.CatalogueState()
        self.catalogue = catalogue.Catalogue(
            service_by_name={'model': options.Service('model')},
            backend_by_name=deployment.backend_by_name,
        )


class PolicyRun:
    """Simulates one policy on one deployment."""

    def __init__(self, deployment, policy_name, seed, reclaim_wave) -> None:
        self._deployment = deployment
        self._policy_name = policy_name
        self._reclaim_wave = reclaim_wave
        self._arrivals = policy_workload.Workload(deployment, seed).arrivals(
            SECONDS
        )
        self._routing = settings.RoutingSettings(
            recomputed_token_cost=deployment.recomputed_token_cost
        )
        self._outcomes: list[Outcome] = []
        self._leaving: set[str] = set()
        self._request_numbers = itertools.count()

    async def run(self) -> Score:
        """Simulate all requests and return the score."""
        computed: set[int] = set()
        model_by_name = {
            name: models.EngineModel(profile, computed)
            for name, profile in self._deployment.profile_by_name.items()
        }
        engines = in_process_engines.InProcessEngines(
            model_by_name, self._deployment.latency_s
        )
        async with trio.open_nursery() as nursery:
            for model in model_by_name.values():
                await nursery.start(model.run)
            dispatchers = [
                self._build_dispatcher(engines, model_by_name, nursery)
                for _ in range(_NODE_COUNT)
            ]
            if self._reclaim_wave:
                nursery.start_soon(
                    self._reclaim_and_restore_zone, engines, model_by_name
                )
            async with trio.open_nursery() as callers:
                for arrival in self._arrivals:
                    await trio.sleep_until(arrival.time_s)
                    callers.start_soon(
                        self._serve_request,
                        dispatchers[next(self._request_numbers) % _NODE_COUNT],
                        arrival,
                    )
                callers.cancel_scope.deadline = (
                    trio.current_time() + _FINISH_TIMEOUT_S
                )
            nursery.cancel_scope.cancel()
        return self._score(model_by_name)

    def _build_dispatcher(self, engines, model_by_name, nursery):
        """Build the model dispatcher of one node."""
        monitor = engine_monitor.EngineMonitor(
            engines,
            _Configuration(self._deployment),
            self._leaving,
            _POLL_INTERVAL_S,
        )
        nursery.start_soon(monitor.run)
        router = model_router.ModelRouter(
            monitor, self._build_policy(model_by_name)
        )
        return model_dispatcher.ModelDispatcher(
            engines,
            monitor,
            router,
            metrics.Metrics(),
            self._routing,
            memory_budget.MemoryBudget(_MEMORY_BYTES),
        )

    def _build_policy(self, model_by_name):
        match self._policy_name:
            case 'round-robin':
                return baseline_policies.RoundRobinPolicy()
            case 'least-outstanding':
                return baseline_policies.LeastOutstandingPolicy()
            case 'prefix-hash':
                return baseline_policies.PrefixHashPolicy()
            case 'cost':
                return cost_policy.CostPolicy(self._routing)
            case 'bound':
                return baseline_policies.OraclePolicy(
                    model_by_name, self._routing
                )

    async def _reclaim_and_restore_zone(self, engines, model_by_name) -> None:
        """Reclaim the first data centre's engines, and restore them later."""
        backends = self._deployment.backend_by_name
        zone = next(iter(backends.values())).zone
        names = [n for n, backend in backends.items() if backend.zone == zone]
        await trio.sleep(SECONDS / 3)
        self._leaving.update(backends[name].vm for name in names)
        await trio.sleep(_RECLAIM_NOTICE_S)
        engines.down.update(names)
        for name in names:
            model_by_name[name].restart()
        await trio.sleep(_OUTAGE_S)
        engines.down.difference_update(names)
        self._leaving.clear()

    async def _serve_request(self, dispatcher, arrival) -> None:
        """Serve one request and record its outcome."""
        messages = [{'role': 'user', 'content': arrival.prompt}]
        fields = {'model': 'model', 'messages': messages}
        started_s = trio.current_time()
        deadline_s = _BATCH_DEADLINE_S if arrival.is_batch else _DEADLINE_S
        job = model_dispatcher.ModelJob(
            f'{arrival.organisation}.{arrival.time_s}',
            arrival.organisation,
            chat_request.ChatRequest(
                fields, 'model', messages, True, arrival.tokens, True
            ),
            arrival.is_batch,
            started_s + deadline_s,
        )
        sink = _TimingSink()
        failure = await dispatcher.serve(job, sink)
        if arrival.time_s < _WARM_UP_S:
            return
        self._outcomes.append(
            Outcome(
                arrival.is_batch,
                arrival.organisation,
                failure is None,
                sink.first_token_s - started_s,
                (sink.last_s - sink.first_token_s) / max(1, sink.count - 1),
            )
        )

    def _score(self, model_by_name) -> Score:
        """Compute the measures; an incomplete answer counts as late."""
        counted_arrivals = [
            a for a in self._arrivals if a.time_s >= _WARM_UP_S
        ]
        interactive = [o for o in self._outcomes if not o.is_batch]
        on_time = [o for o in interactive if self._is_on_time(o)]
        interactive_arrivals = [a for a in counted_arrivals if not a.is_batch]
        batch_arrivals = [a for a in counted_arrivals if a.is_batch]
        batch_done = [
            o for o in self._outcomes if o.is_batch and o.is_complete
        ]
        cost = sum(
            model.busy_s / 3600 * self._deployment.backend_by_name[name].price
            for name, model in model_by_name.items()
        )
        recomputed_tokens = sum(
            m.recomputed_tokens for m in model_by_name.values()
        )
        organisations = {a.organisation for a in interactive_arrivals}
        return Score(
            len(on_time) / len(interactive_arrivals),
            1000 * cost / max(1, len(on_time)),
            recomputed_tokens / len(self._arrivals),
            _percentile(
                [o.first_token_s for o in interactive if o.is_complete], 95
            ),
            1000 * _percentile([o.token_interval_s for o in interactive], 95),
            len(batch_done) / max(1, len(batch_arrivals)),
            min(
                sum(o.organisation == name for o in on_time)
                / sum(a.organisation == name for a in interactive_arrivals)
                for name in organisations
            ),
        )

    def _is_on_time(self, outcome: Outcome) -> bool:
        return (
            outcome.is_complete
            and outcome.first_token_s <= self._routing.first_token_target_s
            and outcome.token_interval_s
            <= self._routing.token_interval_target_s
        )


def _percentile(values: list[float], percent: int) -> float:
    """Return a percentile; 0 for fewer than two values."""
    if len(values) < 2:
        return 0.0
    return statistics.quantiles(values, n=100)[percent - 1]


def run_in_virtual_time(run: PolicyRun, seed: int) -> Score:
    """Run in virtual time with deterministic scheduling."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    with logbook.NullHandler().applicationbound():
        return trio.run(run.run, clock=testing.MockClock(autojump_threshold=0))


def run_one(case) -> Score:
    """Run one case in the current process."""
    name, policy_name, seed, reclaim_wave = case
    deployment = DEPLOYMENT_BY_NAME[name]
    return run_in_virtual_time(
        PolicyRun(deployment, policy_name, seed, reclaim_wave), seed
    )


def main() -> None:
    """Run all cases and print the table."""
    cases = list(
        itertools.product(
            ('mwangi', 'klippvik'), POLICIES, _SEEDS, (False, True)
        )
    )
    with concurrent.futures.ProcessPoolExecutor(_WORKER_COUNT) as pool:
        score_by_case = dict(zip(cases, pool.map(run_one, cases), strict=True))
    print(f'{SECONDS:g} s of requests, seeds {_SEEDS}; mean (lowest-highest)')
    for deployment, reclaim_wave in itertools.product(
        ('mwangi', 'klippvik'), (False, True)
    ):
        print(
            f'\n{deployment}, {"reclaim wave" if reclaim_wave else "normal"}'
        )
        print(f'{"policy":<18}' + ''.join(f'{f:>26}' for f in Score._fields))
        for policy_name in POLICIES:
            scores = [
                score_by_case[deployment, policy_name, seed, reclaim_wave]
                for seed in _SEEDS
            ]
            cells = [
                f'{statistics.mean(v):>10.4g} ({min(v):.4g}-{max(v):.4g})'
                for v in zip(*scores, strict=True)
            ]
            print(f'{policy_name:<18}' + ''.join(f'{c:>26}' for c in cells))


if __name__ == '__main__':
    main()
