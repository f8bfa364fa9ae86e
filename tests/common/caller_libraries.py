"""Reads one answer with each of several HTTP client libraries."""

import http.client
import socket
import typing
import urllib.parse

import httpcore
import httpx2

_TIMEOUT_S = 20.0


class LibraryAnswer(typing.NamedTuple):
    """What a caller got from its library.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        Body as far as it was received.
    is_whole : bool
        Whether the library reports the body as complete.
    """

    status: int
    body: bytes
    is_whole: bool


def _read_parts(
    status: int,
    parts: typing.Iterable[bytes],
    errors: type[Exception] | tuple[type[Exception], ...],
) -> LibraryAnswer:
    body = b''
    try:
        for part in parts:
            body += part
    except errors:
        return LibraryAnswer(status, body, False)
    return LibraryAnswer(status, body, True)


def read_with_httpx2(
    url: str, headers: dict[str, str], content: bytes
) -> LibraryAnswer:
    """Read the answer to a POST request with httpx2."""
    with (
        httpx2.Client(timeout=_TIMEOUT_S) as client,
        client.stream(
            'POST', url, headers=headers, content=content
        ) as response,
    ):
        return _read_parts(
            response.status_code, response.iter_bytes(), httpx2.HTTPError
        )


def read_with_httpcore(
    url: str, headers: dict[str, str], content: bytes
) -> LibraryAnswer:
    """Read the answer to a POST request with httpcore."""
    with (
        httpcore.ConnectionPool() as pool,
        pool.stream('POST', url, headers=headers, content=content) as response,
    ):
        return _read_parts(
            response.status,
            response.iter_stream(),
            (httpcore.NetworkError, httpcore.ProtocolError),
        )


def read_with_http_client(
    url: str, headers: dict[str, str], content: bytes, version: int = 11
) -> LibraryAnswer:
    """Read the answer to a POST request with the standard library."""
    parsed = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parsed.hostname, parsed.port, timeout=_TIMEOUT_S
    )
    connection._http_vsn = version
    connection._http_vsn_str = f'HTTP/{version // 10}.{version % 10}'
    try:
        connection.request('POST', parsed.path, content, headers)
        response = connection.getresponse()
        try:
            return LibraryAnswer(response.status, response.read(), True)
        except http.client.IncompleteRead as error:
            return LibraryAnswer(response.status, error.partial, False)
        except OSError:
            return LibraryAnswer(response.status, b'', False)
    finally:
        connection.close()


def read_with_http_client_1_0(
    url: str, headers: dict[str, str], content: bytes
) -> LibraryAnswer:
    """Read the answer to an HTTP/1.0 request with the standard library."""
    return read_with_http_client(url, headers, content, 10)


def read_with_a_socket_1_0(
    url: str, headers: dict[str, str], content: bytes
) -> LibraryAnswer:
    """Read the answer to an HTTP/1.0 request up to the connection's end."""
    parsed = urllib.parse.urlsplit(url)
    lines = [f'POST {parsed.path} HTTP/1.0']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(content)}', '', '']
    data, is_reset = b'', False
    with socket.create_connection(
        (parsed.hostname, parsed.port), timeout=_TIMEOUT_S
    ) as connection:
        connection.sendall('\r\n'.join(lines).encode() + content)
        try:
            while part := connection.recv(65536):
                data += part
        except OSError:
            is_reset = True
    head, separator, body = data.partition(b'\r\n\r\n')
    if not separator:
        return LibraryAnswer(0, b'', False)
    is_whole = not is_reset
    for line in head.split(b'\r\n')[1:]:
        name, _, value = line.partition(b':')
        if name.strip().lower() == b'content-length':
            is_whole = len(body) == int(value)
    return LibraryAnswer(int(head.split()[1]), body, is_whole)


READERS = [
    read_with_httpx2,
    read_with_httpcore,
    read_with_http_client,
    read_with_http_client_1_0,
    read_with_a_socket_1_0,
]
