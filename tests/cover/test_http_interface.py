"""The HTTP interface for callers, tested over real processes.

No check depends on the speed of the machine.
"""

import json
import socket
import time

from foxtailrelay_standins import local
import httpcore
import openai
import pytest

_TOKEN = 'workshop.walk-in'
_AUTHORIZATION = {'Authorization': f'Bearer {_TOKEN}'}
_CHAT = {
    'model': 'assistant',
    'messages': [{'role': 'user', 'content': 'Wear on a hob?'}],
    'max_tokens': 8,
}
_STATEMENTS = """
    CREATE SERVICE assistant WITH (kind = model);
    CREATE SERVICE secret WITH (kind = model);
    CREATE SERVICE desk WITH (kind = plain, idempotent = no,
        status_path = '/calls/{{key}}');
    CREATE SERVICE clips WITH (kind = plain);
    CREATE ORGANISATION workshop WITH (token = '{token}');
    GRANT CALL ON SERVICE assistant TO ORGANISATION workshop;
    GRANT CALL ON SERVICE desk TO ORGANISATION workshop;
    GRANT CALL ON SERVICE clips TO ORGANISATION workshop;
    CREATE BACKEND engine-1 WITH (service = assistant, host = '127.0.0.1',
        port = {engine}, zone = a);
    CREATE BACKEND desk-1 WITH (service = desk, host = '127.0.0.1',
        port = {desk}, zone = a);
    CREATE BACKEND clips-1 WITH (service = clips, host = '127.0.0.1',
        port = {desk}, zone = a);
"""
_POLL_INTERVAL_S = 0.05
_MAX_POLLS = 400


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    extra_settings = {'limits': {'body_bytes': 20000, 'body_timeout_s': 0.5}}
    directory = tmp_path_factory.mktemp('cluster')
    with local.LocalCluster(directory, extra_settings) as started:
        started.start_standin('log', 'log')
        started.start_standin('cloud', 'cloud')
        engine = started.start_standin('engine', 'engine-1', '--name', 'e')
        desk = started.start_standin('backend', 'desk-1', '--name', 'desk-1')
        started.add_node('entry-1', 'a')
        started.start_nodes()
        text = _STATEMENTS.format(token=_TOKEN, engine=engine, desk=desk)
        results = _run_statements(started, text)
        assert all(r['kind'] == 'done' for r in results), results
        yield started


def _run_statements(cluster, text):
    response = httpcore.request(
        'POST',
        cluster.node_by_name['entry-1'].url + '/operator/statements',
        headers={'Authorization': f'Bearer {local.OPERATOR_TOKEN}'},
        content=json.dumps({'text': text}).encode(),
    )
    return json.loads(response.content)['results']


def _call(cluster, method, path, body=b'', headers=_AUTHORIZATION):
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    return httpcore.request(
        method,
        cluster.node_by_name['entry-1'].url + path,
        headers=headers,
        content=content,
    )


_CHAT_PATH = '/v1/chat/completions'
_TOO_LARGE_CHAT = _CHAT | {
    'messages': [{'role': 'user', 'content': 'x' * 30000}]
}
_BAD_REQUESTS = {
    'no token': ('POST', _CHAT_PATH, _CHAT, {}, 401, 'unauthenticated'),
    'wrong token': (
        'POST',
        _CHAT_PATH,
        _CHAT,
        {'Authorization': 'Bearer workshop.guess'},
        401,
        'unauthenticated',
    ),
    'unknown organisation': (
        'POST',
        _CHAT_PATH,
        _CHAT,
        {'Authorization': 'Bearer nobody.guess'},
        401,
        'unauthenticated',
    ),
    'broken JSON': ('POST', _CHAT_PATH, b'{"a":', {}, 400, 'bad-request'),
    'no messages': (
        'POST',
        _CHAT_PATH,
        {'model': 'assistant'},
        {},
        400,
        'bad-request',
    ),
    'not an object': ('POST', _CHAT_PATH, b'[1]', {}, 400, 'bad-request'),
    'unknown service': (
        'POST',
        _CHAT_PATH,
        _CHAT | {'model': 'nothing'},
        {},
        404,
        'unknown-service',
    ),
    'no grant': (
        'POST',
        _CHAT_PATH,
        _CHAT | {'model': 'secret'},
        {},
        403,
        'no-grant',
    ),
    'too large': ('POST', _CHAT_PATH, _TOO_LARGE_CHAT, {}, 413, 'too-large'),
    'bad timeout': (
        'POST',
        _CHAT_PATH,
        _CHAT,
        {'X-Request-Timeout-Ms': 'soon'},
        400,
        'bad-request',
    ),
    'foreign event id': (
        'POST',
        _CHAT_PATH,
        _CHAT,
        {'Last-Event-ID': 'other.0a/engine-1/3'},
        400,
        'bad-request',
    ),
    'missing key': ('POST', '/services/desk/x', b'', {}, 400, 'key-required'),
    'bad key': (
        'POST',
        '/services/desk/x',
        b'',
        {'Idempotency-Key': 'a b'},
        400,
        'bad-request',
    ),
    'unknown plain service': (
        'GET',
        '/services/nothing/x',
        b'',
        {},
        404,
        'unknown-service',
    ),
    'unknown path': ('GET', '/nothing', b'', {}, 404, 'not-found'),
    'unknown request': (
        'GET',
        '/v1/requests/desk/never',
        b'',
        {},
        404,
        'not-found',
    ),
}


