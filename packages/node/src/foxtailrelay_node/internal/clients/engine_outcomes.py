"""Requests to model engines, stream items and engine reports."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class StreamEvent:
    """One event of a stream.

    Parameters
    ----------
    number : int
        Position of the event within its request, from 1.
    data : bytes
        JSON text of the event.
    """

    number: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """The stream ended with ``[DONE]``, so the answer is complete."""


@dataclasses.dataclass(frozen=True)
class StreamBroken:
    """The stream ended without ``[DONE]``, timed out or was invalid.

    Parameters
    ----------
    cause : str
        Reason of the failure, for logs.
    refused : bool
        Whether the engine refused the request before starting it.  A retry
        at the same engine is then pointless.
    """

    cause: str
    refused: bool = False


StreamItem = StreamEvent | StreamEnd | StreamBroken


class EngineRequest(typing.NamedTuple):
    """A request to a model engine.

    Parameters
    ----------
    request_id : str
        Identifies the request at the engine.
    body : bytes
        Chat-completions request in JSON, with ``stream`` set to true.
    priority : int
        Requests with a lower value are served first.
    last_event_number : int
        The engine resumes the stream after this event; 0 starts it.
    """

    request_id: str
    body: bytes
    priority: int
    last_event_number: int = 0


class LoadReport(typing.TypedDict):
    """The load that an engine reports.

    ``queued_tokens`` is the number of prompt tokens not computed yet;
    ``time_s`` is the time of the report by the engine's clock.
    """

    queued_tokens: int
    running: int
    slots: int
    time_s: float


class CacheEvent(typing.TypedDict):
    """Prompt blocks added to or evicted from an engine's prefix cache."""

    sequence: int
    stored: list[int]
    evicted: list[int]
