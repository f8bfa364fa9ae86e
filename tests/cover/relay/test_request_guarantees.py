"""Guarantees for one request, as seen by callers and backend servers."""

from foxtailrelay_node.internal.relay.catalogue import organisation
import trio

from common import relay_rig


@relay_rig.with_rig
async def test_answer_is_forwarded_whole_and_unchanged(rig):
    rig.add_server(
        'plain',
        1,
        relay_rig.scripted_backend(relay_rig.success_response(b'body')),
    )
    caller = rig.connect()
    await caller.send('/once/x')
    data = await caller.receive()
    assert relay_rig.status_code(data) == 200
    assert b'response-seal: s' in data.lower()
    assert data.endswith(b'\r\n\r\nbody')


@relay_rig.with_rig
async def test_non_idempotent_request_is_never_sent_twice(rig):
    requests = []
    for index in (1, 2):
        rig.add_server(
            'plain', index, relay_rig.scripted_backend(requests=requests)
        )
    caller = rig.connect()
    await caller.send('/once/x')
    data = await caller.receive()
    assert relay_rig.status_code(data) == 502
    assert len(requests) == 1


@relay_rig.with_rig
async def test_idempotent_request_is_retried_on_another_server(rig):
    requests = []
    for index in (1, 2):
        answers = (relay_rig.FAILED_RESPONSE,)
        rig.add_server(
            'plain',
            index,
            relay_rig.scripted_backend(*answers, requests=requests),
        )
    caller = rig.connect()
    await caller.send('/any/x', method='GET')
    data = await caller.receive()
    assert relay_rig.status_code(data) == 500
    assert b'response-seal' in data.lower()
    assert len(requests) == 2


@relay_rig.with_rig
async def test_refusal_by_the_server_is_reported_as_not_run(rig):
    rig.quota = rig.relay._quota
    rig.add_server(
        'plain', 1, relay_rig.scripted_backend(relay_rig.NOT_RUN_RESPONSE)
    )
    caller = rig.connect()
    await caller.send('/once/x')
    data = await caller.receive()
    assert relay_rig.status_code(data) == 503
    assert b'retry-after' in data.lower()
    assert b'response-seal' not in data.lower()


@relay_rig.with_rig
async def test_request_that_may_have_run_is_never_reported_as_not_run(rig):
    requests = []

    async def either(stream):
        requests.append(await relay_rig.read_request(stream))
        if len(requests) == 2:
            await stream.send_all(relay_rig.NOT_RUN_RESPONSE)
        await stream.aclose()

    for index in (1, 2):
        rig.add_server('plain', index, either)
    caller = rig.connect()
    await caller.send('/any/x', method='GET')
    assert relay_rig.status_code(await caller.receive()) == 502
    assert len(requests) == 2


@relay_rig.with_rig
async def test_answer_to_another_request_is_not_forwarded(rig):
    rig.add_server(
        'plain',
        1,
        relay_rig.scripted_backend(
            relay_rig.success_response(request_id='other')
        ),
    )
    caller = rig.connect()
    await caller.send('/once/x')
    assert relay_rig.status_code(await caller.receive()) == 502


@relay_rig.with_rig
async def test_unsigned_success_is_not_forwarded(rig):
    unsigned = relay_rig.success_response().replace(
        b'Response-Seal: s\r\n', b''
    )
    rig.add_server('plain', 1, relay_rig.scripted_backend(unsigned))
    caller = rig.connect()
    await caller.send('/once/x')
    assert relay_rig.status_code(await caller.receive()) == 502


@relay_rig.with_rig
async def test_malformed_answer_is_not_forwarded(rig):
    rig.add_server(
        'plain', 1, relay_rig.scripted_backend(b'\x00\x01 rubbish\r\n\r\n')
    )
    caller = rig.connect()
    await caller.send('/once/x')
    assert relay_rig.status_code(await caller.receive()) == 502


