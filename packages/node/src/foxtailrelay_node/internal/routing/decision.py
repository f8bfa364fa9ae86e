"""Routing decisions and the values that they are based on."""

import typing

from foxtailrelay_node.internal.routing import engine_state


class ModelDemand(typing.NamedTuple):
    """The properties of a model request that its routing depends on.

    Parameters
    ----------
    request_id : str
        Id of the request.
    service : str
        Model service.
    prompt_tokens : int
        Estimated length of the prompt.
    hashes : list of int
        Prefix hashes of the prompt's blocks.
    max_tokens : int
        Maximum length of the answer in tokens.
    is_batch : bool
        Whether the request may be delayed in favour of interactive ones.
    remaining_s : float
        Seconds until the deadline of the request.
    """

    request_id: str
    service: str
    prompt_tokens: int
    hashes: list[int]
    max_tokens: int
    is_batch: bool
    remaining_s: float


class Estimate(typing.NamedTuple):
    """Expected latency and cost of one request at one engine.

    Parameters
    ----------
    engine : EngineState
        The engine.
    first_token_s : float
        Expected time to first token.
    computed_tokens : float
        Prompt tokens that the engine is expected to compute.
    cost : float
        Expected cost, in the currency of the prices.
    """

    engine: engine_state.EngineState
    first_token_s: float
    computed_tokens: float
    cost: float

    @property
    def wait_s(self) -> float:
        """Expected time until the engine starts to compute the prompt."""
        compute_s = self.computed_tokens / self.engine.prefill_tokens_per_s
        return self.first_token_s - compute_s


class Decision(typing.NamedTuple):
    """The chosen engine.

    Parameters
    ----------
    estimate : Estimate
        Expected latency and cost at the chosen engine.
    why : str
        The rule that chose the engine.
    candidates : tuple of Estimate
        Estimates of all engines that were compared.
    is_on_time : bool
        Whether the first token is expected within the target.
    """

    estimate: Estimate
    why: str
    candidates: tuple[Estimate, ...]
    is_on_time: bool = True


class NoDecision(typing.NamedTuple):
    """No engine can serve the request in time.

    Parameters
    ----------
    why : str
        Reason, for the caller.
    retry_after_s : int
        Seconds until a retry may succeed.
    """

    why: str
    retry_after_s: int
