"""Crowds of clients whose bodies stop just before their end."""

import contextlib
import resource

import pytest

from common import excessive_clients
from cover import test_excessive_clients_of_foxtailrelayd as crowds

_STOPPING = excessive_clients.STOPPING_BY_NAME
_TRAFFIC = excessive_clients.TRAFFIC_BY_NAME
_FIRST_REQUEST = crowds.HEAD + b'Content-Length: 5\r\n\r\nsmall'
_MANY = 900
_MANY_BY_NAME = {
    'announced': _TRAFFIC['announced'],
    'heads': _TRAFFIC['heads'],
    'a length': _STOPPING['a length'],
    'the last chunk': _STOPPING['the last chunk'],
    'one-byte chunks': _STOPPING['one-byte chunks'],
}


@contextlib.contextmanager
def _more_descriptors(count):
    """Let this process open connections for a crowd."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    more = max(soft, count if hard < 0 else min(count, hard))
    resource.setrlimit(resource.RLIMIT_NOFILE, (more, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.mark.parametrize('name', _STOPPING)
@pytest.mark.parametrize('first_request', [b'', _FIRST_REQUEST])
def test_bodies_that_stop_short_do_not_harm_a_node(
    name, first_request, tmp_path
):
    """Guards against memory that is held for callers that have stopped."""
    crowds.play_against_node(
        tmp_path,
        _STOPPING[name],
        excessive_clients.CLIENT_COUNT,
        first_request,
    )


@pytest.mark.parametrize('name', _MANY_BY_NAME)
def test_many_connections_stay_within_the_memory_of_a_node(name, tmp_path):
    """Guards against bytes that each connection has beside the budget."""
    with _more_descriptors(4 * _MANY):
        crowds.play_against_node(
            tmp_path,
            _MANY_BY_NAME[name],
            _MANY,
            memory_bytes=150_000_000,
            descriptors=1638,
            max_descriptors=1630,
        )
