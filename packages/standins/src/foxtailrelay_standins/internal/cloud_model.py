"""Model of the cloud API: VMs, reclaim notices, starts."""

import typing

import trio


class VmRecord(typing.TypedDict):
    """One VM as the lagging list shows it."""

    id: str
    zone: str
    vm_class: str
    price: float
    state: str


class Notice(typing.TypedDict):
    """An announced reclaim."""

    sequence: int
    vm_id: str
    seconds: float


class CloudModel:
    """Knows the VMs; the list lags behind by ``list_lag_s`` seconds."""

    def __init__(self, list_lag_s: float = 5.0) -> None:
        self.list_lag_s = list_lag_s
        self.refuse_starts = False
        self.starts: list[VmRecord] = []
        self.notices: list[Notice] = []
        self._vm_by_id: dict[str, VmRecord] = {}
        self._shown_by_id: dict[str, VmRecord] = {}
        self._shown_at = -list_lag_s
        self._noticed = trio.Event()

    def add_vm(self, vm: VmRecord) -> None:
        """Add a running VM."""
        self._vm_by_id[vm['id']] = vm

    def list_vms(self) -> list[VmRecord]:
        """Return the list, as old as the lag allows."""
        now = trio.current_time()
        if now - self._shown_at >= self.list_lag_s:
            self._shown_at = now
            self._shown_by_id = {
                key: vm.copy() for key, vm in self._vm_by_id.items()
            }
        return list(self._shown_by_id.values())

    def announce_reclaim(self, vm_ids: list[str], seconds: float) -> None:
        """Announce that VMs will be taken away in ``seconds``."""
        for vm_id in vm_ids:
            if vm_id in self._vm_by_id:
                self._vm_by_id[vm_id]['state'] = 'leaving'
            self.notices.append(
                Notice(
                    sequence=len(self.notices), vm_id=vm_id, seconds=seconds
                )
            )
        self._noticed.set()
        self._noticed = trio.Event()

    async def wait_for_notices(
        self, sequence: int, wait_s: float
    ) -> list[Notice]:
        """Return notices from a sequence number on, waiting for the first."""
        with trio.move_on_after(wait_s):
            while len(self.notices) <= sequence:
                await self._noticed.wait()
        return self.notices[sequence:]

    def start_vm(self, vm: VmRecord) -> bool:
        """Start a VM; False when the platform refuses."""
        if self.refuse_starts:
            return False
        self.starts.append(vm)
        self.add_vm(vm)
        return True
