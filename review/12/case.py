"""A server that is gone still gets requests of a node that is in touch."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-3'))

import rig as rigs

_NODES = 7
_TURNED_AWAY = 2
_PER_S = 4.0
# Requests a second to each node that the store turns away.
_AWAY_PER_S = 20.0
_DRAIN_S = 2.0
_SILENT_S = 4.0
_CYCLES = 4
_CYCLE_S = 12.0
# The entry goes so long after the store serves the nodes again.
_AFTER_S = 1.6
# The server goes on serving "a little longer (at times many seconds)".
_SERVES_ON_S = 3.0


async def prepare(rig):
    """Write the first configuration and servers."""
    rig.store.put(
        'keyed.op',
        'config',
        rigs.configuration(
            7,
            [rigs.route('r-1', '/status/', 'safe', 'vault', 2)],
            ['vault'],
        ),
    )
    for number in range(4):
        await rig.add_server(rigs.Server(f'i-{number}', 'vault', rig.record))


async def play(rig, has_trouble):
    """Play the cycles; return the requests that reached a server too late."""
    store = rig.store
    for node in rig.nodes:
        rig.spawn(rig.press(node, _PER_S, 'GET', '/status/a', 1500))
    await asyncio.sleep(3.0)
    gone_at_s, served_from_s, exits = {}, {}, []
    for cycle in range(_CYCLES):
        began_s = rig.now_s()
        away = [
            rig.nodes[(cycle * _TURNED_AWAY + i) % _NODES]
            for i in range(_TURNED_AWAY)
        ]
        for node in away if has_trouble else ():
            store.set_mode(node, 'silent')
            rig.record('store-turns-away', node=node)
        new = rigs.Server(f'i-{cycle + 4}', 'vault', rig.record)
        await rig.add_server(new)
        await asyncio.sleep(_SILENT_S)
        for node in away if has_trouble else ():
            store.set_mode(node, 'ok')
            rig.record('store-serves', node=node)
            served_from_s.setdefault(node, []).append((began_s, rig.now_s()))
        presses = [
            asyncio.create_task(
                rig.press(node, _AWAY_PER_S, 'GET', '/status/a', 1500)
            )
            for node in away
        ]
        await asyncio.sleep(_AFTER_S)
        gone = rig.servers[f'i-{cycle}']
        gone_at_s[gone.id] = rig.remove_entry(gone.id)
        await asyncio.sleep(_SERVES_ON_S)
        for press in presses:
            press.cancel()
        gone.exit()
        rig.record('server-exits', server=gone.id)
        await asyncio.sleep(began_s + _CYCLE_S - rig.now_s())
    return find_breaks(rig, gone_at_s, served_from_s)


def find_breaks(rig, gone_at_s, outages):
    """Return arrivals past the bound that a node in touch has sent on."""
    node_of = {
        e['request']: e['node'] for e in rig.events if e['event'] == 'sent'
    }
    breaks = []
    for event in rig.events:
        if event['event'] != 'arrival' or event['server'] not in gone_at_s:
            continue
        late_s = event['t'] - gone_at_s[event['server']] - _DRAIN_S
        node = node_of[event['request']]
        is_in_touch = all(
            event['t'] < began_s or event['t'] >= ended_s + rigs.CONTACT_S
            for began_s, ended_s in outages.get(node, ())
        )
        if late_s > 0 and is_in_touch:
            breaks.append(
                f'{event["t"]:.3f} s: {event["request"]} from {node} reached '
                f'{event["server"]} {late_s:.3f} s after drain-ms'
            )
    return breaks


if __name__ == '__main__':
    rigs.run(FOLDER, _NODES, prepare, play)
