"""Whether a server may have ended a stream because its time was up."""

# Servers stop at the deadline that they were given, which is in whole
# milliseconds, and their last bytes take some time.
_DEADLINE_MARGIN_S = 0.05


def may_be_given_up(left_s: float) -> bool:
    """Return whether the end of a stream may come from a server that gave up.

    Not to be asked where the length was announced before.

    Parameters
    ----------
    left_s : float
        Seconds from the end to the deadline that the server was given.

    Examples
    --------
    >>> may_be_given_up(0.01), may_be_given_up(0.1)
    (True, False)
    """
    return left_s <= _DEADLINE_MARGIN_S
