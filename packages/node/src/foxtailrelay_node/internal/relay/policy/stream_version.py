"""Decides which servers may go on with a stream."""

import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.backends import backend_server


class VersionRequirement(typing.NamedTuple):
    """The servers that may go on with a stream.

    Parameters
    ----------
    version : str
        Version of their software.
    instance_key : tuple of str and int, or None
        The only instance, where its version is not known.
    """

    version: str
    instance_key: tuple[str, int] | None = None

    def allows(self, server: backend_server.BackendServer) -> bool:
        """Whether a server may go on with the stream."""
        if self.instance_key is not None:
            return server.instance_key == self.instance_key
        return server.version == self.version

    @property
    def name(self) -> str:
        """What is required, for the log and the caller."""
        if self.instance_key is not None:
            return f'instance {self.instance_key[0]}'
        return f'version {self.version}'


class Unresolved(typing.NamedTuple):
    """The version of a stream is not certain.

    Parameters
    ----------
    why : str
        Cause, for the log and the caller.
    is_node_specific : bool
        Whether another node may have the answer.
    """

    why: str
    is_node_specific: bool


def resolve(
    origin: messages.StreamOrigin | None,
    sole_version: str,
    is_list_current: bool,
    search_failure: str = '',
) -> VersionRequirement | Unresolved:
    """Return which servers may go on with a stream.

    Parameters
    ----------
    origin : StreamOrigin or None
        Where the stream began, if known.
    sole_version : str
        The only version that was listed for longer than streams last; empty
        if there were several or the list was not followed for so long.
    is_list_current : bool
        Whether this node's list of servers is current.
    search_failure : str
        Why this node could not find a sole version, if another one may.
    """
    if not is_list_current:
        return Unresolved('the list of servers is not current here', True)
    if origin is None:
        if sole_version:
            return VersionRequirement(sole_version)
        if search_failure:
            return Unresolved(search_failure, True)
        return Unresolved(
            'the version that began the stream is not recorded', False
        )
    if not origin.is_certain:
        return Unresolved(
            'the version that began the stream is uncertain', False
        )
    if origin.version:
        return VersionRequirement(origin.version)
    return VersionRequirement('', (origin.server, origin.started_ms))