@relay_rig.with_rig
async def test_truncated_answer_is_not_forwarded(rig):
    async def truncate(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(relay_rig.success_response(b'whole body')[:-4])
        await stream.aclose()

    rig.add_server('plain', 1, truncate)
    caller = rig.connect()
    await caller.send('/once/x')
    assert relay_rig.status_code(await caller.receive()) == 502


@relay_rig.with_rig
async def test_connection_with_extra_bytes_is_not_reused(rig):
    requests = []
    late = relay_rig.success_response(b'late', request_id='r0')
    rig.add_server(
        'plain',
        1,
        relay_rig.scripted_backend(
            relay_rig.success_response() + late, requests=requests
        ),
    )
    caller = rig.connect()
    await caller.send('/any/x', method='GET')
    assert (await caller.receive()).endswith(b'fine')
    await caller.send('/any/x', method='GET', request_id='r2')
    await caller.receive()
    assert rig.dialer.connected_hosts == ['10.0.0.1', '10.0.0.1']


@relay_rig.with_rig
async def test_request_fails_at_the_timeout_of_its_route(rig):
    async def unresponsive(stream):
        await relay_rig.read_request(stream)
        await trio.sleep_forever()

    rig.add_server('plain', 1, unresponsive)
    caller = rig.connect()
    await caller.send('/once/x', 'Deadline-Ms: 60000')
    data = await caller.receive()
    assert relay_rig.status_code(data) == 504
    assert 4.0 <= trio.current_time() < 4.5


@relay_rig.with_rig
async def test_suspended_time_counts_against_the_deadline(rig):
    async def unresponsive(stream):
        await relay_rig.read_request(stream)
        await trio.sleep_forever()

    rig.add_server('plain', 1, unresponsive)
    caller = rig.connect()
    await caller.send('/once/x')
    await trio.sleep(1)
    rig.clock.suspended_s = 10.0
    data = await caller.receive()
    assert relay_rig.status_code(data) == 504
    assert trio.current_time() < 1.5


@relay_rig.with_rig
async def test_relay_sets_its_own_headers_and_does_not_forward_the_key(rig):
    requests = []
    rig.add_server(
        'plain',
        1,
        relay_rig.scripted_backend(
            relay_rig.success_response(), requests=requests
        ),
    )
    caller = rig.connect()
    await caller.send(
        '/once/x?q=1',
        'Tenant: somebody',
        'Expect-Instance: other',
        'Hold: h',
        'Pin-Ms: 5',
        'Kv-From: 1.2.3.4:5/x',
        'Deadline-Ms: 1500',
        'X-Own: kept',
        'Connection: X-Hop',
        'X-Hop: dropped',
    )
    await caller.receive()
    head = requests[0].lower()
    assert head.startswith(b'post /once/x?q=1 http/1.1')
    assert b'tenant: org\r\n' in head
    assert b'expect-instance: s1\r\n' in head
    assert b'x-own: kept' in head
    for absent in (b'k1', b'somebody', b'x-hop', b'hold:', b'pin-ms', b'kv-'):
        assert absent not in head
    left_ms = int(head.partition(b'deadline-ms: ')[2].split(b'\r\n')[0])
    assert 1000 < left_ms <= 1500


@relay_rig.with_rig
async def test_unknown_key_gets_401_only_while_configuration_is_recent(rig):
    caller = rig.connect()
    await caller.send('/once/x')
    await caller.receive()
    rig.confirm_configuration(
        relay_rig.encode_configuration(version=8, tenants=[])
    )
    await caller.send('/once/x')
    assert relay_rig.status_code(await caller.receive()) == 401
    await trio.sleep(2.0)
    await caller.send('/once/x')
    assert relay_rig.status_code(await caller.receive()) == 503


@relay_rig.with_rig
async def test_unknown_route_gets_404_only_while_configuration_is_recent(rig):
    caller = rig.connect()
    await caller.send('/none/x')
    assert relay_rig.status_code(await caller.receive()) == 404
    await trio.sleep(2.0)
    await caller.send('/none/x')
    assert relay_rig.status_code(await caller.receive()) == 503


@relay_rig.with_rig
async def test_no_key_is_accepted_while_configuration_is_stale(rig):
    requests = []
    rig.add_server(
        'plain',
        1,
        relay_rig.scripted_backend(
            relay_rig.success_response(), requests=requests
        ),
    )
    await trio.sleep(relay_rig.KEY_VALIDITY_S)
    caller = rig.connect()
    await caller.send('/once/x')
    assert relay_rig.status_code(await caller.receive()) == 503
    assert not requests


@relay_rig.with_rig
async def test_key_revoked_while_connecting_fails_the_request(rig):
    requests = []
    inner = relay_rig.scripted_backend(
        relay_rig.success_response(), requests=requests
    )
    rig.add_server('plain', 1, inner)
    connect = rig.dialer.connect

    async def slow_connect(host, port):
        rig.confirm_configuration(
            relay_rig.encode_configuration(version=9, tenants=[])
        )
        return await connect(host, port)

    rig.dialer.connect = slow_connect
    caller = rig.connect()
    await caller.send('/once/x')
    assert relay_rig.status_code(await caller.receive()) == 401
    assert not requests


@relay_rig.with_rig
async def test_request_that_may_have_run_is_not_refused_for_its_key(rig):
    """Guards against a promise that a request has not run after it has."""

    async def revoke_and_end(stream):
        await stream.receive_some(65536)
        rig.confirm_configuration(
            relay_rig.encode_configuration(version=9, tenants=[])
        )
        await stream.aclose()

    rig.add_server('plain', 1, revoke_and_end)
    rig.add_server('plain', 2, revoke_and_end)
    caller = rig.connect()
    await caller.send('/any/x')
    assert relay_rig.status_code(await caller.receive()) == 502


@relay_rig.with_rig
async def test_server_that_drains_while_connecting_gets_no_request(rig):
    requests = []
    rig.add_server(
        'plain',
        1,
        relay_rig.scripted_backend(
            relay_rig.success_response(), requests=requests
        ),
    )
    connect = rig.dialer.connect

    async def slow_connect(host, port):
        serve = rig.dialer.backend_by_host[host]
        rig.add_server('plain', 1, serve, state='draining')
        return await connect(host, port)

    rig.dialer.connect = slow_connect
    caller = rig.connect()
    await caller.send('/once/x')
    assert relay_rig.status_code(await caller.receive()) == 503
    assert not requests


@relay_rig.with_rig
async def test_refused_request_is_not_counted_against_the_limit(rig):
    limited = [
        {
            'name': 'org',
            'api-keys': ['k1'],
            'rate-per-s': 0.125,
            'burst': 2,
        }
    ]
    rig.confirm_configuration(
        relay_rig.encode_configuration(version=8, tenants=limited)
    )
    rig.add_server(
        'plain',
        1,
        relay_rig.scripted_backend(
            *[relay_rig.NOT_RUN_RESPONSE] * 5,
            *[relay_rig.success_response()] * 5,
        ),
    )
    statuses = []
    for _ in range(10):
        caller = rig.connect()
        await caller.send('/once/x')
        statuses.append(relay_rig.status_code(await caller.receive()))
        await trio.sleep(0)
    customer = organisation.Organisation('org', None, False, 0, 0.125, 2.0)
    assert statuses[:5] == [503] * 5
    assert statuses[5:7] == [200, 200]
    assert statuses[-1] == 429
    assert rig.quota.request_units(customer, None) == 1


@relay_rig.with_rig
async def test_request_with_two_lengths_is_refused(rig):
    caller = rig.connect()
    await caller.stream.send_all(
        b'POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n'
        b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\nPOST /once/y HTTP/1.1\r\n\r\n'
    )
    data = await caller.receive_all()
    assert relay_rig.status_code(data) == 400
    assert data.count(b'HTTP/1.1') == 1


@relay_rig.with_rig
async def test_duplicate_header_is_refused(rig):
    caller = rig.connect()
    await caller.send('/once/x', 'Request-Id: r2')
    assert relay_rig.status_code(await caller.receive()) == 400


@relay_rig.with_rig
async def test_oversized_body_is_refused_by_its_content_length(rig):
    caller = rig.connect()
    await caller.stream.send_all(
        b'POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n'
        b'Content-Length: 99999999\r\n\r\n'
    )
    data = await caller.receive_all()
    assert relay_rig.status_code(data) == 413


@relay_rig.with_rig
async def test_slow_header_is_refused_at_the_header_timeout(rig):
    caller = rig.connect()
    await caller.stream.send_all(b'POST /once/x HTTP/1.1\r\nHos')
    data = await caller.receive_all()
    assert relay_rig.status_code(data) == 408
    assert trio.current_time() <= 7.0


@relay_rig.with_rig
async def test_server_may_answer_before_it_has_read_a_long_body(rig):
    async def refuse_early(stream):
        await relay_rig.read_request(stream)
        await stream.send_all(relay_rig.NOT_RUN_RESPONSE)

    rig.add_server('plain', 1, refuse_early)
    caller = rig.connect()
    await caller.send('/once/x', body=b'x' * 200_000)
    assert relay_rig.status_code(await caller.receive()) == 503


@relay_rig.with_rig
async def test_usage_counts_a_request_that_began_to_run(rig):
    rig.add_server(
        'plain', 1, relay_rig.scripted_backend(relay_rig.success_response())
    )
    caller = rig.connect()
    await caller.send('/once/x')
    await caller.receive()
    assert [u.count for u in rig.usage.build_usages()] == [1]


@relay_rig.with_rig
async def test_node_about_to_exit_refuses_new_requests(rig):
    rig.add_server(
        'plain', 1, relay_rig.scripted_backend(relay_rig.success_response())
    )
    rig.begin_stop(after_s=4.0)
    caller = rig.connect()
    await caller.send('/once/x')
    data = await caller.receive_all()
    assert relay_rig.status_code(data) == 503
    assert b'connection: close' in data.lower()


@relay_rig.with_rig
async def test_unresponsive_server_is_avoided(rig):
    async def unresponsive(stream):
        await relay_rig.read_request(stream)
        await trio.sleep_forever()

    rig.add_server('plain', 1, unresponsive)
    caller = rig.connect()
    await caller.send('/once/x')
    assert relay_rig.status_code(await caller.receive()) == 504
    (server,) = rig.servers.usable('plain')
    assert rig.loads.view(server).is_avoided
