"""Early, broken off and invalid answers, as callers of a node see them."""

import contextlib
import itertools
import json
import re
import socket
import struct
import time
import typing

from foxtailrelay_standins import local
import httpcore
import pytest

from common import odd_heads
from common import scripted_server

_TOKEN = 'workshop.walk-in'
_STATEMENTS = """
    CREATE SERVICE kiosk WITH (kind = plain, idempotent = no);
    CREATE SERVICE clips WITH (kind = plain);
    CREATE SERVICE assistant WITH (kind = model);
    CREATE ORGANISATION workshop WITH (token = '{token}',
        requests_per_s = 10000);
    GRANT CALL ON SERVICE kiosk TO ORGANISATION workshop;
    GRANT CALL ON SERVICE clips TO ORGANISATION workshop;
    GRANT CALL ON SERVICE assistant TO ORGANISATION workshop;
    CREATE BACKEND kiosk-1 WITH (service = kiosk, host = '127.0.0.1',
        port = {port}, zone = a);
    CREATE BACKEND clips-1 WITH (service = clips, host = '127.0.0.1',
        port = {port}, zone = a);
    CREATE BACKEND engine-1 WITH (service = assistant, host = '127.0.0.1',
        port = {port}, zone = a);
"""
_LENGTH = re.compile(rb'\r\ncontent-length: (\d+)\r\n', re.IGNORECASE)
_REQUEST_ID = re.compile(rb'\r\nx-request-id: (\S+)\r\n', re.IGNORECASE)
_REPORTS = {
    b'GET /v1/load ': b'{"queued_tokens": 0, "running": 0, "slots": 8, '
    b'"time_s": 0.0}',
    b'GET /v1/cache-events': b'{"events": []}',
    b'POST /v1/cancel': b'{}',
}
_PART = b'p' * 700
_WHOLE = b'the whole answer'
_UPLOAD_BYTES = 1_000_000
# A node refuses much longer prompts, since they would be late.
_PROMPT_BYTES = 20_000
_RETRY_POLLS = 100
_RETRY_INTERVAL_S = 0.1


class _Case(typing.NamedTuple):
    """How a server answers before the upload has ended."""

    framing: str
    has_close: bool
    ending: str
    reads_upload: bool
    delay_s: float


_CASES = [
    _Case(*values)
    for values in itertools.product(
        ('none', 'chunks', 'length'),
        (False, True),
        ('reset while writing', 'reset while reading', 'close'),
        (False, True),
        (0.0, 0.15),
    )
]


class _EarlyServer(scripted_server.ScriptedServer):
    """Keeps connections, and reads the body of a request when it likes.

    Attributes
    ----------
    script : callable
        Takes the connection and the head of a request, and returns whether
        the connection is kept.
    reused_count : int
        Requests that were not the first ones on their connections.
    """

    def __init__(self):
        super().__init__(None)
        self.script = _answer_whole
        self.reused_count = 0

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            for number in itertools.count():
                head = _read_head(connection)
                if not head:
                    return
                report = next(
                    (b for s, b in _REPORTS.items() if head.startswith(s)),
                    None,
                )
                if report is not None:
                    _read_body(connection, head)
                    _send_whole(connection, report)
                    continue
                self.requests.append(head)
                self.reused_count += number > 0
                if not self.script(connection, head):
                    return


def _read_head(connection):
    data = b''
    while not data.endswith(b'\r\n\r\n'):
        part = connection.recv(1)
        if not part:
            return b''
        data += part
    return data


def _read_body(connection, head):
    match = _LENGTH.search(head)
    left = int(match[1]) if match else 0
    while left:
        part = connection.recv(min(left, 65536))
        if not part:
            return
        left -= len(part)


def _send_whole(connection, body):
    connection.sendall(
        b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (len(body), body)
    )


def _answer_whole(connection, head):
    _read_body(connection, head)
    body = _WHOLE
    if head.startswith(b'POST /v1/chat/completions '):
        body = _event(head, 1) + b'data: [DONE]\n\n'
    _send_whole(connection, body)
    return True


def _event(head, number):
    choice = {'index': 0, 'delta': {'content': 'x'}, 'finish_reason': None}
    request_id = _REQUEST_ID.search(head)[1].decode()
    data = json.dumps({'id': request_id, 'choices': [choice]}).encode()
    return b'id: %d\ndata: %b\n\n' % (number, data)


def _break_off(case, connection, head):
    """Send a part of an answer, then end the connection."""
    time.sleep(case.delay_s)
    part, media_type = _PART, b'text/plain'
    if head.startswith(b'POST /v1/chat/completions '):
        part = b''.join(_event(head, n) for n in range(1, 6))
        media_type = b'text/event-stream'
    lines = {
        'none': b'',
        'chunks': b'Transfer-Encoding: chunked\r\n',
        'length': b'Content-Length: %d\r\n' % (2 * len(part)),
    }[case.framing]
    if case.has_close:
        lines += b'Connection: close\r\n'
    if case.framing == 'chunks':
        part = b'%x\r\n%b\r\n' % (len(part), part)
    connection.sendall(
        b'HTTP/1.1 200 OK\r\nContent-Type: %b\r\n%b\r\n%b'
        % (media_type, lines, part)
    )
    if case.reads_upload:
        _read_body(connection, head)
    if case.ending == 'reset while reading':
        # The node has read the part, and waits for more.
        time.sleep(0.05)
    if case.ending == 'close':
        connection.shutdown(socket.SHUT_WR)
        time.sleep(0.1)
    else:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    return False


