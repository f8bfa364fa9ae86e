"""Clients that exceed the limits, against a foxtailrelayd with low limits."""

import json
import resource

from foxtailrelay_standins import local
import httpcore
import pytest
import trio

from common import excessive_clients
from common import scripted_server

_MEMORY_BYTES = 150_000_000
_STATEMENTS = """
    CREATE SERVICE clips WITH (kind = plain);
    CREATE ORGANISATION guest WITH (token = 'guest.walk-in');
    CREATE ORGANISATION workshop WITH (token = 'workshop.walk-in');
    GRANT CALL ON SERVICE clips TO ORGANISATION guest;
    GRANT CALL ON SERVICE clips TO ORGANISATION workshop;
    CREATE BACKEND clips-1 WITH (service = clips, host = '127.0.0.1',
        port = {port}, zone = a);
"""
_PATH = '/services/clips/a'
HEAD = (
    f'POST {_PATH} HTTP/1.1\r\nHost: a\r\n'
    'Authorization: Bearer guest.walk-in\r\n'
).encode()
# A node has about 20.
_DESCRIPTOR_LIMIT = 128
_MAX_DESCRIPTORS = 120
_SILENT_COUNT = 150
_CALL_S = 30.0


def _serve_sound(connection, request):
    connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone')


async def _call(url):
    with trio.move_on_after(_CALL_S):
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    'POST',
                    url + _PATH,
                    headers={'Authorization': 'Bearer workshop.walk-in'},
                    content=b'small',
                )
                return response.status
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return None
    return None


def _configure(url, port):
    response = httpcore.request(
        'POST',
        url + '/operator/statements',
        headers={'Authorization': f'Bearer {local.OPERATOR_TOKEN}'},
        content=json.dumps({'text': _STATEMENTS.format(port=port)}).encode(),
    )
    results = json.loads(response.content)['results']
    assert all(r['kind'] == 'done' for r in results), results


def play_against_node(
    tmp_path,
    traffic,
    count,
    first_request=b'',
    memory_bytes=_MEMORY_BYTES,
    descriptors=_DESCRIPTOR_LIMIT,
    max_descriptors=_MAX_DESCRIPTORS,
):
    """Run a crowd against a node with its memory and descriptor limits."""
    settings = {'limits': {'memory_bytes': memory_bytes}}
    with (
        local.LocalCluster(tmp_path, settings) as cluster,
        scripted_server.ScriptedServer(_serve_sound) as sound,
    ):
        cluster.start_standin('log', 'log')
        cluster.start_standin('cloud', 'cloud')
        cluster.add_node('entry-1', 'a')
        cluster.start_nodes()
        node = cluster.node_by_name['entry-1']
        process = cluster.process_by_name['entry-1']
        _configure(node.url, sound.port)
        resource.prlimit(
            process.pid,
            resource.RLIMIT_NOFILE,
            (descriptors, descriptors),
        )
        usage = excessive_clients.Usage(process.pid)
        crowd = excessive_clients.Crowd(
            (local.HOST, node.caller_port), HEAD, traffic, count, first_request
        )

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(usage.sample)
                await crowd.play(lambda: _call(node.url))
                nursery.cancel_scope.cancel()

        try:
            trio.run(main)
        finally:
            print(usage)
        assert process.exit_status is None
        assert usage.peak_bytes() < memory_bytes
        assert usage.descriptors < max_descriptors


@pytest.mark.parametrize('name', excessive_clients.TRAFFIC_BY_NAME)
def test_clients_that_exceed_the_limits_do_not_harm_a_node(name, tmp_path):
    """Guards against a node that runs out of memory, or serves nobody."""
    play_against_node(
        tmp_path,
        excessive_clients.TRAFFIC_BY_NAME[name],
        excessive_clients.CLIENT_COUNT,
    )


def test_silent_connections_do_not_take_all_descriptors(tmp_path):
    """Guards against a node that can open no connection to a server."""
    play_against_node(tmp_path, excessive_clients.SILENT, _SILENT_COUNT)
