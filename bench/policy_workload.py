"""Deployments and generated requests of the policy bench."""

import random
import typing

from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_standins import models

_SYSTEM_PROMPT_CHARS = 4800
_TURN_CHARS = 900


class Deployment(typing.NamedTuple):
    """Engines and request rate of one deployment.

    Parameters
    ----------
    name : str
        Name of the deployment.
    backend_by_name, profile_by_name : dict
        Configured backends and actual engine profiles, by engine name.
    latency_s : float
        One-way latency between data centres.
    requests_per_s : float
        Rate of interactive and batch requests together.
    recomputed_token_cost : float
        Price of one million recomputed tokens.
    answer_tokens : int
        Mean tokens of an interactive answer.
    """

    name: str
    backend_by_name: dict[str, options.Backend]
    profile_by_name: dict[str, models.EngineProfile]
    latency_s: float
    requests_per_s: float
    recomputed_token_cost: float
    answer_tokens: int


class Arrival(typing.NamedTuple):
    """One request and the time of its arrival."""

    time_s: float
    organisation: str
    prompt: str
    tokens: int
    is_batch: bool


ORGANISATION_SHARES = {
    'large-1': 0.40, 'large-2': 0.30, 'small-1': 0.14, 'small-2': 0.10,
    'small-3': 0.06,
}  # fmt: skip


# In overload one organisation sends most requests.
OVERLOAD_SHARES = {
    'large-1': 0.80, 'large-2': 0.08, 'small-1': 0.05, 'small-2': 0.04,
    'small-3': 0.03,
}  # fmt: skip


def _build_deployment(
    name, engines, latency_s, rate, recomputed_token_cost, answer_tokens
):
    backends, profiles = {}, {}
    for index, (zone, price, speed, slots, interval_s) in enumerate(engines):
        engine = f'engine-{index + 1}'
        backends[engine] = options.Backend(
            'model',
            'h',
            1,
            zone,
            vm=f'vm-{engine}',
            price=price,
            slots=slots,
        )
        profiles[engine] = models.EngineProfile(
            engine,
            speed,
            interval_s,
            slots=slots,
            cache_blocks=2500,
            cache_event_gap=20,
        )
    return Deployment(
        name,
        backends,
        profiles,
        latency_s,
        rate,
        recomputed_token_cost,
        answer_tokens,
    )


MWANGI = _build_deployment(
    'mwangi',
    [
        ('industrial-area', 0.9, 9000, 48, 0.020),
        ('thika-road', 0.8, 7000, 48, 0.022),
        ('ruiru', 2.1, 9000, 48, 0.018),
        ('westlands', 0.7, 4000, 32, 0.024),
        ('industrial-area', 1.6, 4000, 32, 0.022),
    ],
    0.0005,
    10.0,
    1.0,
    60,
)
KLIPPVIK = _build_deployment(
    'klippvik',
    [
        ('zone-a', 1.1, 12000, 64, 0.018),
        ('zone-b', 2.4, 12000, 64, 0.018),
        ('zone-c', 0.9, 8000, 48, 0.021),
        ('zone-d', 2.2, 8000, 48, 0.021),
        ('zone-a', 1.0, 5000, 32, 0.024),
        ('zone-b', 1.9, 5000, 32, 0.022),
    ],
    0.0015,
    13.0,
    6.0,
    90,
)


class Workload:
    """Generates multi-turn conversations and batch requests.

    Parameters
    ----------
    deployment : Deployment
        Request rate and answer lengths.
    seed : int
        Seed of the random numbers.
    shares : dict of str to float
        Fraction of the requests by organisation.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        shares: dict[str, float] = ORGANISATION_SHARES,
    ) -> None:
        self._deployment = deployment
        self._shares = shares
        self._random = random.Random(seed)
        self._sessions_by_organisation: dict[str, list[str]] = {
            name: [] for name in shares
        }

    def arrivals(self, seconds: float) -> list[Arrival]:
        """Return all requests of a run, ordered by time."""
        arrivals = []
        time_s = 0.0
        while True:
            time_s += self._random.expovariate(self._deployment.requests_per_s)
            if time_s >= seconds:
                return arrivals
            arrivals.append(self._arrival(time_s))

    def _arrival(self, time_s: float) -> Arrival:
        names = list(self._shares)
        shares = list(self._shares.values())
        (name,) = self._random.choices(names, shares)
        is_batch = self._random.random() < 0.1
        mean = self._deployment.answer_tokens * (4 if is_batch else 1)
        tokens = max(5, round(self._random.gauss(mean, mean / 4)))
        prompt = self._prompt(name, is_batch)
        return Arrival(time_s, name, prompt, tokens, is_batch)

    def _prompt(self, name: str, is_batch: bool) -> str:
        """Return the next turn of a conversation, or a batch prompt."""
        sessions = self._sessions_by_organisation[name]
        system = self._text(f'{name} system', _SYSTEM_PROMPT_CHARS)
        if is_batch:
            return system + self._text(f'{self._random.random()}', 12000)
        if sessions and self._random.random() < 0.75:
            index = self._random.randrange(len(sessions))
            sessions[index] += self._text(
                f'{self._random.random()}', _TURN_CHARS
            )
            prompt = sessions[index]
            if self._random.random() < 0.2:
                del sessions[index]
            return prompt
        prompt = system + self._text(f'{self._random.random()}', _TURN_CHARS)
        sessions.append(prompt)
        return prompt

    def _text(self, seed: str, length: int) -> str:
        source = random.Random(seed)
        return ''.join(source.choices('abcdefghijklmnop ', k=length))
