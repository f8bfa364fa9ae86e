"""A proxy ends and goes on as the address of a process that is replaced."""

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
