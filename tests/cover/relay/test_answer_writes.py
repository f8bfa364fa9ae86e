"""What callers read whose connections take bytes slowly or not at all."""

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.relay.http import answer_state
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.http import sockets
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import trio

from common import answer_reader
from common import relay_rig
from common import slow_caller
from common import virtual_loop
from common import virtual_time

_ALL = 1 << 30
_SIZES = strategies.sampled_from((0, 30, 300, 3000))
_SECONDS = strategies.sampled_from((0.001, 0.01, 0.2, 1.0, 16.0))


class AnswerMachine(stateful.RuleBasedStateMachine):
    """Draws requests, how fast their caller reads, and deadlines."""

    def __init__(self):
        super().__init__()
        self._loop = virtual_loop.VirtualLoop(seed=1)
        self._target_by_name = {}
        self._stream = None
        self._scope = None
        self._loop.call(self._start)

    async def _start(self):
        self._stream = slow_caller.SlowStream()
        connection = caller_connection.CallerConnection(
            self._stream,
            slow_caller.ScriptedHandler(),
            trio.current_time,
            memory_budget.MemoryBudget(1 << 26),
        )
        self._scope = trio.CancelScope()

        async def serve():
            with self._scope:
                await connection.serve()

        trio.lowlevel.spawn_system_task(serve)

    @stateful.rule(
        kind=strategies.sampled_from(('whole', 'parts')),
        size=_SIZES,
        delay_ms=strategies.sampled_from((0, 50, 200)),
        timeout_ms=strategies.sampled_from((49, 50, 100, 1000)),
        is_waiting=strategies.booleans(),
    )
    def send_request(self, kind, size, delay_ms, timeout_ms, is_waiting):
        name = f'r{len(self._target_by_name)}'
        target = f'/{kind}/{size}/{delay_ms}/{timeout_ms}'
        self._target_by_name[name.encode()] = size
        head, body = slow_caller.encode_request(name, target, is_waiting)
        self._loop.call(self._send, head + body)

    async def _send(self, data):
        self._stream.send(data)
        await trio.sleep(0)

    @stateful.rule(count=strategies.sampled_from((1, 7, 90, 1000, 9000)))
    def read(self, count):
        self._loop.call(self._grant, count)

    async def _grant(self, count):
        self._stream.grant(count)
        await trio.sleep(0.0001)

    @stateful.rule(seconds=_SECONDS)
    def advance(self, seconds):
        self._loop.call(trio.sleep, seconds)

    @stateful.invariant()
    def nothing_wrong_was_read(self):
        _check_answers(bytes(self._stream.received), self._target_by_name)

    def teardown(self):
        try:
            self._loop.call(self._finish)
            answers = _check_answers(
                bytes(self._stream.received), self._target_by_name
            )
            is_broken = answers and not answers[-1].is_whole
            if is_broken:
                assert self._stream.is_closed
            elif not self._stream.is_closed:
                assert len(answers) == len(self._target_by_name)
        finally:
            self._loop.stop()

    async def _finish(self):
        self._stream.grant(_ALL)
        # Longer than all deadlines, shorter than the idle timeout.
        await trio.sleep(10.0)
        self._scope.cancel()
        await trio.sleep(0)


def _check_answers(data, size_by_name):
    """Check that whole answers come in order, then at most a broken one."""
    answers = answer_reader.read_answers(data)
    names = list(size_by_name)
    for index, answer in enumerate(answers):
        name = answer.value_by_name[b'request-id']
        assert name == names[index]
        expected = b'late'
        if answer.status == 200:
            expected = slow_caller.answer_body(name, size_by_name[name])
        if answer.is_whole:
            assert answer.body == expected
        else:
            assert answer is answers[-1]
            assert expected.startswith(answer.body)
    return answers


def run_machine(phases=tuple(hypothesis.Phase)):
    """Run the state machine."""
    stateful.run_state_machine_as_test(
        AnswerMachine,
        settings=hypothesis.settings(
            max_examples=120,
            phases=phases,
            stateful_step_count=20,
            deadline=None,
            database=None,
            derandomize=True,
        ),
    )


def test_callers_read_whole_answers_in_order_then_at_most_a_broken_one():
    run_machine()


def _serve(function):
    """Run a function with a slow caller of a scripted handler."""

    async def main():
        async with trio.open_nursery() as nursery:
            stream = slow_caller.SlowStream()
            connection = caller_connection.CallerConnection(
                stream,
                slow_caller.ScriptedHandler(),
                trio.current_time,
                memory_budget.MemoryBudget(1 << 26),
            )
            nursery.start_soon(connection.serve)
            await function(stream)
            nursery.cancel_scope.cancel()

    virtual_time.run(main)


