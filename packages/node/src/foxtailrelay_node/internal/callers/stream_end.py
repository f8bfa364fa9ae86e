"""Whether an engine's end of a stream is the end of the answer."""


def is_end_of_answer(
    received_count: int, held_count: int, *, is_finished: bool
) -> bool:
    """Return whether an end mark is believed.

    An engine whose run was given up, or whose process is ending, may answer
    the next connection with an end and no event.

    Parameters
    ----------
    received_count : int
        Events that the engine sent before the end on the same connection.
    held_count : int
        Events of the answer that this node holds.
    is_finished : bool
        Whether the last of these has a reason to finish.

    Examples
    --------
    >>> is_end_of_answer(0, 2, is_finished=False)
    False
    >>> is_end_of_answer(1, 3, is_finished=False)
    True
    """
    return received_count > 0 or held_count == 0 or is_finished
