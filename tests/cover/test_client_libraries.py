"""Answers of a real node that break off, read by client libraries."""

import json
import signal
import socket
import threading
import time

from foxtailrelay_standins import local
import httpcore
import openai
import pytest

from common import caller_libraries
from common import scripted_server

_TOKEN = 'workshop.walk-in'
_HEADERS = {
    'Authorization': f'Bearer {_TOKEN}',
    'X-Request-Timeout-Ms': '2000',
}
_CHAT = {
    'model': 'assistant',
    'messages': [{'role': 'user', 'content': 'Wear on a hob?'}],
    'temperature': 1,
}
_STATEMENTS = """
    CREATE SERVICE assistant WITH (kind = model);
    CREATE ORGANISATION workshop WITH (token = '{token}');
    GRANT CALL ON SERVICE assistant TO ORGANISATION workshop;
    CREATE BACKEND engine-1 WITH (service = assistant, host = '127.0.0.1',
        port = {port}, zone = a);
"""
_REPORTS = {
    b'GET /v1/load ': {
        'queued_tokens': 0,
        'running': 0,
        'slots': 8,
        'time_s': 0.0,
    },
    b'GET /v1/cache-events': {'events': []},
}
_SETTINGS = {
    'routing': {'retry_budget_ratio': 1.0},
    'timings': {'drain_timeout_s': 1.0},
}
_PAUSE_S = 0.05
_BEFORE_THE_END_S = 0.3


class _Engine:
    """An engine whose streams either end, break off or go on for ever."""

    def __init__(self):
        self.event_count = None
        self.is_whole = False
        self.has_begun = threading.Event()

    def answer(self, connection, request):
        for start, report in _REPORTS.items():
            if request.startswith(start):
                body = json.dumps(report).encode()
                connection.sendall(
                    b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                    % len(body)
                    + body
                )
                return
        if request.startswith(b'POST /v1/cancel/'):
            return
        request_id = _header(request, 'x-request-id')
        number = int(_header(request, 'last-event-id'))
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
        )
        while self.event_count is None or number < self.event_count:
            number += 1
            fields = {
                'id': request_id,
                'object': 'chat.completion.chunk',
                'created': 0,
                'model': 'assistant',
                'choices': [
                    {
                        'index': 0,
                        'delta': {'content': f'{number} '},
                        'finish_reason': None,
                    }
                ],
            }
            connection.sendall(
                f'id: {number}\ndata: {json.dumps(fields)}\n\n'.encode()
            )
            if number > 1:
                self.has_begun.set()
            time.sleep(_PAUSE_S)
        if self.is_whole:
            connection.sendall(b'data: [DONE]\n\n')


def _header(request, name):
    for line in request.decode().split('\r\n'):
        found, _, value = line.partition(': ')
        if found.lower() == name:
            return value
    raise KeyError(name)


def _read_with_openai(url, headers, content):
    """Read an answer as the library of the chat-completions API does."""
    fields = json.loads(content)
    text = ''
    is_whole = True
    with openai.OpenAI(
        api_key=_TOKEN,
        base_url=url.removesuffix('/chat/completions'),
        max_retries=0,
        default_headers=headers,
    ) as client:
        try:
            answer = client.chat.completions.create(**fields)
            if fields.get('stream'):
                for chunk in answer:
                    text += chunk.choices[0].delta.content
            else:
                text = answer.choices[0].message.content
        except openai.OpenAIError:
            is_whole = False
    return caller_libraries.LibraryAnswer(200, text.encode(), is_whole)


_READERS = [*caller_libraries.READERS, _read_with_openai]


