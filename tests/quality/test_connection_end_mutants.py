"""Tests detect that the end of a connection is judged by half of it."""

from foxtailrelay_node.internal.relay.http import connection_end
from foxtailrelay_node.internal.relay.http import sockets
import pytest

from cover.relay import test_tunnel_ends as ends


def _constant(value):
    return property(lambda _: value, lambda *_: None)


def _always(value):
    return lambda *_: value


_TRACKER = connection_end.EndTracker
_MUTANTS = {
    'a reset that a send has seen is forgotten': (
        (_TRACKER, '_is_reset', _constant(False)),
        lambda: (
            ends.test_reset_that_only_sending_sees_does_not_look_like_an_end(
                True
            )
        ),
    ),
    'a send that may have seen a reset is not awaited': (
        (sockets, 'is_disconnected', _always(False)),
        ends.test_end_is_judged_after_a_send_that_has_taken_the_error,
    ),
    'each send is awaited': (
        (sockets, 'is_disconnected', _always(True)),
        ends.test_send_that_goes_on_does_not_delay_an_orderly_end,
    ),
    'a reset after an orderly end breaks it': (
        (_TRACKER, '_is_reset', _constant(True)),
        ends.test_later_data_that_meets_a_reset_does_not_break_an_orderly_end,
    ),
    'a server is taken to have received everything': (
        (_TRACKER, 'received_bytes', _constant(2**62)),
        lambda: ends.test_server_that_closes_early_is_detected_over_a_peer(
            False, 200
        ),
    ),
}


@pytest.mark.parametrize('name', _MUTANTS)
def test_check_fails_on_mutant(name, monkeypatch):
    (owner, attribute, value), check = _MUTANTS[name]
    monkeypatch.setattr(owner, attribute, value, raising=False)
    with pytest.raises(BaseException):
        check()
