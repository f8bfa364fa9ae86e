"""Work lasts longer than the route's timeout; the engine answers 504 then."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins  # noqa: E402

TIMEOUT_MS = 600
SLACK_S = 0.5
REQUESTS = 40
WORK_S = 0.0225
LONG_WORK_S = 2.0
# The client waits longer than the route's timeout and the idle timeout, so
# that it sees what the node does.
DEADLINE_MS = 30000


class DeskEngine(standins.Engine):
    """Works for a time, and stops at the deadline with status 504."""

    def __init__(self, *arguments, long_work_s):
        super().__init__(*arguments)
        self._long_work_s = long_work_s

    async def work(self, request):
        started_s = time.monotonic()
        await request.read_body()
        self.note_run(request)
        left_s = int(request.headers['deadline-ms']) / 1000
        is_long = request.target.endswith('/long')
        work_s = self._long_work_s if is_long else WORK_S
        spent_s = time.monotonic() - started_s
        if work_s <= left_s:
            await asyncio.sleep(work_s - spent_s)
            body = b'done ' + request.id.encode()
            return await request.answer(200, self.sealed(request), body)
        await asyncio.sleep(left_s - spent_s)
        await request.answer(504, self.sealed(request), b'deadline')
        self.record(
            f'engine {self.id}: answers {request.id} with 504 at its deadline'
        )


class Watcher:
    """Waits until each request is answered or its connection closed."""

    def __init__(self, record):
        self.unanswered = []
        self.closed = []
        self._record = record
        self._tasks = []

    def start(self, client, name):
        self._tasks.append(asyncio.create_task(self._watch(client, name)))

    async def wait(self):
        await asyncio.gather(*self._tasks)

    async def _watch(self, client, name):
        headers = standins.request_headers(name, Deadline_Ms=DEADLINE_MS)
        self._record(f'client: sends {name} on its kept connection')
        sent_s = time.monotonic()
        answer = await client.ask(
            'POST', '/book/long', headers, b'x' * 200, timeout_s=25.0
        )
        after_s = time.monotonic() - sent_s
        client.close()
        self._record(f'client: {name} after {after_s:.3f} s: {answer}')
        if after_s > TIMEOUT_MS / 1000 + SLACK_S:
            self.unanswered.append(name)
            if answer.end in ('closed', 'reset') and answer.status is None:
                self.closed.append(name)


async def play(case):
    await case.start_platform()
    long_work_s = LONG_WORK_S if case.is_troubled else WORK_S
    for number in range(2):
        await case.add_engine(
            DeskEngine(
                f'i-{number}', 'desk', case.record, long_work_s=long_work_s
            )
        )
    routes = [
        standins.route(
            'r', '/book/', 'unsafe', 'desk', **{'timeout-ms': TIMEOUT_MS}
        )
    ]
    config = standins.configuration(1, routes, ['desk'])
    case.store.put('keyed.op', 'config', config)
    node = case.add_node('front-1')
    await case.start_nodes()
    # More than contact-ms.
    await asyncio.sleep(4.0)
    watcher = Watcher(case.record)
    for number in range(REQUESTS):
        client = standins.Client(node.front_port)
        headers = standins.request_headers(f'quick-{number}', Deadline_Ms=3000)
        answer = await client.ask('POST', '/book/quick', headers, b'x')
        if answer.status != 200:
            raise standins.CannotRun(f'a quick request got {answer}')
        watcher.start(client, f'long-{number}')
        await asyncio.sleep(TIMEOUT_MS / 1000 + 0.15)
    await watcher.wait()
    unanswered, closed = len(watcher.unanswered), len(watcher.closed)
    case.record(
        f'of {REQUESTS} requests, {unanswered} had no answer {SLACK_S} s after '
        f'the timeout of their route; the node closed the kept connection of '
        f'{closed} of them without an answer'
    )
    broken = []
    if unanswered >= 8 and unanswered > REQUESTS / 4:
        broken.append(
            f'CONFIG ({unanswered} of {REQUESTS} requests had no final answer '
            f'{SLACK_S} s after timeout-ms)'
        )
    if closed > 3:
        broken.append(
            f'LOST ({closed} kept connections were closed without an answer)'
        )
    return ', '.join(broken)


standins.run(FOLDER, play)
