"""A service and how it may be scaled."""

import typing


class ModelProfile(typing.NamedTuple):
    """What all model engines of a service have in common.

    Parameters
    ----------
    slots : int
        Requests that an engine processes at once.
    memory_tokens : int
        Tokens of prompts and answers that fit into an engine's memory.
    """

    slots: int
    kv_capacity_tokens: int


class ScalingOptions(typing.NamedTuple):
    """What may be ordered for a service, and at which price.

    Parameters
    ----------
    least_per_zone, most_per_zone : int
        Bounds on the engines of a data centre, reclaimable or not.
    boot_s : float
        Seconds until an ordered engine serves.
    spot_price : float
        Price of a reclaimable engine as a share of the zone's price; 1 where
        none are offered.
    price_by_zone : dict of str to float
        Price of a second of an engine.
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
    scaling : ScalingTerms or None
        Set where engines may be ordered.
    """

    name: str
    model: ModelProfile | None
    scaling: ScalingOptions | None
