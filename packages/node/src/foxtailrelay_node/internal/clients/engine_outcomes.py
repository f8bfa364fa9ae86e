"""What a model engine's stream and reports consist of."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class StreamEvent:
    """One event of a stream.

    Parameters
    ----------
    number : int
        Counts the events of a request from 1.
    data : bytes
        The JSON text of the event.
    """

    number: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """The end mark: the answer is whole."""


@dataclasses.dataclass(frozen=True)
class StreamBroken:
    """The stream ended without its end mark, or went silent.

    Parameters
    ----------
    cause : str
        What happened.
    refused : bool
        Whether the engine refused before starting, so that another try at
        the same engine is of no use.
    """

    cause: str
    refused: bool = False


StreamItem = StreamEvent | StreamEnd | StreamBroken


class EngineRequest(typing.NamedTuple):
    """What is sent to a model engine.

    Parameters
    ----------
    request_id : str
        Names the request at the engine.
    body : bytes
        JSON of the chat-completions format, with ``stream`` true.
    priority : int
        A lower value is served first.
    after_event : int
        Events up to this number are not sent again.
    """

    request_id: str
    body: bytes
    priority: int
    last_event_number: int = 0


class LoadReport(typing.TypedDict):
    """An engine's own report of its load.

    ``queued_tokens`` counts prompt tokens still to compute; ``time_s`` is
    the engine's clock.
    """

    queued_tokens: int
    running: int
    slots: int
    time_s: float


class CacheEvent(typing.TypedDict):
    """Prompt blocks that entered or left an engine's prefix cache."""

    sequence: int
    stored: list[int]
    evicted: list[int]
