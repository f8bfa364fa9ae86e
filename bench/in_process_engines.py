"""Engine client that calls engine models in process, in virtual time."""

import json

from foxtailrelay_core import prefixes
from foxtailrelay_node.internal.clients import engine_client
from foxtailrelay_node.internal.clients import engine_outcomes
from foxtailrelay_standins import models
import trio

_IDLE_TIMEOUT_S = 2.0


class InProcessStream(engine_client.EngineStream):
    """Streams the events of one generation."""

    def __init__(self, engines, name, generation, last_event_number):
        self._engines = engines
        self._name = name
        self._generation = generation
        self._sent_count = last_event_number

    async def next_item(self) -> engine_outcomes.StreamItem:
        """Return the next event, the end of the stream, or its failure."""
        generation = self._generation
        if self._sent_count > generation.request.max_tokens:
            return engine_outcomes.StreamEnd()
        await generation.wait_for_more_than(self._sent_count)
        if self._name in self._engines.down:
            return engine_outcomes.StreamBroken('connection reset')
        if self._sent_count < len(generation.tokens):
            data = _token_event(generation.tokens[self._sent_count])
        elif generation.is_complete:
            data = _usage_event(generation)
        else:
            return engine_outcomes.StreamBroken('cancelled')
        self._sent_count += 1
        return engine_outcomes.StreamEvent(self._sent_count, data)

    async def aclose(self) -> None:
        """Do nothing."""


class InProcessEngines(engine_client.EngineClient):
    """Engine client of one node.

    Parameters
    ----------
    model_by_name : dict of str to EngineModel
        The engine models by name.
    latency_s : float
        One-way network latency.
    """

    def __init__(
        self, model_by_name: dict[str, models.EngineModel], latency_s: float
    ) -> None:
        self.down: set[str] = set()
        self._model_by_name = model_by_name
        self._latency_s = latency_s

    async def open_stream(self, address, request):
        """Start or resume a request."""
        await trio.sleep(self._latency_s)
        if address.name in self.down:
            return engine_outcomes.StreamBroken('cannot connect')
        fields = json.loads(request.body)
        generation = self._model_by_name[address.name].submit(
            models.GenerationRequest(
                request.request_id,
                fields['model'],
                prefixes.prompt_text(fields['messages']),
                fields['max_tokens'],
                request.priority,
                fields.get('partial_answer', ''),
            )
        )
        return InProcessStream(
            self, address.name, generation, request.last_event_number
        )

    async def cancel(self, address, request_id):
        """Cancel a request."""
        self._model_by_name[address.name].cancel(request_id)

    async def read_load(self, address):
        """Return the engine's load report."""
        await trio.sleep(2 * self._latency_s)
        if address.name in self.down:
            return None
        return self._model_by_name[address.name].load_report()

    async def read_cache_events(self, address, from_sequence):
        """Return cache events from a sequence number on."""
        await trio.sleep(2 * self._latency_s)
        if address.name in self.down:
            return None
        return self._model_by_name[address.name].cache_events(from_sequence)

    async def send_order(self, address, fencing, action, argument):
        """Send an order; return whether the engine accepted it."""
        model = self._model_by_name[address.name]
        return model.handle_order(fencing, action, argument)['accepted']


def _token_event(token: str) -> bytes:
    """Return the data of one token's event."""
    return b'{"choices": [{"delta": {"content": "%b"}}]}' % token.encode()


def _usage_event(generation: models.Generation) -> bytes:
    """Return the data of the last event, with the token usage."""
    choices = [{'delta': {}, 'finish_reason': 'stop'}]
    usage = {
        'prompt_tokens': generation.prompt_tokens,
        'prompt_tokens_details': {'cached_tokens': generation.cached_tokens},
    }
    return json.dumps({'choices': choices, 'usage': usage}).encode()
