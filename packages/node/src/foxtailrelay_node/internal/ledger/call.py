"""A caller's request to a non-idempotent service."""

import base64
import hashlib
import typing

from foxtailrelay_node.internal.ledger import entry as entries


class LedgerCall(typing.NamedTuple):
    """A request to run at most once.

    Parameters
    ----------
    request_id : str
        Unique id of the request.
    key : str
        ``organisation/service/Idempotency-Key``.
    method, path : str
        HTTP method and path for the backend server.
    headers : tuple of (str, str)
        Headers to forward, including ``Idempotency-Key``.
    body : bytes
        Body to forward.
    deadline_s : float
        Deadline on trio's clock.
    """

    request_id: str
    key: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float

    @property
    def service(self) -> str:
        """Name of the service."""
        return self.key.split('/', 2)[1]

    @property
    def idempotency_key(self) -> str:
        """Value of the ``Idempotency-Key`` header."""
        return self.key.split('/', 2)[2]

    def fingerprint(self) -> str:
        """Hash the method, path and body, which identify a call."""
        digest = hashlib.sha256()
        for part in (self.method, self.path):
            digest.update(part.encode() + b'\0')
        digest.update(self.body)
        return digest.hexdigest()

    def to_stored(self) -> entries.StoredCall:
        """Convert to the form stored in the log."""
        return entries.StoredCall(
            method=self.method,
            path=self.path,
            headers=[list(header) for header in self.headers],
            body=base64.b64encode(self.body).decode(),
        )

    @classmethod
    def from_entry(
        cls, entry: entries.LedgerEntry, deadline_s: float
    ) -> 'LedgerCall':
        """Rebuild the call from an accepted entry."""
        stored = entry.call
        return cls(
            request_id=entry.request_id,
            key=entry.key,
            method=stored['method'],
            path=stored['path'],
            headers=tuple((name, value) for name, value in stored['headers']),
            body=base64.b64decode(stored['body']),
            deadline_s=deadline_s,
        )
