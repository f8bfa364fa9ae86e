"""A call of a caller to a non-idempotent service."""

import base64
import hashlib
import typing

from foxtailrelay_node.internal.ledger import entry as entries


class LedgerCall(typing.NamedTuple):
    """What a caller wants run at most once.

    Parameters
    ----------
    request_id : str
        Unique for this request.
    key : str
        ``organisation/service/Idempotency-Key``.
    method, path : str
        As the backend server expects them.
    headers : tuple of (str, str)
        Headers to pass on, ``Idempotency-Key`` among them.
    body : bytes
        Body to pass on.
    deadline_s : float
        Deadline by trio's clock.
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
        """The key as the caller wrote it."""
        return self.key.split('/', 2)[2]

    def fingerprint(self) -> str:
        """Hash what makes two calls the same."""
        digest = hashlib.sha256()
        for part in (self.method, self.path):
            digest.update(part.encode() + b'\0')
        digest.update(self.body)
        return digest.hexdigest()

    def to_stored(self) -> entries.StoredCall:
        """Return the form that is kept in the log."""
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
        """Build the call again from an accepted entry."""
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
