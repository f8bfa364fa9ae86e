"""Software versions that were listed lately."""

import math

# Streams that last longer are not covered.
_RETENTION_S = 120.0


class VersionHistory:
    """When each version of a service was last listed.

    Examples
    --------
    >>> history = VersionHistory()
    >>> history.record('model', 'v1', 10.0)
    >>> history.find_sole('model', {'v1'}, 80.0, 60.0)
    'v1'
    """

    def __init__(self) -> None:
        self._first_at_s = math.inf
        self._last_at_s_by_version: dict[tuple[str, str], float] = {}

    def record(self, service: str, version: str, now_s: float) -> None:
        """Record that a version is or was listed until now."""
        self._first_at_s = min(self._first_at_s, now_s)
        self._last_at_s_by_version[service, version] = now_s
        for key, last_at_s in list(self._last_at_s_by_version.items()):
            if last_at_s < now_s - _RETENTION_S:
                del self._last_at_s_by_version[key]

    def restart(self, now_s: float) -> None:
        """Record that earlier versions may be missing."""
        self._first_at_s = now_s

    def find_sole(
        self, service: str, listed: set[str], now_s: float, window_s: float
    ) -> str:
        """Return the only version of the last time; empty if unknown.

        Parameters
        ----------
        service : str
            The service.
        listed : set of str
            Versions that are listed now.
        now_s : float
            Seconds since boot.
        window_s : float
            Time for which no other version may have been listed.
        """
        oldest_s = now_s - window_s
        if self._first_at_s > oldest_s or window_s > _RETENTION_S:
            return ''
        versions = listed | {
            version
            for (name, version), last_at_s in (
                self._last_at_s_by_version.items()
            )
            if name == service and last_at_s >= oldest_s
        }
        return versions.pop() if len(versions) == 1 else ''
