"""Salted hashes of bearer tokens."""

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
    """Return the account name in a token, which is not verified."""
    return token.partition('.')[0]


class SaltedHash(typing.NamedTuple):
    """The salt and the hash of one token, both hexadecimal."""

    salt: str
    token_hash: str

    @classmethod
    def from_token(cls, token: str) -> 'SaltedHash':
        """Hash a token with a new random salt."""
        salt = secrets.token_bytes(_SALT_BYTES)
        return cls(salt.hex(), _hash(token, salt))

    def matches(self, token: str) -> bool:
        """Compare with the hash of ``token`` in constant time.

        Hashing takes some milliseconds by design; cache the result.
        """
        actual_hash = _hash(token, bytes.fromhex(self.salt))
        return hmac.compare_digest(actual_hash, self.token_hash)


def _hash(token: str, salt: bytes) -> str:
    """Hash with scrypt, which makes guessing the token expensive."""
    digest = hashlib.scrypt(
        token.encode(),
        salt=salt,
        n=_SCRYPT_COST,
        r=_SCRYPT_BLOCK_SIZE,
        p=_SCRYPT_PARALLELISM,
        dklen=_HASH_BYTES,
    )
    return digest.hex()
