"""Model of a plain backend server."""

import dataclasses
import typing

import trio


class BackendRun(typing.NamedTuple):
    """One call that a server ran."""

    key: str
    method: str
    path: str
    body: bytes
    time_s: float


@dataclasses.dataclass
class BackendFaults:
    """Faults that are injected into the server.

    Parameters
    ----------
    refuse : bool
        Refuse every call without running it.
    lost_answers : int
        Number of next calls that run but get no answer.
    """

    refuse: bool = False
    lost_answers: int = 0


class SharedRuns:
    """The calls run for one service, shared by all of its servers."""

    def __init__(self) -> None:
        self.runs: list[BackendRun] = []
        self.answer_by_key: dict[str, bytes] = {}


class BackendModel:
    """Runs calls of ``latency_s`` seconds each, and records them."""

    def __init__(
        self,
        name: str,
        latency_s: float = 0.01,
        shared_runs: SharedRuns | None = None,
    ) -> None:
        self.name = name
        self.latency_s = latency_s
        self.shared_runs = shared_runs or SharedRuns()
        self.faults = BackendFaults()
        self.in_flight = 0

    @property
    def runs(self) -> list[BackendRun]:
        """All calls that ran."""
        return self.shared_runs.runs

    async def call(
        self, key: str, method: str, path: str, body: bytes
    ) -> bytes | None:
        """Run a call.

        Returns
        -------
        bytes or None
            The answer; None if the call was refused without running.
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
        """Return the answer to the call with a key; None if it did not run."""
        return self.shared_runs.answer_by_key.get(key)
