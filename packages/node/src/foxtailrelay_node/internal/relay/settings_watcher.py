"""Reloads settings that change while the node runs."""

import abc

import logbook

from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay import relay_settings
from foxtailrelay_node.internal.relay import ticks

_LOG = logbook.Logger('foxtailrelay.node')
_POLL_INTERVAL_S = 1.0


class SettingsSource(abc.ABC):
    """Source of the settings while the node runs."""

    @abc.abstractmethod
    def stamp(self) -> object:
        """Return a value that differs if the settings may have changed."""

    def initial_stamp(self) -> object:
        """Return the stamp of the settings that the node started with."""
        return self.stamp()

    @abc.abstractmethod
    def load(self) -> relay_settings.RelaySettings | str:
        """Return the current settings, or the reason why they are unusable."""


class SettingsWatcher:
    """Applies changed seeds; other settings need a restart.

    Parameters
    ----------
    source : SettingsSource
        Source of the settings.
    addresses : AddressBook
        Updated with the changed seeds.
    """

    def __init__(
        self, source: SettingsSource, addresses: address_book.AddressBook
    ) -> None:
        self._source = source
        self._addresses = addresses

    async def run(self) -> None:
        """Poll for changes until cancelled; signals call :meth:`reload`."""
        stamp = self._source.initial_stamp()
        while True:
            await ticks.sleep(_POLL_INTERVAL_S)
            current = self._source.stamp()
            if current != stamp:
                stamp = current
                self.reload('changed file')

    def reload(self, cause: str) -> None:
        """Load the settings again; ignore them if they are unusable."""
        loaded = self._source.load()
        if isinstance(loaded, str):
            _LOG.error(
                'settings-unusable', extra={'cause': cause, 'errors': loaded}
            )
            return
        self._addresses.set_seeds(loaded.seeds)
        _LOG.info(
            'settings-reloaded',
            extra={'cause': cause, 'seeds': len(loaded.seeds)},
        )
