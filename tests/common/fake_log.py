"""In-process client of the simulated log service."""

from foxtailrelay_node.internal.clients import log_client
from foxtailrelay_node.internal.clients import log_outcomes
from foxtailrelay_standins import models
import trio

from common import network as networks

_RECORDS_PER_READ = 1000


class _PendingAppend:
    """An append that was sent and has no answer yet."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.offset = -1


class FakeLog(log_client.LogClient):
    """One node's client of a shared :class:`LogStore`.

    A sent append continues after its node was killed or has timed out, as
    a request does that is already on the network.
    """

    def __init__(
        self,
        node: str,
        store: models.LogStore,
        network: networks.Network,
        nursery: trio.Nursery,
        timeout_s: float,
    ) -> None:
        self._node = node
        self._store = store
        self._network = network
        self._nursery = nursery
        self._timeout_s = timeout_s

    async def append(self, stream, data):
        await self._network.delay_message(self._node)
        if self._store.faults.down:
            return log_outcomes.AppendRefused('status 503')
        if self._network.is_cut(self._node, 'log'):
            return log_outcomes.AppendRefused('cannot connect')
        pending = _PendingAppend()
        self._nursery.start_soon(self._append, stream, data, pending)
        with trio.move_on_after(self._timeout_s):
            await pending.done.wait()
        if self._network.freeze_after_intent and b'"intent"' in data:
            self._network.freeze_after_intent = False
            self._network.freeze(self._node)
        await self._network.wait_while_frozen(self._node)
        if not pending.done.is_set():
            return log_outcomes.AppendUnconfirmed('timeout')
        return log_outcomes.Appended(pending.offset)

    async def _append(self, stream, data, pending):
        faults = self._store.faults
        is_answer_lost = faults.lost_answers > 0
        if is_answer_lost:
            faults.lost_answers -= 1
        await trio.sleep(faults.delay_s)
        pending.offset = self._store.append(stream, data)
        await trio.sleep(networks.LATENCY_S)
        if not is_answer_lost and not self._network.is_cut(self._node, 'log'):
            pending.done.set()

    async def read(self, stream, from_offset, wait_s):
        await self._network.delay_message(self._node)
        if self._is_unreachable():
            return log_outcomes.ReadFailed('cannot connect')
        await trio.sleep(self._store.faults.delay_s)
        await self._store.wait_for_offset(stream, from_offset, wait_s)
        await self._network.delay_message(self._node)
        if self._is_unreachable():
            return log_outcomes.ReadFailed('no answer')
        state = self._store.stream(stream)
        if from_offset < state.first_offset:
            return log_outcomes.Expired(state.first_offset)
        records = self._store.read(stream, from_offset, _RECORDS_PER_READ)
        return log_outcomes.Page(
            tuple(log_outcomes.LogRecord(*record) for record in records),
            state.next_offset,
        )

    def _is_unreachable(self):
        is_cut = self._network.is_cut(self._node, 'log')
        return is_cut or self._store.faults.down
