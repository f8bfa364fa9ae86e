"""Which servers a request may use while a version is being changed."""

import math
import typing

from foxtailrelay_node.internal.relay.backends import backend_server

# An unproved version's requests go to few servers, which so have about the
# load that all will have, and a version that is bad under load shows it.
_MIN_TRIAL_SERVERS = 3

_Servers = typing.Collection[backend_server.BackendServer]


class VersionGate(typing.NamedTuple):
    """The versions of a service that may be used.

    Parameters
    ----------
    target : str
        The new version.
    share : float
        Share of the requests for it: 0 if it must not be used.
    old_versions : frozenset of str
        Versions that must not be used, since the target has replaced them.
    is_needed_alone : bool
        Whether the target serves if no other version is listed.
    withdrawn : frozenset of str
        Versions of earlier orders that were rolled back.
    """

    target: str
    share: float
    old_versions: frozenset[str] = frozenset()
    is_needed_alone: bool = False
    withdrawn: frozenset[str] = frozenset()

    def may_send(self, server: backend_server.BackendServer) -> bool:
        """Whether any request may be sent to a server."""
        if server.version == self.target:
            return self.share > 0 or self.is_needed_alone
        return server.version not in self.withdrawn

    def excluded_ids(
        self,
        servers: _Servers,
        is_target: bool,
        taken_ids: typing.Collection[str] = (),
    ) -> frozenset[str]:
        """Return the ids of the servers that a request must not use.

        Parameters
        ----------
        servers : collection of BackendServer
            The usable servers of the service.
        is_target : bool
            Whether the request belongs to the target's share.
        taken_ids : collection of str
            Servers that it cannot use for other reasons.
        """
        withdrawn = frozenset(
            s.id for s in servers if s.version in self.withdrawn
        )
        servers = [s for s in servers if s.id not in withdrawn]
        return withdrawn | self._excluded_ids(servers, is_target, taken_ids)

    def _excluded_ids(
        self,
        servers: _Servers,
        is_target: bool,
        taken_ids: typing.Collection[str],
    ) -> frozenset[str]:
        target = sorted(s.id for s in servers if s.version == self.target)
        others = [s for s in servers if s.version != self.target]
        if not target:
            return frozenset()
        # Before the change is done, old streams go on at old servers.
        if self.share >= 1 and (is_target or self.old_versions):
            return frozenset(
                server.id
                for server in others
                if not self.old_versions or server.version in self.old_versions
            )
        if not others and self.is_needed_alone:
            return frozenset()
        left = [
            server_id for server_id in target if server_id not in taken_ids
        ]
        if self.share <= 0 or not is_target or not left:
            return frozenset(target)
        count = max(_MIN_TRIAL_SERVERS, math.ceil(self.share * len(target)))
        return frozenset([s.id for s in others] + left[count:])
