"""Exception that ends the handling of a request with a failure."""

from foxtailrelay_core import errors


class RequestFailed(Exception):
    """Raised in a request handler to answer with a problem document."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure

    @classmethod
    def of(cls, kind: errors.ErrorKind, detail: str) -> 'RequestFailed':
        """Build from an error kind and a detail."""
        return cls(errors.Failure(kind, detail))
