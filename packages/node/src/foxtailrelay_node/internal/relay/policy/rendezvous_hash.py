"""Rendezvous hashing: all nodes compute the same order independently."""

import typing

import xxhash


def weight(first: str, second: str) -> int:
    """Return the weight of a pair for rendezvous hashing."""
    return xxhash.xxh64_intdigest(f'{first}/{second}'.encode())


def unit_interval_hash(name: str) -> float:
    """Hash a name to a number from 0 up to, but not including, 1."""
    return xxhash.xxh64_intdigest(name.encode()) / 2**64


def rank(subject: str, own: str, others: typing.Iterable[str]) -> int:
    """Return how many of ``others`` precede ``own`` for a subject."""
    own_weight = weight(subject, own)
    return sum(weight(subject, other) > own_weight for other in others)