@pytest.fixture(scope='module')
def node(tmp_path_factory):
    """Return the URL of a node, and the server of all its services."""
    with (
        local.LocalCluster(tmp_path_factory.mktemp('cluster')) as cluster,
        _EarlyServer() as server,
    ):
        cluster.start_standin('log', 'log')
        cluster.start_standin('cloud', 'cloud')
        cluster.add_node('entry-1', 'a')
        cluster.start_nodes()
        url = cluster.node_by_name['entry-1'].url
        text = _STATEMENTS.format(token=_TOKEN, port=server.port)
        response = httpcore.request(
            'POST',
            url + '/operator/statements',
            headers={'Authorization': f'Bearer {local.OPERATOR_TOKEN}'},
            content=json.dumps({'text': text}).encode(),
        )
        results = json.loads(response.content)['results']
        assert all(r['kind'] == 'done' for r in results), results
        yield url, server


_keys = itertools.count()


def _call(node, service, count):
    """Make a call with a body; return None if the caller sees it break."""
    url, _ = node
    headers = {
        'Authorization': f'Bearer {_TOKEN}',
        'Idempotency-Key': f'k{next(_keys)}',
        'X-Request-Timeout-Ms': '3000',
    }
    path, body = f'/services/{service}/a', b'u' * count
    if service == 'assistant':
        path = '/v1/chat/completions'
        message = {'role': 'user', 'content': 'u ' * (count // 2)}
        body = json.dumps(
            {'model': service, 'messages': [message], 'stream': True}
        ).encode()
    try:
        return httpcore.request(
            'POST', url + path, headers=headers, content=body
        )
    except (httpcore.ProtocolError, httpcore.NetworkError):
        return None


def _call_whole(node, service):
    """Make a call until the service is served again."""
    node[1].script = _answer_whole
    for _ in range(_RETRY_POLLS):
        response = _call(node, service, 10)
        if response is not None and response.status == 200:
            return response
        time.sleep(_RETRY_INTERVAL_S)
    raise AssertionError(response)


def _is_whole(service, response):
    """Whether a caller takes what it got for a whole success."""
    if response is None or response.status != 200:
        return False
    return service != 'assistant' or b'[DONE]' in response.content


@pytest.mark.parametrize('service', ['kiosk', 'clips', 'assistant'])
@pytest.mark.parametrize(
    'ending', ['reset while writing', 'reset while reading', 'close']
)
def test_answer_broken_off_during_the_upload_is_no_success(
    node, service, ending
):
    """Guards against a part of an answer that a caller takes as whole."""
    _, server = node
    wrong = []
    reused_before = server.reused_count
    for case in (c for c in _CASES if c.ending == ending):
        # Opens a connection, which the next call may reuse.
        _call_whole(node, service)
        server.script = lambda connection, head, case=case: _break_off(
            case, connection, head
        )
        count_before = len(server.requests)
        response = _call(
            node,
            service,
            _PROMPT_BYTES if service == 'assistant' else _UPLOAD_BYTES,
        )
        runs = len(server.requests) - count_before
        assert runs > 0, (case, response and response.content)
        if _is_whole(service, response) or (service == 'kiosk' and runs > 1):
            wrong.append((case, runs, response.status, response.content[:99]))
    assert wrong == []
    # Calls that run at most once, and streams, have connections of their own.
    assert service != 'clips' or server.reused_count > reused_before


_REST = b'Content-Length: %d\r\n\r\n%b' % (len(_WHOLE), _WHOLE)


def _play_raw(node, service, answer):
    """Return the answer to a caller, and how often the request ran."""
    _, server = node

    def script(connection, head):
        _read_body(connection, head)
        connection.sendall(answer)
        return False

    server.script = script
    count_before = len(server.requests)
    response = _call(node, service, 10)
    return response, len(server.requests) - count_before


@pytest.mark.parametrize('service', ['kiosk', 'clips'])
def test_answer_with_an_invalid_status_is_no_answer(node, service):
    """Guards against a status that callers cannot read."""
    wrong = []
    for name, answer in odd_heads.invalid(b'', _REST).items():
        _call_whole(node, service)
        response, runs = _play_raw(node, service, answer)
        is_failure = response is not None and response.status in (502, 504)
        if not is_failure or runs != 1:
            wrong.append((name, runs, response and response.status))
    assert wrong == []


def test_stream_with_an_invalid_status_is_no_success(node):
    wrong = []
    for name, answer in odd_heads.invalid(b'', _REST).items():
        _call_whole(node, 'assistant')
        response, runs = _play_raw(node, 'assistant', answer)
        if _is_whole('assistant', response) or not runs:
            wrong.append((name, runs, response and response.status))
    assert wrong == []


@pytest.mark.parametrize('service', ['kiosk', 'clips'])
def test_status_without_a_reason_is_valid(node, service):
    """Guards against sound answers that are refused for a missing reason."""
    for name, answer in odd_heads.valid(b'', _REST).items():
        _call_whole(node, service)
        response, runs = _play_raw(node, service, answer)
        assert response is not None, name
        assert response.status in (200, 201), name
        assert response.content == _WHOLE, name
        assert runs == 1, name
