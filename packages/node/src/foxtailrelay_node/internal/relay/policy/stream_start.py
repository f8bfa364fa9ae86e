"""Which number the first event of a stream may have."""

import collections

_USUAL_MAX_ID = 1
# One faulty server, or two, do not show how a software version counts.
_SERVERS_OF_A_PROOF = 3
_MAX_IDS = 8
_MAX_VERSIONS = 256

# Service and software version.
VersionKey = tuple[str, str]


class StreamStarts:
    """Learns from which number the servers of a version count events.

    Servers of one version count alike.  Before anything is known, a stream
    may begin with event 0 or 1.

    Examples
    --------
    >>> starts = StreamStarts()
    >>> starts.find_fault(('chat', 'v1'), 'i-1', 1)
    ''
    >>> starts.find_fault(('chat', 'v1'), 'i-2', 3)
    'the stream began with event 3'
    """

    def __init__(self) -> None:
        self._servers_by_id_by_version: collections.OrderedDict[
            VersionKey, dict[int, set[str]]
        ] = collections.OrderedDict()

    def find_fault(
        self, version: VersionKey, server_id: str, first_id: int
    ) -> str:
        """Record a first event; return why one is missing, or nothing."""
        servers_by_id = self._servers_by_id_by_version.setdefault(version, {})
        self._servers_by_id_by_version.move_to_end(version)
        if len(self._servers_by_id_by_version) > _MAX_VERSIONS:
            self._servers_by_id_by_version.popitem(last=False)
        servers = servers_by_id.setdefault(first_id, set())
        if len(servers) < _SERVERS_OF_A_PROOF:
            servers.add(server_id)
        if len(servers_by_id) > _MAX_IDS:
            del servers_by_id[max(servers_by_id)]
        count_by_id = {n: len(ids) for n, ids in servers_by_id.items()}
        if may_begin_with(first_id, count_by_id):
            return ''
        return f'the stream began with event {first_id}'


def may_begin_with(first_id: int, count_by_id: dict[int, int]) -> bool:
    """Return whether a stream that begins with an event may be whole.

    Parameters
    ----------
    first_id : int
        Number of the first event.
    count_by_id : dict of int to int
        How many servers have begun a stream with a number.

    Examples
    --------
    >>> may_begin_with(3, {1: 1, 3: 3}), may_begin_with(3, {3: 3})
    (False, True)
    """
    is_usual = first_id <= _USUAL_MAX_ID
    if not is_usual and count_by_id.get(first_id, 0) < _SERVERS_OF_A_PROOF:
        return False
    # A single lower number contradicts an unusual one.
    needed = _SERVERS_OF_A_PROOF if is_usual else 1
    return not any(
        count >= needed
        for number, count in count_by_id.items()
        if number < first_id
    )
