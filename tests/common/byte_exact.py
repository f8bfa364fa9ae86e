"""Connections whose far end decides which bytes pass, and sees each one."""

from foxtailrelay_node.internal.relay.http import inspectable_stream
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay.tunnels import tunnel_stream
import trio


class ServerEnd:
    """A server's end of a connection; changed by synchronous calls.

    Attributes
    ----------
    received : bytearray
        The bytes that the server's side has accepted.
    window : int
        How many more bytes it accepts.
    is_closed_by_node : bool
        Whether the node has closed the connection.
    report : bytes
        What answers requests for a report, which are not received; empty if
        they are received like others.
    """

    def __init__(self, window=0, report=b''):
        self.report = report
        self.received = bytearray()
        self.window = window
        self.is_closed_by_node = False
        self.is_reset = False
        self.has_ended = False
        self.outgoing = bytearray()
        self._changed = trio.lowlevel.ParkingLot()

    def accept(self, byte_count):
        """Accept more bytes."""
        self.window += byte_count
        self._changed.unpark_all()

    def send(self, data):
        """Send bytes to the node."""
        self.outgoing += data
        self._changed.unpark_all()

    def end(self):
        """End the server's direction, as an ordinary close does."""
        self.has_ended = True
        self._changed.unpark_all()

    def reset(self):
        """Reset the connection."""
        self.is_reset = True
        self._changed.unpark_all()

    def close_by_node(self):
        self.is_closed_by_node = True
        self._changed.unpark_all()

    async def wait(self):
        await self._changed.park()


class NodeEnd(inspectable_stream.InspectableStream):
    """The node's end; a cancelled write leaves what was accepted."""

    def __init__(self, far):
        self._far = far

    def has_no_pending_input(self):
        far = self._far
        return not (far.outgoing or far.has_ended or far.is_reset)

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        far = self._far
        data = bytes(data)
        if far.report and data.startswith(b'GET /-/report '):
            self._check()
            far.send(far.report)
            return
        while data:
            self._check()
            count = min(far.window, len(data))
            far.received += data[:count]
            far.window -= count
            data = data[count:]
            if data:
                await far.wait()

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        await trio.lowlevel.checkpoint()
        far = self._far
        while True:
            self._check()
            if far.outgoing:
                count = min(max_bytes or len(far.outgoing), len(far.outgoing))
                data = bytes(far.outgoing[:count])
                del far.outgoing[:count]
                return data
            if far.has_ended:
                return b''
            await far.wait()

    async def aclose(self):
        self._far.close_by_node()
        await trio.lowlevel.checkpoint()

    def _check(self):
        if self._far.is_closed_by_node:
            raise trio.ClosedResourceError('closed')
        if self._far.is_reset:
            raise trio.BrokenResourceError('reset')


class ByteExactDialer(sockets.Dialer):
    """Connects to servers that accept a number of bytes at first.

    Attributes
    ----------
    ends : list of ServerEnd
        The connections, in the order in which they were opened.
    """

    def __init__(self, window=0, report=b''):
        self.ends = []
        self.window = window
        self._report = report

    async def connect(self, host, port):
        await trio.lowlevel.checkpoint()
        self.ends.append(ServerEnd(self.window, self._report))
        return NodeEnd(self.ends[-1])


class Play:
    """A rig's node and its plain server, directly or through a peer."""

    def __init__(self, rig, window, is_tunnel=False):
        self.dialer = ByteExactDialer(window)
        rig.dialer.connect = self.dialer.connect
        if is_tunnel:
            rig.links.connect = self._open_tunnel
            rig.links.record_failure = lambda *args, **kwargs: None
        rig.add_server('plain', 1, None)
        self._is_tunnel = is_tunnel

    def answer(self, data):
        """Send bytes of the server on the newest connection."""
        if self._is_tunnel:
            data = tunnel_stream.HEADER.pack(len(data)) + data
        self.dialer.ends[-1].send(data)

    def end(self):
        """End the server's direction of the newest connection."""
        if self._is_tunnel:
            end = tunnel_stream.HEADER.pack(tunnel_stream.END_OF_STREAM)
            self.dialer.ends[-1].send(end)
        else:
            self.dialer.ends[-1].end()

    async def _open_tunnel(self, server, timeout_s=0.0):
        stream = await self.dialer.connect(server.host, server.port)
        return tunnel_stream.TunnelStream(stream, 'n2')


def split_requests(data):
    """Split received bytes into (head, body) pairs and a partial rest."""
    requests = []
    data = bytes(data)
    while True:
        head, separator, rest = data.partition(b'\r\n\r\n')
        if not separator:
            return requests, data
        length = 0
        for line in head.lower().split(b'\r\n')[1:]:
            name, _, value = line.partition(b':')
            if name == b'content-length':
                length = int(value)
        if len(rest) < length:
            return requests, data
        requests.append((head, rest[:length]))
        data = rest[length:]
