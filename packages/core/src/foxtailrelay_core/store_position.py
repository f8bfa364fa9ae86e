"""Positions of records in a store that may be restored from a copy.

After a restore the store assigns the offsets that were lost again, to other
records, and its era rises by one.  A position has the era in its upper bits,
so that positions compare as (era, offset); in era 0 it equals the offset.
A negative position means that the topic has not been read.
"""

# Enough for decades of records; a fencing number stays below 2**53, which
# JSON numbers represent exactly, for thousands of restores.
_OFFSET_BITS = 40
MAX_ERA = (1 << 13) - 1
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1


def build(era: int, offset: int) -> int:
    """Return the position of an offset in an era.

    Raises
    ------
    ValueError
        If the offset or the era is out of range, as in a malformed message.

    Examples
    --------
    >>> build(0, 17)
    17
    >>> build(1, 0) > build(0, 10**9)
    True
    """
    if not (0 <= era <= MAX_ERA and 0 <= offset <= _OFFSET_MASK):
        raise ValueError(f'offset {offset} of era {era} is out of range')
    return (era << _OFFSET_BITS) | offset


def era_of(position: int) -> int:
    """Return the era of a position; -1 if the topic has not been read."""
    return position >> _OFFSET_BITS


def offset_of(position: int) -> int:
    """Return the offset of a position that is not negative."""
    return position & _OFFSET_MASK


def before_era(era: int) -> int:
    """Return a position after all of earlier eras and before all of this."""
    return build(era, 0) - 1
