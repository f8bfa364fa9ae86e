"""Recognizes a request that callers send again under another id."""

import xxhash

_PREFIX = 'request:'


def fingerprint(caller: str, method: str, target: str, body: bytes) -> str:
    """Return the same text for requests that are equal except for their id.

    Parameters
    ----------
    caller : str
        Name of the caller's organisation; empty without one.
    method, target : str
        Method, and path with query.
    body : bytes
        The whole body.

    Examples
    --------
    >>> first = fingerprint('shop', 'GET', '/orders/7', b'')
    >>> first == fingerprint('shop', 'GET', '/orders/7', b'')
    True
    >>> first == fingerprint('shop', 'GET', '/orders/8', b'')
    False
    """
    digest = xxhash.xxh3_64()
    for field in (caller, method, target):
        encoded = field.encode()
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    digest.update(body)
    return _PREFIX + digest.hexdigest()


def is_fingerprint(suspect_id: str) -> bool:
    """Whether a suspect is a whole request, not a part of prompts."""
    return suspect_id.startswith(_PREFIX)
