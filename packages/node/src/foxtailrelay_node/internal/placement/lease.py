"""A lease and the orders given under it."""

import typing


class Lease(typing.NamedTuple):
    """Who leads, by the order of the log.

    Parameters
    ----------
    holder : str
        ``node/incarnation``.
    fencing : int
        Offset of the record that made it the holder.
    """

    holder: str
    fencing: int


class Order(typing.NamedTuple):
    """The newest order for one engine.

    Parameters
    ----------
    action, argument : str
        What is ordered, such as ``load-model`` and the model's name.
    fencing : int
        Lease under which it was intended.
    is_done : bool
        Whether the engine has taken it.
    """

    action: str
    argument: str
    fencing: int
    is_done: bool
