"""The emulator reads a sheet, refuses bad input and finds broken rules."""

import collections

from emulator import __main__ as command
from emulator import rule_checks
from emulator import sheet as sheets
from emulator import sheet_process
from emulator import troubles
import pytest
from soak import answer_reader
from soak import request_record
from standin import server_settings
import trio

_SHEET = """
name = "small"
machines = [{ count = 4 }, { count = 6 }]
traffic = [
  { per_s = 30.0, mix = { chat = 1.0, order = 2.0 } },
  { per_s = 10.0, mix = { chat = 1.0 } },
]
troubles = [
  { kind = "garble", how = "extra late", x = 0.5, for_s = 2.0 },
  { kind = "garble", how = "", x = 0.1 },
  { kind = "srv_crash", service = "lm", how = "dark odd" },
  { kind = "meteor", x = 3.0 },
]
[[services]]
name = "lm"
servers = [{ count = 3 }, { count = 5 }]
slots = 8
llm = { step_ms = 4.0, stride = 5, first_ms = 12.0, kv_tokens = 9 }
[[services]]
name = "api"
servers = [{ count = 1 }]
slots = 2
[[classes]]
name = "chat"
kind = "stream"
service = "lm"
deadline_ms = 9000
stream = { pieces = { mean = 9.0, max = 12 }, resume = true }
[[classes]]
name = "order"
kind = "unsafe"
service = "api"
deadline_ms = 900
"""


def _read(folder, text=_SHEET, share=0.5):
    path = folder / 'site.toml'
    path.write_text(text)
    return sheets.read(path, share)


def test_a_sheet_is_scaled_by_its_share(tmp_path):
    sheet = _read(tmp_path)
    assert sheet.node_count == 5
    assert [s.server_count for s in sheet.services] == [4, 2]
    assert sheet.services[0].piece_gap_s == pytest.approx(0.02)
    assert [c.path for c in sheet.classes] == ['resume', 'once']
    rates = {'chat': (10.0 + 10.0) / 2, 'order': 20.0 / 2}
    assert sheet.rate_by_class == pytest.approx(rates)


@pytest.mark.parametrize(
    ('old', 'new', 'reason'),
    [
        ('name = "small"', 'name =', 'is not TOML'),
        ('machines', 'engines', "'machines' is missing"),
        ('"unsafe"', '"sideways"', "order has kind 'sideways'"),
        ('service = "api"', 'service = "no"', "'no'"),
        ('order = 2.0', 'sale = 2.0', "class 'sale'"),
        ('count = 4', 'count = "x"', 'is no sheet'),
    ],
)
def test_a_sheet_that_cannot_be_played_is_refused(tmp_path, old, new, reason):
    with pytest.raises(sheets.SheetError, match=reason):
        _read(tmp_path, _SHEET.replace(old, new, 1))


@pytest.mark.parametrize(
    ('arguments', 'reason'),
    [
        (['--site', 'nowhere.toml'], 'nowhere.toml cannot be read'),
        (['--site', 'site.toml', '--share', '2'], 'share is 2'),
        (['--site', 'site.toml', '--framing', 'odd'], "framing is 'odd'"),
        (
            ['--site', 'site.toml', '--troubles', 'x'],
            "the sheet has no trouble 'x'",
        ),
    ],
)
def test_bad_arguments_end_with_an_error(
    tmp_path, monkeypatch, capsys, arguments, reason
):
    monkeypatch.chdir(tmp_path)
    (tmp_path / 'site.toml').write_text(_SHEET)
    assert command.main(arguments) == 2
    assert capsys.readouterr().err.startswith(f'emulator: {reason}')


def test_what_is_not_played_is_named(tmp_path):
    sheet = _read(tmp_path)
    selection = troubles.select(sheet.troubles, 'all', False)
    assert [t.kind for t in selection.not_played] == ['meteor']
    assert selection.unknown_words == {'srv_crash dark odd': ('odd',)}
    assert len(selection.plays) == 3
    assert len(troubles.select(sheet.troubles, 'all', True).plays) == 3
    (play,) = troubles.select(sheet.troubles, 'garble extra late', False).plays
    assert play[0].x == 0.5
    raised = troubles.raise_shares(sheet.troubles, 4.0)
    assert [t.x for t in raised] == [1.0, 0.4, None, 3.0]


@pytest.mark.parametrize('word', ['rebalance', 'rewind'])
def test_words_about_groups_of_the_store_are_named(word):
    """Guards against plays that claim to deal partitions anew."""
    trouble = sheets.Trouble('platform_compact', (word,))
    selection = troubles.select([trouble], 'all', False)
    assert selection.unknown_words == {trouble.title: (word,)}


def _record(status, path='once'):
    answer = answer_reader.Answer(status, [], answer_reader.Framing.LENGTH)
    return request_record.RequestRecord('r', path, 'k1', 0.0, answer=answer)


@pytest.mark.parametrize(
    ('record', 'run_count', 'rules'),
    [
        (_record(200), 1, []),
        (_record(503), 0, []),
        (_record(200), 2, [rule_checks.TWICE]),
        (_record(503), 1, [rule_checks.REFUSED]),
        (_record(200, 'resume'), 2, []),
    ],
)
def test_requests_that_run_wrongly_are_found(record, run_count, rules):
    runs = collections.Counter({'r': run_count})
    found = rule_checks.check_runs([record], runs)
    assert [violation.rule for violation in found] == rules


_STREAM = (
    b'POST /chat/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n'
    b'Token-Counts: 1,1\r\nEvent-Count: 900\r\nEvent-Bytes: 9\r\n'
    b'Content-Length: 0\r\n\r\n'
)


def test_events_sent_before_a_kill_are_recorded(tmp_path):
    settings = server_settings.Settings(
        'lm-0-1', 'v1', 1, 5, '127.0.0.1', 0, 8, 0, 1.0, 0.0, 0.01
    )
    received = b''

    async def read_and_kill():
        nonlocal received
        process = sheet_process.SheetProcess('lm', settings, tmp_path)
        try:
            await process.wait_until_started()
            host, _, port = process.address.rpartition(':')
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(_STREAM)
            while received.count(b'id: ') < 3:
                received += await stream.receive_some()
        finally:
            process.kill()
        return process

    process = trio.run(read_and_kill)
    stand_in = process.read_record().stand_in
    assert stand_in.run_ids == ['r1']
    (run,) = stand_in.stream_runs
    assert run.numbers[:3] == [1, 2, 3]
    assert len(run.numbers) >= received.count(b'id: ')


def test_a_mute_server_begins_no_request_and_answers_health_checks(tmp_path):
    settings = server_settings.Settings(
        'lm-0-1', 'v1', 1, 5, '127.0.0.1', 0, 8, 0, 1.0, 0.0, 0.01
    )

    async def ask(address, request):
        host, _, port = address.rpartition(':')
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(request)
        with trio.move_on_after(1.0):
            return await stream.receive_some()
        return b''

    async def main():
        process = sheet_process.SheetProcess('lm', settings, tmp_path)
        try:
            await process.wait_until_started()
            process.add_fault('mute', 1.0)
            await trio.sleep(0.2)
            health = b'GET /health HTTP/1.1\r\nHost: h\r\n\r\n'
            answers = [
                await ask(process.address, _STREAM),
                await ask(process.address, health),
            ]
        finally:
            process.kill()
        return answers, process.read_record().stand_in

    (answer, health), stand_in = trio.run(main)
    assert answer == b''
    assert health.startswith(b'HTTP/1.1 200')
    assert (stand_in.run_ids, stand_in.fault_count) == ([], 1)
