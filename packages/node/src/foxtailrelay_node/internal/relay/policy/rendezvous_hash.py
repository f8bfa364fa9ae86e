"""Orders that all nodes find without talking to each other."""

import typing

import xxhash


def weight(first: str, second: str) -> int:
    """Return the weight of a pair for rendezvous hashing."""
    return xxhash.xxh64_intdigest(f'{first}/{second}'.encode())


def unit_interval_hash(name: str) -> float:
    """Return a point from 0 up to 1 that a name falls on."""
    return xxhash.xxh64_intdigest(name.encode()) / 2**64


def rank(subject: str, own: str, others: typing.Iterable[str]) -> int:
    """Return how many of ``others`` go before ``own`` for a subject."""
    own_weight = weight(subject, own)
    return sum(weight(subject, other) > own_weight for other in others)
