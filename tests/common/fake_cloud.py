"""In-process client of the simulated cloud API."""

from foxtailrelay_node.internal.clients import cloud_client


class FakeCloud(cloud_client.CloudClient):
    """One node's client of the shared cloud model."""

    def __init__(self, node, model, network):
        self._node = node
        self._model = model
        self._network = network

    async def list_vms(self):
        await self._network.delay_message(self._node)
        if self._network.is_cut(self._node, 'cloud'):
            return None
        return self._model.list_vms()

    async def read_notices(self, from_sequence, wait_s):
        await self._network.delay_message(self._node)
        if self._network.is_cut(self._node, 'cloud'):
            return None
        notices = await self._model.wait_for_notices(from_sequence, wait_s)
        await self._network.wait_while_frozen(self._node)
        return notices
