"""A lease and the orders sent under it."""

import typing


class Lease(typing.NamedTuple):
    """The lease of a service, assigned by the order of log records.

    Parameters
    ----------
    holder : str
        ``node/incarnation`` of the process that holds it.
    fencing : int
        Offset of the record that made the process the holder.
    """

    holder: str
    fencing: int


class Order(typing.NamedTuple):
    """The newest order for one engine.

    Parameters
    ----------
    action, argument : str
        Action and its argument, such as ``load-model`` and a model's name.
    fencing : int
        Fencing number of the lease that the order was intended under.
    is_done : bool
        Whether the engine has accepted it.
    """

    action: str
    argument: str
    fencing: int
    is_done: bool
