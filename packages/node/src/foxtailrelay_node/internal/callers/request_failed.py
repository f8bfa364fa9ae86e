"""Ends the handling of a request with a failure."""

from foxtailrelay_core import errors


class RequestFailed(Exception):
    """Carries a failure from anywhere in a handler to its answer."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure

    @classmethod
    def of(cls, kind: errors.ErrorKind, detail: str) -> 'RequestFailed':
        """Build from a kind and its detail."""
        return cls(errors.Failure(kind, detail))
