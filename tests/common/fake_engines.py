"""In-process client of simulated model engines."""

import json

from foxtailrelay_core import prefixes
from foxtailrelay_node.internal.clients import engine_client
from foxtailrelay_node.internal.clients import engine_outcomes
from foxtailrelay_standins import models
import trio

from common import network as networks


class FakeEngineStream(engine_client.EngineStream):
    """Streams one generation; a cut or hanging connection breaks it."""

    def __init__(self, client, name, generation, last_event_number):
        self._client = client
        self._name = name
        self._generation = generation
        self._last_event_number = last_event_number
        self._opened_s = trio.current_time()

    async def next_item(self):
        generation = self._generation
        if self._last_event_number > generation.request.max_tokens:
            return engine_outcomes.StreamEnd()
        while True:
            failure = await self._check_connection()
            if failure is not None:
                return failure
            with trio.move_on_after(self._client.idle_timeout_s):
                await generation.wait_for_more_than(self._last_event_number)
                break
        failure = await self._check_connection()
        if failure is not None:
            return failure
        if self._last_event_number < len(generation.tokens):
            delta = {'content': generation.tokens[self._last_event_number]}
            fields = {'choices': [{'delta': delta, 'finish_reason': None}]}
        elif generation.is_complete:
            usage = {
                'prompt_tokens': generation.prompt_tokens,
                'prompt_tokens_details': {
                    'cached_tokens': generation.cached_tokens
                },
            }
            fields = {
                'choices': [{'delta': {}, 'finish_reason': 'stop'}],
                'usage': usage,
            }
        else:
            return engine_outcomes.StreamBroken('cancelled')
        self._last_event_number += 1
        return engine_outcomes.StreamEvent(
            self._last_event_number, json.dumps(fields).encode()
        )

    async def _check_connection(self):
        client = self._client
        await client.network.wait_while_frozen(client.node)
        pair = (client.node, self._name)
        if self._name in client.down_servers:
            return engine_outcomes.StreamBroken('connection reset')
        if client.network.is_cut(*pair) or client.network.is_hanging(
            *pair, self._opened_s
        ):
            await trio.sleep(client.idle_timeout_s)
            return engine_outcomes.StreamBroken('idle timeout')
        return None

    async def aclose(self):
        pass


class FakeEngines(engine_client.EngineClient):
    """One node's client of the shared engine models."""

    def __init__(
        self,
        node: str,
        model_by_name: dict[str, models.EngineModel],
        down_servers: set[str],
        network: networks.Network,
        idle_timeout_s: float,
    ) -> None:
        self.node = node
        self.down_servers = down_servers
        self.network = network
        self.idle_timeout_s = idle_timeout_s
        self._model_by_name = model_by_name

    async def open_stream(self, address, request):
        if not await self._try_connect(address.name):
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
        return FakeEngineStream(
            self, address.name, generation, request.last_event_number
        )

    async def cancel(self, address, request_id):
        if await self._try_connect(address.name):
            self._model_by_name[address.name].cancel(request_id)

    async def read_load(self, address):
        if not await self._try_connect(address.name):
            return None
        return self._model_by_name[address.name].load_report()

    async def read_cache_events(self, address, from_sequence):
        if not await self._try_connect(address.name):
            return None
        return self._model_by_name[address.name].cache_events(from_sequence)

    async def send_order(self, address, fencing, action, argument):
        if self.network.freeze_before_order:
            self.network.freeze_before_order = False
            self.network.freeze(self.node)
        if not await self._try_connect(address.name):
            return None
        result = self._model_by_name[address.name].handle_order(
            fencing, action, argument
        )
        return result['accepted']

    async def _try_connect(self, name):
        await self.network.delay_message(self.node)
        return name not in self.down_servers and not self.network.is_cut(
            self.node, name
        )
