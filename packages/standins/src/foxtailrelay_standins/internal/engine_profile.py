"""Performance, limits and faults of a simulated model engine."""

import typing


class EngineProfile(typing.NamedTuple):
    """Performance, limits and faults of an engine.

    Parameters
    ----------
    name : str
        Name of the backend server.
    prefill_tokens_per_s : float
        Prompt tokens computed per second.
    token_interval_s : float
        Seconds per decoding step with an empty batch.
    full_batch_slowdown : float
        Factor by which a full batch lengthens a decoding step.
    slots : int
        Maximum number of requests decoded together.
    cache_blocks : int
        Maximum number of prompt blocks in the cache.
    load_lag_s, cache_event_lag_s : float
        Delay in seconds of load reports and of cache events.
    cache_event_gap : int
        One cache event is lost in every group of this size; 0 loses none.
    checks_fencing : bool
        Whether an order with an outdated fencing number is refused.
    """

    name: str
    prefill_tokens_per_s: float = 8000.0
    token_interval_s: float = 0.02
    full_batch_slowdown: float = 1.5
    slots: int = 16
    cache_blocks: int = 4096
    load_lag_s: float = 0.25
    cache_event_lag_s: float = 0.5
    cache_event_gap: int = 0
    checks_fencing: bool = True