@pytest.fixture(scope='module')
def started(tmp_path_factory):
    engine = _Engine()
    with (
        scripted_server.ScriptedServer(engine.answer) as server,
        local.LocalCluster(
            tmp_path_factory.mktemp('cluster'), _SETTINGS
        ) as cluster,
    ):
        cluster.start_standin('log', 'log')
        cluster.start_standin('cloud', 'cloud')
        cluster.add_node('entry-1', 'a')
        cluster.start_nodes()
        text = _STATEMENTS.format(token=_TOKEN, port=server.port)
        response = httpcore.request(
            'POST',
            cluster.node_by_name['entry-1'].url + '/operator/statements',
            headers={'Authorization': f'Bearer {local.OPERATOR_TOKEN}'},
            content=json.dumps({'text': text}).encode(),
        )
        results = json.loads(response.content)['results']
        assert all(r['kind'] == 'done' for r in results), results
        yield cluster, engine


def _read(cluster, read, is_streamed):
    url = cluster.node_by_name['entry-1'].url + '/v1/chat/completions'
    content = json.dumps(_CHAT | {'stream': is_streamed}).encode()
    return read(url, _HEADERS, content)


@pytest.fixture
def playing(started, request):
    """Return the cluster and the engine, with a node that is ready."""
    cluster, engine = started
    if cluster.process_by_name['entry-1'].exit_status is not None:
        cluster.start_node('entry-1')
    url = cluster.node_by_name['entry-1'].url
    local.wait_until_ready(url)
    time.sleep(1.2)
    engine.event_count, engine.is_whole = None, False
    engine.has_begun.clear()
    return cluster, engine


@pytest.mark.parametrize('is_streamed', [True, False])
@pytest.mark.parametrize('read', _READERS)
def test_whole_answer_is_whole_for_each_library(playing, read, is_streamed):
    cluster, engine = playing
    engine.event_count, engine.is_whole = 3, True
    answer = _read(cluster, read, is_streamed)
    assert answer.is_whole
    assert b'1 ' in answer.body


def test_connection_ends_after_a_stream_if_the_caller_asks_for_it(playing):
    cluster, engine = playing
    engine.event_count, engine.is_whole = 3, True
    content = json.dumps(_CHAT | {'stream': True}).encode()
    lines = ['POST /v1/chat/completions HTTP/1.1', 'Host: h']
    lines += [f'{name}: {value}' for name, value in _HEADERS.items()]
    lines += ['Connection: close', f'Content-Length: {len(content)}', '', '']
    port = cluster.node_by_name['entry-1'].caller_port
    with socket.create_connection((local.HOST, port), 5) as connection:
        connection.sendall('\r\n'.join(lines).encode() + content)
        data = b''
        while part := connection.recv(65536):
            data += part
    assert data.endswith(b'\r\n0\r\n\r\n')


@pytest.mark.parametrize('is_streamed', [True, False])
@pytest.mark.parametrize('read', _READERS)
def test_answer_of_an_ended_engine_is_not_whole_for_any_library(
    playing, read, is_streamed
):
    cluster, engine = playing
    engine.event_count = 3
    answer = _read(cluster, read, is_streamed)
    assert not answer.is_whole or answer.status != 200


@pytest.mark.parametrize('read', _READERS)
def test_stream_at_its_deadline_is_not_whole_for_any_library(playing, read):
    cluster, _ = playing
    answer = _read(cluster, read, True)
    assert not answer.is_whole or answer.status != 200


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGTERM])
@pytest.mark.parametrize('read', _READERS)
def test_stream_of_a_node_that_ends_is_not_whole_for_any_library(
    playing, read, number
):
    cluster, engine = playing
    process = cluster.process_by_name['entry-1']

    def end_node():
        engine.has_begun.wait()
        time.sleep(_BEFORE_THE_END_S)
        process.send_signal(number)

    thread = threading.Thread(target=end_node, daemon=True)
    thread.start()
    try:
        answer = _read(cluster, read, True)
    except OSError:
        answer = caller_libraries.LibraryAnswer(0, b'', False)
    thread.join()
    assert process.wait(20) is not None
    assert not answer.is_whole or answer.status != 200
