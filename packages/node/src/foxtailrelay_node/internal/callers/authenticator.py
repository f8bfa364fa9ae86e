"""Checks bearer tokens against salted hashes."""

import hashlib
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import tokens
import trio

from foxtailrelay_node.internal.callers import request_failed

_LARGEST_CACHE = 10_000
_HASHING_THREADS = 2
_SCHEME = 'bearer '


class Authenticator:
    """Finds the account of a bearer token.

    Hashing is slow by design, so tokens found right are remembered, by a
    digest and together with the salted hash they matched: a changed token
    is checked again.

    Parameters
    ----------
    salted_hash_of : callable
        Returns the salted hash of an account name, or None.
    """

    def __init__(
        self,
        salted_hash_of: typing.Callable[[str], tokens.SaltedHash | None],
    ) -> None:
        self._salted_hash_of = salted_hash_of
        self._limiter = trio.CapacityLimiter(_HASHING_THREADS)
        self._matched_by_digest: dict[bytes, tokens.SaltedHash] = {}

    async def authenticate(self, authorization: str) -> str:
        """Return the account of an ``Authorization`` header.

        Raises
        ------
        RequestFailed
            If the token is missing or wrong.
        """
        token = authorization[len(_SCHEME) :].strip()
        if not authorization.lower().startswith(_SCHEME) or not token:
            raise _unauthenticated('send Authorization: Bearer NAME.SECRET')
        name = tokens.account_name(token)
        salted = self._salted_hash_of(name)
        if salted is None:
            raise _unauthenticated('the token is not valid')
        digest = hashlib.sha256(token.encode()).digest()
        if self._matched_by_digest.get(digest) == salted:
            return name
        matches = await trio.to_thread.run_sync(
            salted.matches, token, limiter=self._limiter
        )
        if not matches:
            raise _unauthenticated('the token is not valid')
        if len(self._matched_by_digest) >= _LARGEST_CACHE:
            self._matched_by_digest.clear()
        self._matched_by_digest[digest] = salted
        return name


def _unauthenticated(detail: str) -> request_failed.RequestFailed:
    return request_failed.RequestFailed.of(
        errors.ErrorKind.UNAUTHENTICATED, detail
    )
