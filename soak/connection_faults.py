"""Connections of a node or a server that are reset at one moment."""

import typing

from soak import fault_group

_SHARES = (0.3, 0.5, 1.0)


class ConnectionFaults(fault_group.FaultGroup):
    """Resets a share of the connections of one process."""

    def kinds(self) -> tuple[typing.Callable, ...]:
        """Return the faults; each takes the nursery of the servers."""
        return (self._reset_conns_of_node, self._reset_conns_of_server)

    async def _reset_conns_of_node(self, servers) -> None:
        """Reset connections of callers and peers to a node."""
        host, open_count = await self._gather_at_node(servers)
        share = self._rng.choice(_SHARES)
        with self._cluster.all_disrupted():
            counts = [
                proxy.reset_share(self._rng, share)
                for proxy in (
                    self._cluster.front_proxy_by_host[host],
                    self._cluster.peer_proxy_by_host[host],
                )
            ]
        self._record(
            f'reset_conns: {host} ({open_count} open streams): {counts[0]} '
            f'of callers, {counts[1]} of peers'
        )

    async def _reset_conns_of_server(self, servers) -> None:
        """Reset connections of nodes to a server."""
        share = self._rng.choice(_SHARES)
        for name in await self._gather_at_servers(servers, 1):
            described = self._describe([name])
            proxy = self._cluster.proxy_by_engine[name]
            count = proxy.reset_share(self._rng, share)
            self._record(f'reset_conns: {described}: {count}')
