"""Load client: requests streams at a fixed rate and times their events.

Prints one JSON object with counts and histograms when done.
``path_bench.py`` starts several, since one process can't generate the load.
"""

import json
import sys
import typing

from hdrh import histogram
import httpcore
import trio

_MIN_US = 1
_MAX_US = 60_000_000
_SIGNIFICANT_DIGITS = 3


class LoadSettings(typing.NamedTuple):
    """Settings of one client; read from JSON on the command line."""

    urls: list[str]
    token: str
    model: str
    requests_per_s: float
    tokens: int
    seconds: float
    prefix: str


class StreamClient:
    """Sends requests at a fixed rate, independent of the answers' speed."""

    def __init__(self, load: LoadSettings) -> None:
        self.completed = 0
        self.failed = 0
        self.first_token_us = _new_histogram()
        self.token_interval_us = _new_histogram()
        self._load = load
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None, keepalive_expiry=4.0
        )

    async def run(self) -> None:
        """Send all requests and wait for the end of their answers."""
        count = round(self._load.requests_per_s * self._load.seconds)
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(count):
                due_s = start_s + number / self._load.requests_per_s
                await trio.sleep_until(due_s)
                nursery.start_soon(self._stream, number)

    async def _stream(self, number: int) -> None:
        """Send one request and time its events."""
        load = self._load
        question = f'{load.prefix} question {number}'
        body = json.dumps(
            {
                'model': load.model,
                'messages': [{'role': 'user', 'content': question}],
                'max_tokens': load.tokens,
                'stream': True,
            }
        ).encode()
        headers = {
            'Authorization': f'Bearer {load.token}',
            'X-Request-Id': f'{load.prefix}-{number}',
            'Content-Type': 'application/json',
        }
        url = f'{load.urls[number % len(load.urls)]}/v1/chat/completions'
        last_s = trio.current_time()
        events = 0
        tail = b''
        async with self._pool.stream(
            'POST', url, headers=headers, content=body
        ) as response:
            async for chunk in response.aiter_stream():
                now_s = trio.current_time()
                new_events = chunk.count(b'\n\n')
                if new_events and events == 0:
                    self.first_token_us.record_value(_to_us(now_s - last_s))
                elif new_events:
                    self.token_interval_us.record_value(_to_us(now_s - last_s))
                events += new_events
                last_s = now_s
                tail = (tail + chunk)[-20:]
        if tail.endswith(b'data: [DONE]\n\n') and events == load.tokens + 2:
            self.completed += 1
        else:
            self.failed += 1

    def report(self) -> dict:
        """Return counts and encoded histograms."""
        return {
            'completed': self.completed,
            'failed': self.failed,
            'first_token_us': self.first_token_us.encode().decode(),
            'token_interval_us': self.token_interval_us.encode().decode(),
        }


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)


def _to_us(seconds: float) -> int:
    return max(1, round(seconds * 1e6))


def main() -> None:
    """Run one client and print its report."""
    client = StreamClient(LoadSettings(**json.loads(sys.argv[1])))
    trio.run(client.run)
    print(json.dumps(client.report()))


if __name__ == '__main__':
    main()
