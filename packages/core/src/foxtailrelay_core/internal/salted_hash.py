"""Salted hash of a bearer token."""

import hashlib
import hmac
import secrets
import typing

_SALT_BYTES = 16
_HASH_BYTES = 32
_SCRYPT_COST = 1 << 12
_SCRYPT_BLOCK_SIZE = 8
_SCRYPT_PARALLELISM = 1


def account_name(token: str) -> str:
    """Return the account that a token claims to be of."""
    return token.partition('.')[0]


class SaltedHash(typing.NamedTuple):
    """The salt and the hash of one token, both hexadecimal."""

    salt: str
    token_hash: str

    @classmethod
    def from_token(cls, token: str) -> 'SaltedHash':
        """Hash a token with a fresh salt."""
        salt = secrets.token_bytes(_SALT_BYTES)
        return cls(salt.hex(), _hash(token, salt))

    def matches(self, token: str) -> bool:
        """Tell in constant time whether this is the hash of ``token``.

        Takes some milliseconds by design; cache the result.
        """
        found = _hash(token, bytes.fromhex(self.salt))
        return hmac.compare_digest(found, self.token_hash)


def _hash(token: str, salt: bytes) -> str:
    """Hash with scrypt, so that a stolen hash resists guessing."""
    digest = hashlib.scrypt(
        token.encode(),
        salt=salt,
        n=_SCRYPT_COST,
        r=_SCRYPT_BLOCK_SIZE,
        p=_SCRYPT_PARALLELISM,
        dklen=_HASH_BYTES,
    )
    return digest.hex()
