"""A routing decision and its reason."""

import typing

from foxtailrelay_node.internal.routing import engine_state


class ModelDemand(typing.NamedTuple):
    """What a model request asks of an engine.

    Parameters
    ----------
    request_id : str
        Name of the request.
    service : str
        Model service.
    prompt_tokens : int
        Estimated length of the prompt.
    hashes : list of int
        Prefix hashes of the prompt's blocks.
    max_tokens : int
        Longest answer.
    is_batch : bool
        Whether the request may wait.
    first_token_within_s : float
        Time left until the first token must be there.
    """

    request_id: str
    service: str
    prompt_tokens: int
    hashes: list[int]
    max_tokens: int
    is_batch: bool
    first_token_within_s: float


class Estimate(typing.NamedTuple):
    """What is expected of one engine for one request.

    Parameters
    ----------
    engine : EngineState
        The engine.
    first_token_s : float
        Expected time to first token.
    computed_tokens : float
        Prompt tokens expected to be computed.
    cost : float
        Expected cost, in the currency of the prices.
    """

    engine: engine_state.EngineState
    first_token_s: float
    computed_tokens: float
    cost: float

    @property
    def wait_s(self) -> float:
        """Expected time until the engine begins with the prompt."""
        compute_s = self.computed_tokens / self.engine.prefill_tokens_per_s
        return self.first_token_s - compute_s


class Decision(typing.NamedTuple):
    """The chosen engine.

    Parameters
    ----------
    estimate : Estimate
        What is expected of the chosen engine.
    why : str
        The rule that chose it.
    candidates : tuple of Estimate
        All that were compared.
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
        When coming back may help.
    """

    why: str
    retry_after_s: int
