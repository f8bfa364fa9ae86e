"""Speed and habits of one model engine."""

import typing


class EngineProfile(typing.NamedTuple):
    """What an engine can do and how it misbehaves.

    Parameters
    ----------
    name : str
        Name of the backend server.
    prefill_tokens_per_s : float
        Prompt tokens computed in a second.
    token_interval_s : float
        Time of one decoding step with an empty batch.
    full_batch_slowdown : float
        How many times longer a step takes with a full batch.
    slots : int
        Requests decoded together at most.
    cache_blocks : int
        Prompt blocks kept at most.
    load_lag_s, cache_event_lag_s : float
        How old reported load and cache events are.
    cache_event_gap : int
        Every so many cache events one is lost; 0 loses none.
    checks_fencing : bool
        Whether an order with an old fencing number is refused.
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
