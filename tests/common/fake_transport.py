"""In-process connections between nodes, with injected faults."""

from foxtailrelay_node.internal.members import transport
import trio
from trio import testing

from common import network as networks


class FaultyStream(trio.abc.Stream):
    """One end of a connection; drops sent data while it is cut or hangs."""

    def __init__(self, inner, source, target, network):
        self._inner = inner
        self._source = source
        self._target = target
        self._network = network
        self._opened_s = trio.current_time()

    async def send_all(self, data):
        await self._network.delay_message(self._source)
        pair = (self._source, self._target)
        if self._network.is_cut(*pair):
            return
        if self._network.is_hanging(*pair, self._opened_s):
            return
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        data = await self._inner.receive_some(max_bytes)
        await self._network.wait_while_frozen(self._source)
        return data

    async def aclose(self):
        await self._inner.aclose()


class FakeTransport(transport.PeerTransport):
    """Connects to other nodes of the test cluster; port 1 is node ``n1``.

    Parameters
    ----------
    node : str
        Name of the connecting node.
    network : Network
        The network, with its faults.
    accept : callable
        Passes the far end of a connection to the named node; returns False
        if that node is not running.
    """

    def __init__(self, node, network: networks.Network, accept):
        self._node = node
        self._network = network
        self._accept = accept

    async def dial(self, host, port):
        await self._network.delay_message(self._node)
        target = f'n{port}'
        if self._network.is_cut(self._node, target):
            await trio.sleep(30)
            raise OSError('timeout')
        near, far = testing.memory_stream_pair()
        ends = (
            FaultyStream(near, self._node, target, self._network),
            FaultyStream(far, target, self._node, self._network),
        )
        if not self._accept(target, ends[1]):
            raise OSError('connection refused')
        return ends[0]
