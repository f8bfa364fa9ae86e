"""Explains the decisions of nodes on one request, from their logs."""

import typing

from foxtailrelay_cli.internal import log_reader

# Events that change the state of a node; the last one of each kind before
# the request is shown.
_STATE_EVENTS = frozenset(
    (
        'configuration-in-force', 'store-lost', 'store-regained',
        'store-restored', 'peer-lost', 'stopping', 'started',
        'settings-reloaded',
    )
)  # fmt: skip
# Older changes of the request's servers are not shown.
_MAX_SERVER_CHANGE_AGE_S = 10.0
_SERVER_EVENTS = frozenset(
    (
        'server-listed', 'server-removed', 'server-lapsed', 'server-leaving',
        'server-quiet',
    )
)  # fmt: skip


def explain(
    request_id: str, lines: typing.Sequence[log_reader.LogLine]
) -> list[str]:
    """Return the decisions on a request and the node states before it.

    Parameters
    ----------
    request_id : str
        Id of the caller's request.
    lines : sequence of LogLine
        Lines of all nodes, sorted by time.

    Returns
    -------
    list of str
        Lines of text; empty if no node logged the request.
    """
    decisions = [
        line for line in lines if line.fields.get('request') == request_id
    ]
    if not decisions:
        return []
    nodes = list(dict.fromkeys(line.node for line in decisions))
    servers = {line.fields.get('server') for line in decisions} - {None}
    text = [f'request {request_id}, seen by {", ".join(nodes)}']
    start_s = decisions[0].time_s
    for node in nodes:
        text += _describe_state(node, servers, start_s, lines)
    text.append('decisions:')
    text += [_format_line(line, start_s) for line in decisions]
    return text


def _describe_state(
    node: str,
    servers: set[object],
    start_s: float,
    lines: typing.Sequence[log_reader.LogLine],
) -> list[str]:
    """Describe the state of a node when the request arrived."""
    last_by_event: dict[str, log_reader.LogLine] = {}
    server_changes = []
    for line in lines:
        if line.node != node or line.time_s > start_s:
            continue
        if line.event in _STATE_EVENTS:
            last_by_event[line.event] = line
        elif (
            line.event in _SERVER_EVENTS
            and line.fields.get('server') in servers
            and start_s - line.time_s <= _MAX_SERVER_CHANGE_AGE_S
        ):
            server_changes.append(line)
    shown = sorted(
        [*last_by_event.values(), *server_changes],
        key=lambda line: line.time_s,
    )
    if not shown:
        return []
    return [f'state of {node} before the request:'] + [
        _format_line(line, start_s) for line in shown
    ]


def _format_line(line: log_reader.LogLine, start_s: float) -> str:
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name != 'request' and value is not None
    )
    return f'  {line.time_s - start_s:+9.3f} s  {line.event}  {fields}'