def test_ready_answer_is_written_after_the_deadline():
    async def play(stream):
        head, _ = slow_caller.encode_request('r0', '/whole/300/0/100')
        stream.send(head)
        stream.grant(50)
        await trio.sleep(1.0)
        stream.grant(_ALL)
        await trio.sleep(1.0)
        (answer,) = answer_reader.read_answers(bytes(stream.received))
        assert answer.status == 200
        assert answer.is_whole

    _serve(play)


def test_caller_that_reads_nothing_does_not_hold_an_answer_for_good():
    async def play(stream):
        head, _ = slow_caller.encode_request('r0', '/whole/300/0/100')
        stream.send(head)
        stream.grant(50)
        await trio.sleep(20.0)
        assert stream.is_closed

    _serve(play)


def test_answers_follow_after_100_continue():
    async def play(stream):
        stream.grant(_ALL)
        for number, kind in enumerate(('whole', 'parts')):
            head, body = slow_caller.encode_request(
                f'r{number}', f'/{kind}/30/0/100', is_waiting=True
            )
            stream.send(head)
            await trio.sleep(0.01)
            assert stream.received.endswith(b'100 \r\n\r\n')
            stream.send(body)
            await trio.sleep(0.1)
        first, second = answer_reader.read_answers(bytes(stream.received))
        assert first.is_whole
        assert second.is_whole
        assert second.value_by_name[b'request-id'] == b'r1'

    _serve(play)


def test_answer_that_is_cut_resets_its_connection():
    """Guards against a part that looks whole at an orderly close."""
    reset_streams = []

    async def play(stream):
        head, _ = slow_caller.encode_request('r0', '/parts/3000/0/100')
        stream.send(head)
        stream.grant(1000)
        await trio.sleep(1.0)
        assert stream.is_closed
        assert reset_streams == [stream]

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(sockets, 'reset_on_close', reset_streams.append)
        _serve(play)


_REFUSED_HEADS = {
    401: 'POST /any/x HTTP/1.1\r\nAuthorization: Token bad\r\n',
    404: 'POST /none/x HTTP/1.1\r\nAuthorization: Token k1\r\n',
    413: 'POST /any/x HTTP/1.1\r\nAuthorization: Token k1\r\nX: 1\r\n',
    429: 'POST /any/x HTTP/1.1\r\nAuthorization: Token k2\r\n',
}


async def _refuse_waiting_caller(rig, status):
    tenants = [
        {'name': 'org', 'api-keys': ['k1']},
        {'name': 'limited', 'api-keys': ['k2'], 'rate-per-s': 1e-6},
    ]
    rig.confirm_configuration(
        relay_rig.encode_configuration(8, tenants=tenants)
    )
    length = 1 << 40 if status == 413 else 4
    caller = rig.connect()
    head = (
        f'{_REFUSED_HEADS[status]}Host: h\r\nRequest-Id: r1\r\n'
        f'Expect: 100-continue\r\nContent-Length: {length}\r\n\r\n'
    )
    await caller.stream.send_all(head.encode())
    data = await caller.receive_all()
    assert data.startswith(f'HTTP/1.1 {status} '.encode())
    (answer,) = answer_reader.read_answers(data)
    assert answer.value_by_name[b'connection'] == b'close'


@pytest.mark.parametrize('status', _REFUSED_HEADS)
def test_request_that_is_refused_is_not_continued(status):
    """Guards against bodies that are sent in vain."""

    async def main():
        async with trio.open_nursery() as nursery:
            rig = relay_rig.RelayRig(nursery)
            await _refuse_waiting_caller(rig, status)
            nursery.cancel_scope.cancel()

    virtual_time.run(main)


def test_phases_of_an_answer():
    state = answer_state.AnswerState()
    state.begin_interim_write()
    assert state.is_cut
    state.end_write()
    assert not state.is_cut
    assert not state.has_started
    state.begin_write(is_last=False)
    assert state.has_started
    assert not state.is_cut
    state.record_written(1)
    assert state.is_cut
    with pytest.raises(RuntimeError):
        state.begin_write(is_last=True)
    state.end_write()
    state.begin_write(is_last=True)
    assert not state.is_whole
    state.end_write()
    assert state.is_whole
    assert not state.is_cut
    with pytest.raises(RuntimeError):
        state.begin_write(is_last=True)
