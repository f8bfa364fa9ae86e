"""Answers without a length, as the callers of a real node see them."""

import json

from foxtailrelay_standins import local
import httpcore
import pytest

from common import scripted_server

_TOKEN = 'workshop.walk-in'
_STATEMENTS = """
    CREATE SERVICE desk WITH (kind = plain, idempotent = no,
        status_path = '/calls/{{key}}');
    CREATE SERVICE kiosk WITH (kind = plain, idempotent = no);
    CREATE SERVICE clips WITH (kind = plain);
    CREATE ORGANISATION workshop WITH (token = '{token}');
    GRANT CALL ON SERVICE desk TO ORGANISATION workshop;
    GRANT CALL ON SERVICE kiosk TO ORGANISATION workshop;
    GRANT CALL ON SERVICE clips TO ORGANISATION workshop;
    CREATE BACKEND desk-1 WITH (service = desk, host = '127.0.0.1',
        port = {ending}, zone = a);
    CREATE BACKEND kiosk-1 WITH (service = kiosk, host = '127.0.0.1',
        port = {ending}, zone = a);
    CREATE BACKEND clips-1 WITH (service = clips, host = '127.0.0.1',
        port = {ending}, zone = a);
    CREATE BACKEND clips-2 WITH (service = clips, host = '127.0.0.1',
        port = {sound}, zone = b);
"""
_WHOLE = b'the whole answer'


def _write_framed(connection, request):
    connection.sendall(
        b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(_WHOLE) + _WHOLE
    )


def _end_in_the_answer(connection, request):
    """Answer as a process that is killed while the next one listens."""
    if request.startswith(b'GET /calls/'):
        _write_framed(connection, request)
    else:
        connection.sendall(b'HTTP/1.1 200 OK\r\n\r\n' + _WHOLE[:4])


@pytest.fixture(scope='module')
def node_and_servers(tmp_path_factory):
    with (
        local.LocalCluster(tmp_path_factory.mktemp('cluster')) as cluster,
        scripted_server.ScriptedServer(_end_in_the_answer) as ending,
        scripted_server.ScriptedServer(_write_framed) as sound,
    ):
        cluster.start_standin('log', 'log')
        cluster.start_standin('cloud', 'cloud')
        cluster.add_node('entry-1', 'a')
        cluster.start_nodes()
        url = cluster.node_by_name['entry-1'].url
        text = _STATEMENTS.format(
            token=_TOKEN, ending=ending.port, sound=sound.port
        )
        response = httpcore.request(
            'POST',
            url + '/operator/statements',
            headers={'Authorization': f'Bearer {local.OPERATOR_TOKEN}'},
            content=json.dumps({'text': text}).encode(),
        )
        results = json.loads(response.content)['results']
        assert all(r['kind'] == 'done' for r in results), results
        yield url, ending, sound


def _call(node_and_servers, method, path, key=''):
    headers = {'Authorization': f'Bearer {_TOKEN}'}
    if key:
        headers['Idempotency-Key'] = key
    url = node_and_servers[0] + path
    return httpcore.request(method, url, headers=headers)


def test_repeatable_call_is_sent_again_after_an_end_without_a_length(
    node_and_servers,
):
    response = _call(node_and_servers, 'GET', '/services/clips/a')
    assert (response.status, response.content) == (200, _WHOLE)
    _, ending, sound = node_and_servers
    assert any(r.startswith(b'GET /a ') for r in ending.requests)
    assert any(r.startswith(b'GET /a ') for r in sound.requests)


def test_call_that_may_run_once_is_unclear_after_an_end_without_a_length(
    node_and_servers,
):
    response = _call(node_and_servers, 'POST', '/services/kiosk/b', 'k1')
    document = json.loads(response.content)
    assert (response.status, document['outcome']) == (504, 'unknown')
    requests = node_and_servers[1].requests
    assert len([r for r in requests if r.startswith(b'POST /b ')]) == 1


def test_answer_is_asked_for_by_its_key_after_an_end_without_a_length(
    node_and_servers,
):
    response = _call(node_and_servers, 'POST', '/services/desk/c', 'k2')
    assert (response.status, response.content) == (200, _WHOLE)
    requests = node_and_servers[1].requests
    assert len([r for r in requests if r.startswith(b'POST /c ')]) == 1
