"""An engine answers before it has read a long body, and reads on later."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins  # noqa: E402

BODY = b'x' * 400_000
READ_FIRST = 4096
READ_ON_AFTER_S = 0.3


class EarlyEngine(standins.Engine):
    """Answers long requests from their first bytes, and reads on later."""

    def __init__(self, *arguments, is_early):
        super().__init__(*arguments, receive_buffer=8192)
        self._is_early = is_early
        self.foreign = []

    async def work(self, request):
        length = int(request.headers.get('content-length', 0))
        if length <= READ_FIRST or not self._is_early:
            await request.read_body()
            self.note_run(request)
            body = b'done ' + request.id.encode()
            return await request.answer(200, self.sealed(request), body)
        body = await request.reader.readexactly(READ_FIRST)
        self.note_run(request)
        text = b'done ' + request.id.encode()
        await request.answer(200, self.sealed(request), text)
        await asyncio.sleep(READ_ON_AFTER_S)
        is_open = True
        try:
            body += await request.reader.readexactly(length - len(body))
        except asyncio.IncompleteReadError as error:
            body += error.partial
            is_open = False
        self._compare(request, body, length)
        return is_open

    def _compare(self, request, body, length):
        """Compare what came as the body with what the client sent."""
        start = next(
            (n for n, byte in enumerate(body) if byte != BODY[n]), None
        )
        self.record(
            f'engine {self.id}: {len(body)} of the {length} bytes of the body '
            f'of {request.id} came'
        )
        if start is not None:
            self.foreign.append(request.id)
            self.record(
                f'engine {self.id}: in the body of {request.id}, from byte '
                f'{start} on, came other bytes: {body[start : start + 150]!r}'
            )

    async def handle_garbage(self, line):
        self.record(
            f'engine {self.id}: bytes that are no request: {line[:80]!r}'
        )


async def play(case):
    await case.start_platform()
    engine = EarlyEngine(
        'i-1', 'lookups', case.record, is_early=case.is_troubled
    )
    await case.add_engine(engine)
    routes = [standins.route('r', '/look/', 'safe', 'lookups')]
    config = standins.configuration(1, routes, ['lookups'])
    case.store.put('keyed.op', 'config', config)
    node = case.add_node('front-1')
    await case.start_nodes()
    await asyncio.sleep(4.0)

    kept = []

    async def ask(name, method, body=b''):
        client = standins.Client(node.front_port)
        headers = standins.request_headers(name, Deadline_Ms='3000')
        case.record(f'client: sends {name} with {len(body)} bytes')
        answer = await client.ask(method, f'/look/{name}', headers, body)
        case.record(f'client: {name} got {answer}')
        # Clients keep their connections open for further requests.
        kept.append(client)
        return answer

    for number in range(8):
        await ask(f'long-{number}', 'POST', BODY)
        await asyncio.gather(
            *(ask(f'short-{number}-{n}', 'GET') for n in range(2))
        )
        await asyncio.sleep(1.0)
    if engine.foreign:
        return (
            'UNASKED: the engine got bytes of other requests where the rest '
            f'of the body of {", ".join(engine.foreign)} was due'
        )
    return ''


standins.run(FOLDER, play)
