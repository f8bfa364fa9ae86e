"""A service and its scaling options."""

import typing


class ModelProfile(typing.NamedTuple):
    """Capacity of the model engines of a service.

    Parameters
    ----------
    slots : int
        Requests that an engine processes concurrently.
    kv_capacity_tokens : int
        Tokens of prompts and answers that fit into an engine's KV cache.
    """

    slots: int
    kv_capacity_tokens: int


class ScalingOptions(typing.NamedTuple):
    """Number, boot time and price of the engines of a service.

    Parameters
    ----------
    min_per_zone, max_per_zone : int
        Bounds on the engines in a data centre, reclaimable or on demand.
    boot_s : float
        Time until an ordered engine serves requests.
    reclaimable_price_ratio : float
        Price of a reclaimable engine relative to the zone's price; 1 if none
        are offered.
    price_by_zone : dict of str to float
        Price of an on-demand engine per second.
    """

    min_per_zone: int
    max_per_zone: int
    boot_s: float
    reclaimable_price_ratio: float
    price_by_zone: dict[str, float]


class Service(typing.NamedTuple):
    """A service.

    Parameters
    ----------
    name : str
        Name in routes and in the list of servers.
    model : ModelProfile or None
        Set for model engines.
    scaling : ScalingOptions or None
        Set if engines may be ordered.
    health_path : str
        Target of health checks of its servers; empty if there are none.
    """

    name: str
    model: ModelProfile | None
    scaling: ScalingOptions | None
    health_path: str = ''
