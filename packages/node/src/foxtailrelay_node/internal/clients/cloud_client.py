"""Interface to the cloud API."""

import abc
import typing


class VmRecord(typing.TypedDict):
    """One VM of the lagging list; ``state`` is ``live`` or ``leaving``."""

    id: str
    zone: str
    vm_class: str
    price: float
    state: str


class ReclaimNotice(typing.TypedDict):
    """The VM will be taken away ``seconds`` after the notice."""

    sequence: int
    vm_id: str
    seconds: float


class CloudClient(abc.ABC):
    """Reads VMs and notices; None when the platform does not answer."""

    @abc.abstractmethod
    async def list_vms(self) -> list[VmRecord] | None:
        """Return the lagging list of VMs."""

    @abc.abstractmethod
    async def read_notices(
        self, from_sequence: int, wait_s: float
    ) -> list[ReclaimNotice] | None:
        """Return notices from a sequence number on, waiting for one."""
