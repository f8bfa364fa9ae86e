"""A backend server as the platform lists it."""

import typing


class BackendServer(typing.NamedTuple):
    """One start of a backend server.

    Parameters
    ----------
    id : str
        Name of this start; another start at the address has another one or
        a later ``started_ms``.
    service : str
        The service it belongs to.
    host, port : str, int
        Where it listens.
    zone : str
        Data centre.
    slots : int
        Requests that it processes at once.
    is_draining : bool
        Whether it has announced that it leaves.
    is_reclaimable : bool
        Whether the platform may take it away at short notice.
    started_ms : int
        Unix time of its start in milliseconds; 0 where not told.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    is_reclaimable: bool
    started_ms: int

    @property
    def instance_key(self) -> tuple[str, int]:
        """What tells one start of a server from every other."""
        return self.id, self.started_ms
