"""Authentication by bearer tokens with salted hashes."""

import hashlib
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import tokens
import trio

from foxtailrelay_node.internal.callers import request_failed

_MAX_CACHED_TOKENS = 10_000
_HASHING_THREADS = 2
_SCHEME = 'bearer '


class Authenticator:
    """Verifies bearer tokens and returns their accounts.

    The salted hash is slow by design, so the result for a valid token is
    cached by the token's digest.  An entry holds the salted hash that the
    token matched, so it is no longer used once the account's hash changes.

    Parameters
    ----------
    salted_hash_of : callable
        Returns the salted hash of an account, or None if there is none
        with this name.
    """

    def __init__(
        self,
        salted_hash_of: typing.Callable[[str], tokens.SaltedHash | None],
    ) -> None:
        self._salted_hash_of = salted_hash_of
        self._limiter = trio.CapacityLimiter(_HASHING_THREADS)
        self._verified_hash_by_digest: dict[bytes, tokens.SaltedHash] = {}

    async def authenticate(self, authorization: str) -> str:
        """Verify an ``Authorization`` header and return its account.

        Raises
        ------
        RequestFailed
            If the token is missing or not valid.
        """
        token = authorization[len(_SCHEME) :].strip()
        if not authorization.lower().startswith(_SCHEME) or not token:
            raise _unauthenticated('send Authorization: Bearer NAME.SECRET')
        name = tokens.account_name(token)
        salted = self._salted_hash_of(name)
        if salted is None:
            raise _unauthenticated('the token is not valid')
        digest = hashlib.sha256(token.encode()).digest()
        if self._verified_hash_by_digest.get(digest) == salted:
            return name
        matches = await trio.to_thread.run_sync(
            salted.matches, token, limiter=self._limiter
        )
        if not matches:
            raise _unauthenticated('the token is not valid')
        if len(self._verified_hash_by_digest) >= _MAX_CACHED_TOKENS:
            self._verified_hash_by_digest.clear()
        self._verified_hash_by_digest[digest] = salted
        return name


def _unauthenticated(detail: str) -> request_failed.RequestFailed:
    return request_failed.RequestFailed.of(
        errors.ErrorKind.UNAUTHENTICATED, detail
    )
