"""Client interface for the cloud API."""

import abc
import typing


class VmRecord(typing.TypedDict):
    """One VM in the cloud's list; ``state`` is ``live`` or ``leaving``.

    The list is eventually consistent, so the state may be outdated.
    """

    id: str
    zone: str
    vm_class: str
    price: float
    state: str


class ReclaimNotice(typing.TypedDict):
    """The cloud will reclaim the VM ``seconds`` after the notice."""

    sequence: int
    vm_id: str
    seconds: float


class CloudClient(abc.ABC):
    """Reads VMs and reclaim notices.

    Methods return None if the cloud API returns no valid answer.
    """

    @abc.abstractmethod
    async def list_vms(self) -> list[VmRecord] | None:
        """Return the list of VMs, which may be outdated."""

    @abc.abstractmethod
    async def read_notices(
        self, from_sequence: int, wait_s: float
    ) -> list[ReclaimNotice] | None:
        """Return the notices from a sequence number on.

        Waits up to ``wait_s`` seconds for the first one.
        """
