"""An engine resets a stream without a length; its bytes come by a peer."""

import asyncio
import json
import pathlib
import socket
import struct
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins  # noqa: E402

# More than the kernel's buffers towards an engine that does not read hold, and
# less than what these and those between two nodes hold.
BODY_BYTES = range(206_000, 244_000, 1_060)
READ_FIRST = 4096
PAUSE_S = 0.8
EVENTS = [b'id: %d\ndata: %060d\n\n' % (n, n) for n in range(1, 401)]
ANSWER = b''.join(EVENTS)
SENT_BEFORE_RESET = len(b''.join(EVENTS[:200]))
HEAD_AFTER_S = 0.4
RESET_AFTER_S = 0.2
# Less than the 0.15 s after which a node asks a peer.
QUEUE_FULL_AFTER_SYN_S = 0.06
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
SYN_SENT = '02'


class QueueingEngine(standins.Engine):
    """Has a short queue of new connections, which may be full for a moment."""

    def __init__(self, *arguments, is_troubled):
        super().__init__(*arguments)
        self.accepts = True
        self._is_troubled = is_troubled
        self._fillers = []

    async def start(self, port=0):
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        self._socket.bind((standins.HOST, port))
        self._socket.listen(1)
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]
        self.address = f'{standins.HOST}:{self.port}'
        self._task = asyncio.create_task(self._accept())

    async def _accept(self):
        tasks = set()
        while True:
            try:
                if not self.accepts:
                    raise BlockingIOError
                connection, _ = self._socket.accept()
            except BlockingIOError:
                await asyncio.sleep(0.002)
                continue
            reader, writer = await asyncio.open_connection(
                sock=connection, limit=1 << 13
            )
            task = asyncio.create_task(self._serve(reader, writer))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def fill_queue(self):
        """Stop accepting until the queue of new connections is full."""
        self.accepts = False
        loop = asyncio.get_running_loop()
        for _ in range(20):
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            try:
                async with asyncio.timeout(0.05):
                    await loop.sock_connect(filler, (standins.HOST, self.port))
            except TimeoutError:
                return
        raise standins.CannotRun('the queue of new connections has no end')

    def own_ports(self):
        return {filler.getsockname()[1] for filler in self._fillers}

    def empty_queue(self):
        """Accept connections again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.accepts = True

    async def handle(self, request):
        if request.target in ('/-/report', '/health'):
            report = {'stage': 'both', 'models': [], 'born': 1}
            return await request.answer(
                200,
                [('Instance-Id', self.id)],
                json.dumps(report).encode(),
            )
        return await super().handle(request)

    async def work(self, request):
        if self._is_troubled:
            await request.reader.readexactly(READ_FIRST)
            await asyncio.sleep(HEAD_AFTER_S)
        else:
            await request.read_body()
        self.note_run(request)
        lines = ['HTTP/1.1 200 OK']
        lines += [f'{n}: {v}' for n, v in self.sealed(request)]
        lines.append('Content-Type: text/event-stream')
        head = '\r\n'.join([*lines, '', '']).encode()
        if not self._is_troubled:
            request.writer.write(head + ANSWER)
            await request.writer.drain()
            self.record(
                f'engine {self.id}: {request.id} answered with '
                f'{len(ANSWER)} bytes, orderly end'
            )
            return False
        request.writer.write(head + ANSWER[:SENT_BEFORE_RESET])
        await request.writer.drain()
        await asyncio.sleep(RESET_AFTER_S)
        self.record(
            f'engine {self.id}: {request.id} reset after '
            f'{SENT_BEFORE_RESET} of {len(ANSWER)} bytes'
        )
        request.writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        request.writer.transport.abort()
        return False


def waiting_ports(port):
    """Return the ports from which connections to a port are being opened."""
    lines = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    fields = [line.split() for line in lines]
    return {
        int(f[1].split(':')[1], 16)
        for f in fields
        if f[3] == SYN_SENT and int(f[2].split(':')[1], 16) == port
    }


async def free_queue_after_syn(case, engine):
    """Let the queue have room once a node waits for a connection."""
    for _ in range(2000):
        if waiting_ports(engine.port) - engine.own_ports():
            await asyncio.sleep(QUEUE_FULL_AFTER_SYN_S)
            break
        await asyncio.sleep(0.002)
    engine.empty_queue()
    case.record(f'engine {engine.id}: the queue has room again')


async def play(case):
    await case.start_platform()
    engine = QueueingEngine(
        'i-1', 'orders', case.record, is_troubled=case.is_troubled
    )
    await case.add_engine(engine)
    routes = [
        standins.route(
            'r', '/digest/', 'streaming', 'orders', **{'max-attempts': 1}
        )
    ]
    config = standins.configuration(1, routes, ['orders'])
    case.store.put('keyed.op', 'config', config)
    node = case.add_node('front-1')
    case.add_node('front-2')
    await case.start_nodes()
    await asyncio.sleep(4.0)

    broken = []
    for number, length in enumerate(BODY_BYTES):
        name = f'digest-{number}'
        client = standins.Client(node.front_port)
        headers = standins.request_headers(name, Deadline_Ms='3000')
        freeing = None
        if case.is_troubled:
            await engine.fill_queue()
            case.record(f'engine {engine.id}: the queue is full')
            freeing = asyncio.create_task(free_queue_after_syn(case, engine))
        case.record(f'client: sends {name} with {length} bytes')
        answer = await client.ask(
            'POST', f'/digest/{name}', headers, b'u' * length
        )
        client.close()
        if freeing is not None:
            await freeing
        seal = answer.headers.get('response-seal')
        case.record(
            f'client: {name} got {answer.status} {answer.end}, '
            f'{len(answer.body)} bytes, seal {seal}'
        )
        if (
            answer.status == 200
            and answer.end == 'whole'
            and answer.body != ANSWER
        ):
            broken.append(name)
        await asyncio.sleep(PAUSE_S)
    if broken:
        return (
            'ORDER: the stream ends as complete before its last piece for '
            f'{len(broken)} of {len(BODY_BYTES)}: {", ".join(broken)}'
        )
    return ''


standins.run(FOLDER, play)
