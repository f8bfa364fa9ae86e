"""A backend server as listed by the platform."""

import typing


class BackendServer(typing.NamedTuple):
    """One instance of a backend server.

    Parameters
    ----------
    id : str
        Name of this instance.  Another instance at the address has another
        name or a later ``started_ms``.
    service : str
        The service it belongs to.
    host, port : str, int
        Where it listens.
    zone : str
        Data centre.
    slots : int
        Requests that it processes concurrently.
    is_draining : bool
        Whether it finishes its requests and accepts no new ones.
    is_reclaimable : bool
        Whether the platform may terminate it at short notice.
    started_ms : int
        Unix time of its start in milliseconds; 0 if not listed.
    version : str
        Version of its software; empty if the entry names none.
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
    version: str = ''

    @property
    def instance_key(self) -> tuple[str, int]:
        """Identity of this instance."""
        return self.id, self.started_ms
