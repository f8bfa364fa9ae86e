"""One process of a backend server of the soak."""

import dataclasses

import trio

from standin import engine


@dataclasses.dataclass
class ServerProcess:
    """A process that serves, or has served, as a backend server.

    Parameters
    ----------
    number : int
        Number of the process in this run; events name it.
    service : str
        The service that it belongs to.
    stand_in : EngineStandIn
        What the process does, and what it recorded.
    address : str
        ``IP:PORT`` behind the proxy.
    scope : CancelScope
        Ends the process.
    """

    number: int
    service: str
    stand_in: engine.EngineStandIn
    address: str = ''
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )

    @property
    def server_id(self) -> str:
        """Id of the server in the server list."""
        return self.stand_in.server_id

    @property
    def version(self) -> str:
        """Version of its software."""
        return self.stand_in.version

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.scope.cancel_called

    def describe(self) -> str:
        """Return id, start, number and version for messages."""
        return (
            f'{self.server_id} born {self.stand_in.started_ms} (process '
            f'{self.number}, {self.service} {self.version})'
        )