@pytest.mark.parametrize('name', _BAD_REQUESTS)
def test_bad_request_gets_its_documented_answer(cluster, name):
    method, path, body, headers, status, kind = _BAD_REQUESTS[name]
    if 'token' not in name and 'organisation' not in name:
        headers = _AUTHORIZATION | headers
    response = _call(cluster, method, path, body, headers)
    document = json.loads(response.content)
    header_by_name = {k.lower(): v for k, v in response.headers}
    assert (response.status, document['kind']) == (status, kind)
    assert header_by_name[b'content-type'] == b'application/problem+json'
    assert document['outcome'] == 'not-run'
    assert document['detail']


def test_openai_client_library_works_unmodified(cluster):
    client = openai.OpenAI(
        api_key=_TOKEN,
        base_url=cluster.node_by_name['entry-1'].url + '/v1',
    )
    assert [model.id for model in client.models.list()] == ['assistant']
    complete = client.chat.completions.create(**_CHAT)
    streamed = client.chat.completions.create(**_CHAT, stream=True)
    text = ''.join(chunk.choices[0].delta.content or '' for chunk in streamed)
    assert text == complete.choices[0].message.content
    assert len(text.split()) == 8
    assert complete.usage.completion_tokens == 8


def test_stream_is_resumed_by_event_id(cluster):
    body = _CHAT | {'stream': True}
    complete = _call(cluster, 'POST', _CHAT_PATH, body).content.decode()
    events = [e for e in complete.split('\n\n') if e.startswith('id: ')]
    last_id = events[2].splitlines()[0].removeprefix('id: ')
    headers = _AUTHORIZATION | {'Last-Event-ID': last_id}
    rest = _call(cluster, 'POST', _CHAT_PATH, body, headers).content.decode()
    resumed = [e for e in rest.split('\n\n') if e.startswith('id: ')]
    assert resumed == events[3:]
    assert rest.endswith('data: [DONE]\n\n')


def test_idempotency_key_of_another_call_is_refused(cluster):
    headers = _AUTHORIZATION | {'Idempotency-Key': 'reused'}
    first = _call(cluster, 'POST', '/services/desk/a', b'1', headers)
    second = _call(cluster, 'POST', '/services/desk/a', b'2', headers)
    assert first.status == 200
    assert json.loads(second.content)['kind'] == 'key-reused'


def test_accepted_call_has_a_status_resource(cluster):
    headers = _AUTHORIZATION | {
        'Idempotency-Key': 'later-1',
        'Prefer': 'respond-async',
    }
    response = _call(cluster, 'POST', '/services/desk/a', b'1', headers)
    assert response.status == 202
    location = dict(response.headers)[b'location'].decode()
    status = _wait_for(
        lambda: json.loads(_call(cluster, 'GET', location).content),
        lambda found: found['state'] == 'finished',
    )
    assert status['outcome'] == 'ran'


def test_read_of_an_idempotent_service_needs_no_key(cluster):
    response = _call(cluster, 'GET', '/services/clips/clip/7?full=1')
    assert response.status == 200
    assert dict(response.headers)[b'x-outcome'] == b'ran'


def test_slow_request_body_is_answered_with_status_408(cluster):
    address = (local.HOST, cluster.node_by_name['entry-1'].caller_port)
    with socket.create_connection(address) as connection:
        connection.sendall(
            b'POST /services/desk/a HTTP/1.1\r\nHost: x\r\n'
            b'Authorization: Bearer ' + _TOKEN.encode() + b'\r\n'
            b'Idempotency-Key: slow\r\nContent-Length: 10\r\n\r\nhalf'
        )
        assert connection.recv(100).startswith(b'HTTP/1.1 408')


def test_caller_disconnect_cancels_the_request(cluster):
    address = (local.HOST, cluster.node_by_name['entry-1'].caller_port)
    body = json.dumps(_CHAT | {'max_tokens': 100000, 'stream': True}).encode()
    with socket.create_connection(address) as connection:
        connection.sendall(
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
            b'Authorization: Bearer ' + _TOKEN.encode() + b'\r\n'
            b'Content-Length: %d\r\n\r\n' % len(body) + body
        )
        assert connection.recv(100).startswith(b'HTTP/1.1 200')
    _wait_for(
        lambda: json.loads(
            httpcore.request(
                'GET', cluster.url('engine-1') + '/standin/stats'
            ).content
        )['requests'].values(),
        lambda stats: any(r['state'] == 'cancelled' for r in stats),
    )
    _wait_for(
        lambda: _call(cluster, 'GET', '/metrics').content,
        lambda text: b'foxtailrelay_requests_in_flight 0.0' in text,
    )


def _wait_for(read, condition):
    for _ in range(_MAX_POLLS):
        found = read()
        if condition(found):
            return found
        time.sleep(_POLL_INTERVAL_S)
    raise AssertionError(f'still {found}')


def test_syntax_error_detail_names_the_expected_tokens(cluster):
    (result,) = _run_statements(cluster, 'DRAIN TABLE x')
    assert result['problem'] == 'bad-statement'
    assert 'expected VM or BACKEND' in result['detail']


def test_unsupported_statement_is_refused_by_name(cluster):
    (result,) = _run_statements(cluster, 'MOVE SERVICE desk FROM a TO b')
    assert result['problem'] == 'not-carried-out'
    assert 'MOVE' in result['detail']


def test_query_filters_orders_and_limits(cluster):
    (result,) = _run_statements(
        cluster,
        'SELECT name, serving FROM services WHERE serving > 0 '
        'ORDER BY name DESC LIMIT 2',
    )
    assert result['rows'] == [['desk', 1], ['clips', 1]]
