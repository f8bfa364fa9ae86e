"""What a search for the origin of a stream has found."""

import typing

from foxtailrelay_core import messages


class StreamSearch(typing.NamedTuple):
    """Where a stream began, or what the asked nodes know in its place.

    Parameters
    ----------
    origin : StreamOrigin or None
        The record of the stream.
    sole_version : str
        The only version that may have begun the stream; empty if there may
        be several.
    own_sole_version : str
        The only version in this node's list.
    peer_sole_versions : tuple of str
        What peers name as the only version.
    equal_versions : tuple of str
        Versions of streams of equal requests; empty for a process whose
        version is not known.
    failure : str
        Why another node may know more; empty if none does.
    answered_ids, ended_ids, silent_ids : tuple of str
        Nodes that have answered, whose connections failed, and that have not
        answered in time.
    absent_ids : tuple of str
        Nodes that are not asked, since their last reports are too old.
    """

    origin: messages.StreamOrigin | None = None
    sole_version: str = ''
    own_sole_version: str = ''
    peer_sole_versions: tuple[str, ...] = ()
    equal_versions: tuple[str, ...] = ()
    failure: str = ''
    answered_ids: tuple[str, ...] = ()
    ended_ids: tuple[str, ...] = ()
    silent_ids: tuple[str, ...] = ()
    absent_ids: tuple[str, ...] = ()
