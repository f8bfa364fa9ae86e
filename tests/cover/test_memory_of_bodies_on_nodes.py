"""Bodies of requests beyond the memory of a real node."""

import json
import socket
import time

from foxtailrelay_standins import local
import httpcore

_SETTINGS = {'limits': {'memory_bytes': 128 << 20}}
_STATEMENTS = """
    CREATE SERVICE clips WITH (kind = plain);
    CREATE ORGANISATION workshop WITH (token = 'workshop.walk-in');
    CREATE ORGANISATION guest WITH (token = 'guest.walk-in');
    GRANT CALL ON SERVICE clips TO ORGANISATION workshop;
    GRANT CALL ON SERVICE clips TO ORGANISATION guest;
"""
_BODY = b'x' * 1_000_000
_PATH = '/services/clips/a'
_HELD = b'foxtailrelay_held_bytes{purpose="requests"} '
_NOTHING = b'0.0'
_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.05


def _post(url, path, token, body):
    return httpcore.request(
        'POST',
        url + path,
        headers={'Authorization': f'Bearer {token}'},
        content=body,
    )


def _wait_for_held_bytes(url, is_held):
    deadline_s = time.monotonic() + _TIMEOUT_S
    while True:
        text = httpcore.request('GET', url + '/metrics').content
        held = text.split(_HELD)[1].split(b'\n')[0]
        if (held != _NOTHING) == is_held:
            return
        assert time.monotonic() < deadline_s
        time.sleep(_POLL_INTERVAL_S)


def test_body_without_room_is_refused_as_not_run_and_others_have_room(
    tmp_path,
):
    """Guards against bodies that together exceed the memory of a node."""
    with local.LocalCluster(tmp_path, _SETTINGS) as cluster:
        cluster.start_standin('log', 'log')
        cluster.start_standin('cloud', 'cloud')
        cluster.add_node('entry-1', 'a')
        cluster.start_nodes()
        node = cluster.node_by_name['entry-1']
        statements = json.dumps({'text': _STATEMENTS}).encode()
        _post(
            node.url,
            '/operator/statements',
            local.OPERATOR_TOKEN,
            statements,
        )
        with socket.create_connection((local.HOST, node.caller_port)) as slow:
            slow.sendall(
                f'POST {_PATH} HTTP/1.1\r\nHost: a\r\n'
                'Authorization: Bearer guest.walk-in\r\n'
                f'Content-Length: {len(_BODY)}\r\n\r\n'.encode()
            )
            _wait_for_held_bytes(node.url, True)
            refused = _post(node.url, _PATH, 'guest.walk-in', _BODY)
            document = json.loads(refused.content)
            assert (refused.status, document['kind']) == (503, 'overloaded')
            assert document['outcome'] == 'not-run'
            assert dict(refused.headers)[b'retry-after'] == b'2'
            other = _post(node.url, _PATH, 'workshop.walk-in', _BODY)
            assert json.loads(other.content)['kind'] == 'no-backend'
        _wait_for_held_bytes(node.url, False)
