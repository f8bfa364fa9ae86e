"""A server on loopback that writes bytes of its own choice."""

import contextlib
import re
import socket
import threading
import typing

_LENGTH = re.compile(rb'\r\ncontent-length: (\d+)\r\n', re.IGNORECASE)


class ScriptedServer:
    """Accepts connections and lets a function write the answers.

    A connection is closed after its answer.

    Parameters
    ----------
    answer : callable
        Takes the connection and the bytes of a request.

    Attributes
    ----------
    port : int
        Where it listens.
    requests : list of bytes
        The requests received.
    """

    def __init__(
        self, answer: typing.Callable[[socket.socket, bytes], None]
    ) -> None:
        self.requests: list[bytes] = []
        self._answer = answer
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]

    def __enter__(self) -> 'ScriptedServer':
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exception) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            request = _read_request(connection)
            if request:
                self.requests.append(request)
                self._answer(connection, request)


def _read_request(connection: socket.socket) -> bytes:
    """Read one request with its body; return no bytes at the end."""
    data = b''
    while True:
        head, separator, body = data.partition(b'\r\n\r\n')
        match = _LENGTH.search(head + b'\r\n')
        if separator and len(body) >= (int(match[1]) if match else 0):
            return data
        part = connection.recv(65536)
        if not part:
            return b''
        data += part
