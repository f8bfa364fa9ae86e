"""In-process client of simulated plain backend servers."""

from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_standins import models
import trio

from common import network as networks

_QUERY_PREFIX = '/calls/'


class _PendingCall:
    """A call that was sent and has no answer yet."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.answer: bytes | None = None


class FakeBackends(backend_client.BackendClient):
    """One node's client of the shared backend server models.

    A sent call continues at its server after its node was killed.
    """

    def __init__(
        self,
        node: str,
        model_by_name: dict[str, models.BackendModel],
        down_servers: set[str],
        network: networks.Network,
        nursery: trio.Nursery,
    ) -> None:
        self._node = node
        self._model_by_name = model_by_name
        self._down_servers = down_servers
        self._network = network
        self._nursery = nursery

    async def call(self, address, call):
        await self._network.delay_message(self._node)
        name = address.name
        if name in self._down_servers or self._network.is_cut(
            self._node, name
        ):
            return http_outcomes.NotSent('cannot connect')
        opened_s = trio.current_time()
        pending = _PendingCall()
        model = self._model_by_name[name]
        if call.path.startswith(_QUERY_PREFIX):
            answer = model.answer_of(call.path.removeprefix(_QUERY_PREFIX))
            status = 404 if answer is None else 200
            return http_outcomes.HttpAnswer(status, (), answer or b'')
        self._nursery.start_soon(self._run, model, call, pending)
        with trio.move_on_after(call.timeout_s):
            await pending.done.wait()
            await self._network.delay_message(self._node)
        if (
            not pending.done.is_set()
            or self._network.is_cut(self._node, name)
            or self._network.is_hanging(self._node, name, opened_s)
        ):
            return http_outcomes.Unclear('no answer')
        if pending.answer is None:
            return http_outcomes.HttpAnswer(503, (), b'')
        return http_outcomes.HttpAnswer(200, (), pending.answer)

    async def _run(self, model, call, pending):
        key = dict(call.headers).get('idempotency-key', '')
        pending.answer = await model.call(
            key, call.method, call.path, call.body
        )
        pending.done.set()
