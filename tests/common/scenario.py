"""Parses and runs scenarios in the language of ``scenario.lark``."""

import pathlib
import typing

import lark
import trio

from common import cluster as clusters
from common import oracle

_GRAMMAR = lark.Lark(
    pathlib.Path(__file__).with_name('scenario.lark').read_text(),
    parser='lalr',
    maybe_placeholders=True,
    propagate_positions=True,
)
_RECOVERY_S = 30.0
_AFTER_LAST_STEP_S = 1.0


class ScenarioError(Exception):
    """A scenario that cannot be parsed."""


class Step(typing.NamedTuple):
    """One step of a scenario; ``time_s`` is None for a final expectation."""

    time_s: float | None
    line: int
    name: str
    arguments: tuple


class Scenario(typing.NamedTuple):
    """A parsed scenario."""

    title: str
    cluster_options: dict
    steps: list[Step]

    @classmethod
    def from_text(cls, text, source='scenario'):
        """Parse a scenario.

        Raises
        ------
        ScenarioError
            With the position and the tokens expected there.
        """
        try:
            tree = _GRAMMAR.parse(text)
        except lark.exceptions.UnexpectedInput as error:
            expected = getattr(error, 'accepts', None) or getattr(
                error, 'allowed', ()
            )
            names = ', '.join(sorted(expected))
            raise ScenarioError(
                f'{source}, line {error.line}, column {error.column}: '
                f'expected {names}\n{error.get_context(text)}'
            ) from error
        title, cluster, *steps = tree.children
        return cls(
            title[1:-1], _cluster_options(cluster), [_step(s) for s in steps]
        )


def _cluster_options(tree):
    if tree is None:
        return {}
    nodes, backends, engines, not_askable = tree.children
    return {
        'node_count': int(nodes),
        'backend_count': int(backends),
        'engine_count': int(engines),
        'has_status_path': not_askable is None,
    }


def _step(tree):
    if tree.data == 'final':
        action, time_s = tree.children[0], None
    else:
        action, time_s = tree.children[1], float(tree.children[0])
    if action.data == 'expect':
        action = action.children[0]
    arguments = tuple(
        None if child is None else str(child) for child in action.children
    )
    return Step(time_s, tree.meta.line, action.data, arguments)


