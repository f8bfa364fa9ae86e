"""Requests that arrived while suspects were in quarantine."""

import collections

_MIN_REQUESTS = 20
_MAX_REQUESTS = 200


class RequestSample:
    """The newest different requests for a service.

    Repeated requests count once, so that a caller that retries does not make
    its parts look common.

    Examples
    --------
    >>> sample = RequestSample()
    >>> for number in range(20):
    ...     sample.record(('aa' if number % 2 else 'bb', f'u{number}'))
    >>> sample.share('aa')
    0.5
    """

    def __init__(self) -> None:
        self._requests: collections.OrderedDict[tuple[str, ...], None] = (
            collections.OrderedDict()
        )

    def record(self, suspect_ids: tuple[str, ...]) -> None:
        """Record a request by its suspects."""
        self._requests[suspect_ids] = None
        self._requests.move_to_end(suspect_ids)
        if len(self._requests) > _MAX_REQUESTS:
            self._requests.popitem(last=False)

    def share(self, suspect_id: str) -> float:
        """Return the share with a suspect; 0 if requests are too few."""
        if len(self._requests) < _MIN_REQUESTS:
            return 0.0
        return sum(suspect_id in ids for ids in self._requests) / len(
            self._requests
        )
