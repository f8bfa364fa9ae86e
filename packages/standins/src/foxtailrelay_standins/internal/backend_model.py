"""Model of a plain backend server."""

import dataclasses
import typing

import trio


class BackendRun(typing.NamedTuple):
    """One call that the server really ran."""

    key: str
    method: str
    path: str
    body: bytes
    time_s: float


@dataclasses.dataclass
class BackendFaults:
    """How the server misbehaves just now.

    Parameters
    ----------
    refuse : bool
        Refuse definitely, without running anything.
    lost_answers : int
        How many of the next calls run but lose their answer.
    """

    refuse: bool = False
    lost_answers: int = 0


class SharedRuns:
    """The runs of one service, known to all of its servers."""

    def __init__(self) -> None:
        self.runs: list[BackendRun] = []
        self.answer_by_key: dict[str, bytes] = {}


class BackendModel:
    """Runs calls after ``latency_s`` seconds and keeps what it ran."""

    def __init__(
        self,
        name: str,
        latency_s: float = 0.01,
        shared: SharedRuns | None = None,
    ) -> None:
        self.name = name
        self.latency_s = latency_s
        self.shared_runs = shared or SharedRuns()
        self.faults = BackendFaults()
        self.in_flight = 0

    @property
    def runs(self) -> list[BackendRun]:
        """Every call that was really run."""
        return self.shared_runs.runs

    async def call(
        self, key: str, method: str, path: str, body: bytes
    ) -> bytes | None:
        """Run a call.

        Returns
        -------
        bytes or None
            The answer; None for a definite refusal.
        """
        if self.faults.refuse:
            return None
        self.in_flight += 1
        try:
            run = BackendRun(key, method, path, body, trio.current_time())
            self.shared_runs.runs.append(run)
            number = len(self.shared_runs.runs)
            answer = f'{self.name} ran {method} {path} as {number} for {key}'
            self.shared_runs.answer_by_key[key] = answer.encode()
            await trio.sleep(self.latency_s)
            if self.faults.lost_answers > 0:
                self.faults.lost_answers -= 1
                await trio.sleep_forever()
            return answer.encode()
        finally:
            self.in_flight -= 1

    def answer_of(self, key: str) -> bytes | None:
        """Return the answer given for a key; None if it never ran."""
        return self.shared_runs.answer_by_key.get(key)
