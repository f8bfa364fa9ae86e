"""A proxy ends and goes on as the address of a process that is replaced."""

import random

import pytest
import trio

from soak import fault_proxy

_HOST = '127.0.0.1'


async def _serve(nursery, text):
    """Serve a text to each connection, and keep it open; return the port."""

    async def serve_one(stream):
        await stream.send_all(text)
        await trio.sleep_forever()

    (listener,) = await trio.open_tcp_listeners(0, host=_HOST)
    nursery.start_soon(trio.serve_listeners, serve_one, [listener])
    return listener.socket.getsockname()[1]


@pytest.mark.parametrize('with_reset', [True, False])
def test_next_process_accepts_at_the_same_address(with_reset):
    trio.run(_replace_process, with_reset)


async def _replace_process(with_reset):
    async with trio.open_nursery() as nursery:
        proxy = fault_proxy.FaultProxy(_HOST, await _serve(nursery, b'old'))
        port = await nursery.start(proxy.serve, _HOST)
        stream = await trio.open_tcp_stream(_HOST, port)
        assert await stream.receive_some() == b'old'
        proxy.end(with_reset)
        if with_reset:
            with pytest.raises(trio.BrokenResourceError):
                await stream.receive_some()
        else:
            assert await stream.receive_some() == b''
        with pytest.raises(OSError):
            await trio.open_tcp_stream(_HOST, port)
        proxy.set_server(_HOST, await _serve(nursery, b'new'))
        assert await nursery.start(proxy.serve, _HOST, port) == port
        stream = await trio.open_tcp_stream(_HOST, port)
        assert await stream.receive_some() == b'new'
        nursery.cancel_scope.cancel()


def test_share_of_links_is_reset():
    trio.run(_reset_share)


async def _reset_share():
    async with trio.open_nursery() as nursery:
        proxy = fault_proxy.FaultProxy(_HOST, await _serve(nursery, b'x'))
        port = await nursery.start(proxy.serve, _HOST)
        streams = [await trio.open_tcp_stream(_HOST, port) for _ in range(8)]
        for stream in streams:
            assert await stream.receive_some() == b'x'
        assert proxy.reset_share(random.Random(1), 0.5) == 4
        assert sum([await _is_reset(stream) for stream in streams]) == 4
        assert proxy.link_count == 4
        nursery.cancel_scope.cancel()


async def _is_reset(stream):
    """Whether a connection is reset, rather than open."""
    try:
        with trio.move_on_after(0.2):
            assert not await stream.receive_some()
    except trio.BrokenResourceError:
        return True
    return False


@pytest.mark.parametrize('with_reset', [True, False])
def test_late_bytes_of_an_ended_process_arrive_after_a_silent_link(with_reset):
    trio.run(_end_behind_silence, with_reset)


async def _end_behind_silence(with_reset):
    async with trio.open_nursery() as nursery:
        resume = trio.Event()

        async def serve_one(stream):
            await stream.send_all(b'old')
            await resume.wait()
            await stream.send_all(b'late')
            await stream.aclose()

        (listener,) = await trio.open_tcp_listeners(0, host=_HOST)
        nursery.start_soon(trio.serve_listeners, serve_one, [listener])
        old_port = listener.socket.getsockname()[1]
        proxy = fault_proxy.FaultProxy(_HOST, old_port)
        port = await nursery.start(proxy.serve, _HOST)
        old = await trio.open_tcp_stream(_HOST, port)
        assert await old.receive_some() == b'old'
        proxy.set_mode(fault_proxy.Mode.BLACKHOLE)
        resume.set()
        during = await trio.open_tcp_stream(_HOST, port)
        with trio.move_on_after(0.3) as silence:
            await old.receive_some()
        assert silence.cancelled_caught
        proxy.set_server(_HOST, await _serve(nursery, b'new'))
        if with_reset:
            proxy.reset_after_rest()
        proxy.set_mode(fault_proxy.Mode.NORMAL)
        assert await old.receive_some() == b'late'
        if with_reset:
            with pytest.raises(trio.BrokenResourceError):
                await old.receive_some()
        else:
            assert await old.receive_some() == b''
        assert await during.receive_some() == b'new'
        nursery.cancel_scope.cancel()
