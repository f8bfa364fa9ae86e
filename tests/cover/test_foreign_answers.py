"""Answers of another server at an address that a node polls."""

import json
import time

from foxtailrelay_standins import local
import httpcore
import pytest
import trio

from common import scripted_server
from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_cloud_client
from foxtailrelay_node.internal.clients import http_engine_client
from foxtailrelay_node.internal.clients import http_log_client
from foxtailrelay_node.internal.clients import log_outcomes
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes

_FOREIGN_BODIES = [
    b'welcome',
    b'[]',
    b'{}',
    b'{"offset": "1", "records": 1, "first_offset": 0, "next_offset": 0}',
    b'{"records": ["?"], "first_offset": 0, "next_offset": 1}',
    b'{"vms": {}, "notices": 1, "events": 1}',
    b'{"vms": [1], "notices": [1], "events": [1]}',
    b'{"queued_tokens": 0, "running": 0, "slots": 0, "time_s": 0}',
]
_STATEMENTS = """
    CREATE SERVICE assistant WITH (kind = model);
    CREATE BACKEND engine-1 WITH (service = assistant, host = '127.0.0.1',
        port = {port}, zone = a);
"""
_POLL_INTERVAL_S = 0.05
_MAX_POLLS = 200


def _write(connection, body):
    connection.sendall(
        b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body
    )


@pytest.mark.parametrize('body', _FOREIGN_BODIES)
def test_foreign_answer_is_no_answer_of_the_platform_or_an_engine(body):
    async def call_all(port):
        http = http_client.HttpClient(
            1.0,
            1 << 20,
            memory_budget.MemoryBudget(1 << 24),
            purposes.Purpose.ANSWER,
        )
        url = f'http://127.0.0.1:{port}'
        log = http_log_client.HttpLogClient(http, url, 2.0)
        cloud = http_cloud_client.HttpCloudClient(http, url, 2.0)
        engines = http_engine_client.HttpEngineClient(
            1.0, 1.0, memory_budget.MemoryBudget(1 << 24)
        )
        engine = backend_client.BackendAddress('e', '127.0.0.1', port)
        appended = await log.append('s', b'x')
        assert isinstance(appended, log_outcomes.AppendUnconfirmed)
        read = await log.read('s', 0, 0)
        assert isinstance(read, log_outcomes.ReadFailed) or not read.records
        assert await cloud.list_vms() is None
        assert await cloud.read_notices(0, 0) is None
        assert await engines.read_load(engine) is None
        assert await engines.read_cache_events(engine, 0) is None

    with scripted_server.ScriptedServer(
        lambda connection, _: _write(connection, body)
    ) as server:
        trio.run(call_all, server.port)


def test_node_lives_on_with_another_server_at_the_address_of_an_engine(
    tmp_path,
):
    with (
        scripted_server.ScriptedServer(
            lambda connection, _: _write(connection, b'{}')
        ) as server,
        local.LocalCluster(tmp_path) as cluster,
    ):
        cluster.start_standin('log', 'log')
        cluster.start_standin('cloud', 'cloud')
        cluster.add_node('entry-1', 'a')
        cluster.start_nodes()
        url = cluster.node_by_name['entry-1'].url
        text = _STATEMENTS.format(port=server.port)
        httpcore.request(
            'POST',
            url + '/operator/statements',
            headers={'Authorization': f'Bearer {local.OPERATOR_TOKEN}'},
            content=json.dumps({'text': text}).encode(),
        )
        for _ in range(_MAX_POLLS):
            if len(server.requests) >= 4:
                break
            assert cluster.process_by_name['entry-1'].exit_status is None
            time.sleep(_POLL_INTERVAL_S)
        assert len(server.requests) >= 4
        assert httpcore.request('GET', url + '/readyz').status == 200
