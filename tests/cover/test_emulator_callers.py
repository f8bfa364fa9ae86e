"""Troubles of callers change what callers send, and to which nodes."""

import collections
import random
import types

from emulator import caller_troubles
from emulator import sheet as sheets
from emulator import sheet_callers
from emulator import trouble_player
import pytest
import trio
from trio import testing

_HOSTS = ['n1', 'n2', 'n3', 'n4']
_CHAT = sheets.RequestClass(
    'chat', 'stream', 'lm', 'POST', 4000, 9000, 1, 1, False,
    *(sheets.Spread(9.0) for _ in range(5)),
)  # fmt: skip


class _RefusedCallers(sheet_callers.SheetCallers):
    """Sends nothing; each request fails without an answer."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.sent = []

    async def _exchange(self, entry, record):
        text = self._encode(entry, record).decode()
        self.sent.append((trio.current_time(), record, text))
        return False


def _play(kind, **fields):
    """Return what callers sent in 40 s of a trouble."""
    sheet = sheets.Sheet('s', 4, (), (_CHAT,), {'chat': 10.0}, ())
    cluster = types.SimpleNamespace(
        sheet=sheet, hosts=_HOSTS, runs_production=lambda host: False
    )
    rng = random.Random(3)
    callers = _RefusedCallers(cluster, rng, 'r')
    stage = trouble_player.Stage(cluster, callers, rng, [], 0.0)
    trouble = sheets.Trouble(kind, for_s=40.0, **fields)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.run)
            acts = caller_troubles.CallerTroubles(stage).act_by_kind()
            await acts[kind](trouble)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=testing.MockClock(autojump_threshold=0))
    return callers.sent


def test_a_share_of_a_class_has_one_body_and_one_prompt():
    sent = _play('hot_key', share=0.4, request_class='chat')
    bodies = collections.Counter(r.request_body for _, r, _ in sent)
    _, count = bodies.most_common(1)[0]
    assert count / len(sent) == pytest.approx(0.4, abs=0.06)
    prompts = {
        text.partition('Prompt-Prefix: ')[2]
        for _, record, text in sent
        if bodies[record.request_body] > 1
    }
    assert len(prompts) == 1


@pytest.mark.parametrize(('rank', 'key'), [(1, 'k1'), (2, 'k2')])
def test_one_tenant_sends_more_and_the_others_what_they_did(rank, key):
    sent = _play('hot_tenant', count=rank, x=4.0)
    counts = collections.Counter(record.key for _, record, _ in sent)
    for name in ('k1', 'k2'):
        factor = 4.0 if name == key else 1.0
        # Each request is sent once more, as the class says.
        rate = {'k1': 15.0, 'k2': 5.0}[name] * factor
        assert counts[name] / 40 == pytest.approx(rate, rel=0.15)


def test_callers_that_abuse_retries_repeat_at_once():
    usual = _play('hot_tenant', x=1.0)
    sent = _play('retry_abuse', share=0.5, x=6.0)
    assert len(sent) / len(usual) == pytest.approx((2 + 8) / 2 / 2, rel=0.15)
    times = [at_s for at_s, _, _ in sent]
    assert max(collections.Counter(times).values()) == 8


def test_callers_leave_half_of_the_nodes_and_come_to_the_others():
    sent = _play('shift', share=0.8)
    counts = collections.Counter(record.host for _, record, _ in sent)
    shares = sorted(counts[host] / len(sent) for host in _HOSTS)
    assert shares == pytest.approx([0.05, 0.05, 0.45, 0.45], abs=0.05)
