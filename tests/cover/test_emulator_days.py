"""The emulator reads days, and plays their entries at their times."""

import random
from unittest import mock

from emulator import __main__ as command
from emulator import day as days
from emulator import day_player
from emulator import framing as framings
from emulator import sheet as sheets
from emulator import trouble_player
from emulator import troubles
import pytest
import trio
import trio.testing

_SHEET = """
name = "small"
length_s = 9.0
machines = [{ count = 10 }]
zones = [{ name = "north" }]
traffic = [{ per_s = 30.0, mix = { chat = 1.0 } }]
troubles = []
services = [{ name = "lm", servers = [{ count = 3 }], slots = 8 }]
[[classes]]
name = "chat"
kind = "stream"
service = "lm"
deadline_ms = 9000
stream = { resume = true }
[[day]]
name = "busy"
plan = [{ at = 5.0, kind = "hup" }]
faults = [
  { at = 1.5, kind = "srv_crash", service = "@s0", how = "dark odd" },
  { at = 1, kind = "core_cut", count = 2, for_s = 5.0, zone = "@z0" },
  { at = 9.5, kind = "hup" },
  { at = 2.0, kind = "meteor" },
]
traffic = [{ per_s = 12.0, mix = { "@c0" = 2.0 } }]
closing = { kind = "power_off_all", down_s = 0.5, how = "all" }
"""


@pytest.fixture(autouse=True)
def site(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    (tmp_path / 'site.toml').write_text(_SHEET)
    return tmp_path / 'site.toml'


def test_entries_of_plan_and_faults_are_sorted_by_time(site):
    day = days.read(sheets.read(site, 0.5), 'busy')
    assert [entry.at_s for entry in day.entries] == [1, 1.5, 2.0, 5.0, 9.5]
    cut, crash = (entry.trouble for entry in day.entries[:2])
    assert (crash.service, cut.zone) == ('lm', 'north')
    assert cut.share == pytest.approx(2 / 5)
    assert day.rate_by_class == {'chat': 6.0}
    assert day.closing == days.Closing('power_off_all', ('all',), 0.5)
    assert (day.length_s, day.cap(4.0).length_s) == (9.0, 4.0)


def test_what_is_not_played_of_a_day_is_named(site):
    day = days.read(sheets.read(site), 'busy')
    selection = day_player.DaySelection.from_day(day)
    assert [e.at_s for e in selection.day.entries] == [1, 1.5, 5.0]
    assert selection.notes == (
        'srv_crash dark odd at 1.5 s: played without odd',
        'NOT PLAYED: at = 2.0, kind = meteor',
        'NOT PLAYED: at = 9.5, kind = hup (traffic ends after 9 s)',
        'closing power_off_all: played without all, loss of what was not '
        'synced',
    )


@pytest.mark.parametrize(
    ('entry', 'reason'),
    [
        ('at = 1.0', r'entry without kind \(at = 1.0\)'),
        ('kind = "hup"', 'at is missing in kind = hup'),
        ('kind = "hup", at = -1', 'at is -1 in'),
        ('kind = "hup", at = "noon"', "at is 'noon' in"),
        ('kind = "hup", at = nan', 'at is nan in'),
        ('kind = "hup", at = 1, for_s = -2.0', 'for_s is -2.0 in'),
        ('kind = "hup", at = 1, service = "no"', "service 'no' is unknown"),
        ('kind = "hup", at = 1, service = "@s1"', "service '@s1' is unknown"),
        ('kind = "burst", at = 1, class = "no"', "class 'no' is unknown"),
        ('kind = "lossy", at = 1, zone = "no"', "zone 'no' is unknown"),
        ('kind = "hup", at = 1, share = "x"', "'x', in kind = hup"),
    ],
)
def test_a_day_with_a_bad_entry_is_refused(tmp_path, capsys, entry, reason):
    (tmp_path / 'own.toml').write_text(f'faults = [{{ {entry} }}]')
    arguments = ['--site', 'site.toml', '--day', 'own.toml']
    assert command.main(arguments) == 2
    assert capsys.readouterr().err.startswith('emulator: day own.toml: ')
    with pytest.raises(sheets.SheetError, match=reason):
        days.read(sheets.read(tmp_path / 'site.toml'), 'own.toml')


@pytest.mark.parametrize(
    ('name', 'text', 'reason'),
    [
        ('calm', '', "small has no day 'calm'; it has busy"),
        ('no.toml', '', 'no.toml cannot be read'),
        ('own.toml', 'plan = ', 'own.toml is not TOML'),
        ('own.toml', 'plan = [3]', 'day own.toml: 3 is no entry'),
        ('own.toml', 'plan = 3', 'day own.toml: plan is 3; write a list'),
        (
            'own.toml',
            'closing = { kind = "flood" }',
            "day own.toml: closing has kind 'flood'",
        ),
        (
            'own.toml',
            'closing = { kind = "kill_all", down_s = -1 }',
            'day own.toml: down_s of the closing is -1',
        ),
        (
            'own.toml',
            'traffic = [{ per_s = 1.0, mix = { sale = 1.0 } }]',
            "day own.toml: class 'sale' is unknown",
        ),
        ('own.toml', 'length_s = 0', 'day own.toml: length_s is 0'),
    ],
)
def test_a_day_that_cannot_be_read_is_refused(
    tmp_path, capsys, name, text, reason
):
    if text:
        (tmp_path / name).write_text(text)
    assert command.main(['--site', 'site.toml', '--day', name]) == 2
    assert capsys.readouterr().err.startswith(f'emulator: {reason}')


def test_entries_overlap_and_the_closing_comes_last(site, monkeypatch):
    class Cluster:
        hosts = ('h',)
        processes = mock.Mock(process_by_host={'h': mock.Mock()})

        def configure(self):
            note('configured')

        def signal_node(self, host, number):
            note(f'{number.name} to {host}')

        def start_node(self, host):
            note(f'{host} started')

    def note(text):
        seen.append((round(trio.current_time() - started_s, 3), text))

    async def act(trouble):
        note(f'{trouble.kind} begins')
        await trio.sleep(trouble.for_s)
        note(f'{trouble.kind} ends')

    async def play():
        nonlocal started_s
        started_s = trio.current_time()
        stage = trouble_player.Stage(Cluster(), None, random, [], 0.0)
        await day_player.DayPlayer(selection.day, 3.0).play(stage)
        note('over')

    seen, started_s = [], 0.0
    day = days.read(sheets.read(site), 'busy')
    selection = day_player.DaySelection.from_day(day)
    monkeypatch.setattr(
        troubles,
        'find_acts',
        lambda stage: dict.fromkeys(troubles.WORDS_BY_KIND, act),
    )
    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))
    assert seen == [
        (1, 'core_cut begins'),
        (1.5, 'srv_crash begins'),
        (5, 'hup begins'),
        (5.5, 'srv_crash ends'),
        (6, 'core_cut ends'),
        (9, 'hup ends'),
        (9, 'configured'),
        (9, 'SIGKILL to h'),
        (9.5, 'h started'),
        (12.5, 'over'),
    ]


def test_servers_of_mixed_framing_differ_by_their_place():
    mixed = framings.Framing.MIXED
    assert [mixed.is_chunked(index) for index in range(4)] == [
        True, False, True, False,
    ]  # fmt: skip
