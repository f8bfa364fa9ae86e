"""Watches the platform's reclaim notices."""

import typing

import logbook
import trio

from foxtailrelay_node.internal.clients import cloud_client

_LOG = logbook.Logger('foxtailrelay.notices')
_POLL_WAIT_S = 5.0
_RETRY_DELAY_S = 0.5


class ReclaimNoticeWatcher:
    """Adds each VM to the leaving VMs when its reclaim is announced.

    Parameters
    ----------
    cloud : CloudClient
        Source of the notices.
    leaving_vms : set of str
        VMs that have a reclaim notice.
    own_vm : str
        VM that this node runs on.
    on_own_notice : callable
        Called with the seconds left until this node's VM is reclaimed.
    """

    def __init__(
        self,
        cloud: cloud_client.CloudClient,
        leaving_vms: set[str],
        own_vm: str,
        on_own_notice: typing.Callable[[float], None],
    ) -> None:
        self._cloud = cloud
        self._leaving_vms = leaving_vms
        self._own_vm = own_vm
        self._on_own_notice = on_own_notice

    async def run(self) -> None:
        """Wait for notices until cancelled."""
        sequence = 0
        while True:
            notices = await self._cloud.read_notices(sequence, _POLL_WAIT_S)
            if notices is None:
                await trio.sleep(_RETRY_DELAY_S)
                continue
            for notice in notices:
                sequence = notice['sequence'] + 1
                self._leaving_vms.add(notice['vm_id'])
                _LOG.info(
                    'placement vm={} chosen=no-new-work why=reclaim-notice '
                    'seconds={}',
                    notice['vm_id'],
                    notice['seconds'],
                )
                if notice['vm_id'] == self._own_vm:
                    self._on_own_notice(notice['seconds'])