class ScenarioRunner:
    """Runs one scenario on a new cluster."""

    def __init__(self, scenario):
        self._scenario = scenario
        self._start_s = 0.0
        self._cluster = None
        self._revision_by_statement = {}

    async def run(self):
        """Run all steps, let the cluster recover and check its invariants."""
        async with trio.open_nursery() as nursery:
            self._cluster = clusters.Cluster(
                nursery, **self._scenario.cluster_options
            )
            await self._cluster.start()
            self._start_s = trio.current_time()
            for step in self._scenario.steps:
                if step.time_s is None:
                    continue
                await trio.sleep_until(self._start_s + step.time_s)
                await self._run_step(step, nursery)
                oracle.check_invariants(self._cluster)
            await trio.sleep(_AFTER_LAST_STEP_S)
            await self.clear_faults_and_check()
            for step in self._scenario.steps:
                if step.time_s is None:
                    await self._run_step(step, nursery)
            nursery.cancel_scope.cancel()

    async def clear_faults_and_check(self):
        """End all faults, wait for recovery and check the invariants."""
        self._cluster.clear_faults()
        await trio.sleep(_RECOVERY_S)
        oracle.check_settled(self._cluster)

    async def _run_step(self, step, nursery):
        method = getattr(self, f'_do_{step.name}')
        try:
            result = method(nursery, *step.arguments)
            if hasattr(result, '__await__'):
                await result
        except AssertionError as error:
            raise AssertionError(
                f'{self._scenario.title}: line {step.line}, {step.name} '
                f'{step.arguments}: {error}'
            ) from error

    def _do_call(self, nursery, name, key, node, later, timeout_s):
        nursery.start_soon(
            self._cluster.call,
            name,
            node,
            key,
            float(timeout_s or 10),
            later is not None,
        )

    def _do_stream(self, nursery, name, tokens, node):
        nursery.start_soon(self._cluster.stream, name, node, int(tokens))

    def _do_kill(self, nursery, name):
        self._cluster.kill(name)

    def _do_start_node(self, nursery, name):
        nursery.start_soon(self._cluster.start_node, name)

    def _do_stop(self, nursery, name):
        self._cluster.stop(name)

    def _do_freeze(self, nursery, name):
        self._cluster.network.freeze(name)

    def _do_freeze_before_order(self, nursery):
        self._cluster.network.freeze_before_order = True

    def _do_freeze_after_intent(self, nursery):
        self._cluster.network.freeze_after_intent = True

    def _do_ignores_fencing(self, nursery, name):
        engine = self._cluster.engine_by_name[name]
        engine.profile = engine.profile._replace(checks_fencing=False)

    def _do_wake(self, nursery, name):
        self._cluster.network.wake(name)

    def _do_wake_all(self, nursery):
        for name in self._cluster.node_names:
            self._cluster.network.wake(name)

    def _do_cut(self, nursery, one, other):
        self._cluster.network.cut(one, other)

    def _do_heal(self, nursery, one, other):
        self._cluster.network.heal(one, other)

    def _do_silence(self, nursery, one, other):
        self._cluster.network.hang_connections(one, other)

    def _do_log_down(self, nursery):
        self._cluster.log.faults.down = True

    def _do_log_up(self, nursery):
        self._cluster.log.faults = type(self._cluster.log.faults)()

    def _do_log_slow(self, nursery, delay_s):
        self._cluster.log.faults.delay_s = float(delay_s)

    def _do_log_loses(self, nursery, count):
        self._cluster.log.faults.lost_answers += int(count)

    def _do_log_expires(self, nursery, stream):
        log = self._cluster.log
        log.expire(stream, log.stream(stream).next_offset)

    def _do_backend_refuses(self, nursery, name):
        self._cluster.backend_by_name[name].faults.refuse = True

    def _do_backend_accepts(self, nursery, name):
        self._cluster.backend_by_name[name].faults.refuse = False

    def _do_backend_loses(self, nursery, name, count):
        self._cluster.backend_by_name[name].faults.lost_answers += int(count)

    def _do_slow_backend(self, nursery, name, latency_s):
        self._cluster.backend_by_name[name].latency_s = float(latency_s)

    def _do_down(self, nursery, name):
        self._cluster.down_servers.add(name)

    def _do_up(self, nursery, name):
        self._cluster.down_servers.discard(name)

    def _do_reclaim(self, nursery, name, seconds):
        self._cluster.reclaim(name, float(seconds))

    def _do_state(self, nursery, name, text, node, of):
        base = self._revision_by_statement.get(of)
        revision = self._cluster.node_by_name[node].configuration.revision
        self._revision_by_statement[name] = revision
        nursery.start_soon(self._run_statement, name, node, text[1:-1], base)

    async def _run_statement(self, name, node, text, base):
        result = await self._cluster.run_statement(node, text, base)
        self._cluster.statement_result_by_name[name] = result

    def _do_told(self, nursery, call, outcome):
        result = self._cluster.result_by_call[call]
        actual = 'nothing' if result is None else result.outcome
        assert actual == outcome, f'{call} got {actual}: {result}'

    def _runs_of(self, key):
        return [run for run in self._cluster.runs if run.key == key]

    def _do_key_ran(self, nursery, key):
        assert len(self._runs_of(key)) == 1, self._runs_of(key)

    def _do_key_never(self, nursery, key):
        assert not self._runs_of(key), self._runs_of(key)

    def _do_whole(self, nursery, name):
        stream = self._cluster.stream_result_by_name.get(name)
        assert stream is not None and stream.is_complete, stream

    def _do_stated(self, nursery, name, result):
        actual = self._cluster.statement_result_by_name.get(name)
        assert actual == result, f'result of {name}: {actual}'

    def _do_one_stated(self, nursery, one, other):
        actual = [
            self._cluster.statement_result_by_name.get(n) for n in (one, other)
        ]
        assert sorted(map(str, actual)) == ['accepted', 'conflict'], actual

    def _do_ordered(self, nursery, name, argument):
        orders = self._cluster.engine_by_name[name].orders
        actual = [order['argument'] for order in orders]
        assert actual and actual[-1] == argument, (
            f'{name} was ordered {actual}'
        )

    def _do_same_revision(self, nursery):
        revisions = {
            name: node.configuration.revision
            for name, node in self._cluster.node_by_name.items()
        }
        assert len(set(revisions.values())) == 1, revisions

    def _do_left(self, nursery, name):
        assert name not in self._cluster.node_by_name, 'still running'

    def _do_quiet(self, nursery, name, since_s):
        since = self._start_s + float(since_s)
        engine = self._cluster.engine_by_name[name]
        late = [
            generation.request.request_id
            for generation in engine.generation_by_request_id.values()
            if generation.submitted_s > since
        ]
        assert not late, f'{name} received {late}'
