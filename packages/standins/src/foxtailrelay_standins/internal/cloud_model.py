"""Model of the cloud API: VM list, VM starts and reclaim notices."""

import typing

import trio


class VmRecord(typing.TypedDict):
    """One VM in the list, which is updated with a delay."""

    id: str
    zone: str
    vm_class: str
    price: float
    state: str


class Notice(typing.TypedDict):
    """The notice of a reclaim."""

    sequence: int
    vm_id: str
    seconds: float


class CloudModel:
    """VMs and notices; the VM list is up to ``list_lag_s`` seconds old."""

    def __init__(self, list_lag_s: float = 5.0) -> None:
        self.list_lag_s = list_lag_s
        self.refuse_starts = False
        self.started_vms: list[VmRecord] = []
        self.notices: list[Notice] = []
        self._vm_by_id: dict[str, VmRecord] = {}
        self._listed_by_id: dict[str, VmRecord] = {}
        self._listed_at_s = -list_lag_s
        self._notice_added = trio.Event()

    def add_vm(self, vm: VmRecord) -> None:
        """Add a running VM."""
        self._vm_by_id[vm['id']] = vm

    def list_vms(self) -> list[VmRecord]:
        """Return the VM list, up to ``list_lag_s`` seconds old."""
        now = trio.current_time()
        if now - self._listed_at_s >= self.list_lag_s:
            self._listed_at_s = now
            self._listed_by_id = {
                key: vm.copy() for key, vm in self._vm_by_id.items()
            }
        return list(self._listed_by_id.values())

    def announce_reclaim(self, vm_ids: list[str], seconds: float) -> None:
        """Announce that VMs will be reclaimed in ``seconds``."""
        for vm_id in vm_ids:
            if vm_id in self._vm_by_id:
                self._vm_by_id[vm_id]['state'] = 'leaving'
            self.notices.append(
                Notice(
                    sequence=len(self.notices), vm_id=vm_id, seconds=seconds
                )
            )
        self._notice_added.set()
        self._notice_added = trio.Event()

    async def wait_for_notices(
        self, sequence: int, wait_s: float
    ) -> list[Notice]:
        """Return notices from a sequence number on; wait for the first."""
        with trio.move_on_after(wait_s):
            while len(self.notices) <= sequence:
                await self._notice_added.wait()
        return self.notices[sequence:]

    def start_vm(self, vm: VmRecord) -> bool:
        """Start a VM; False if the platform refuses."""
        if self.refuse_starts:
            return False
        self.started_vms.append(vm)
        self.add_vm(vm)
        return True
