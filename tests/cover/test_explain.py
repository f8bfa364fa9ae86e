"""Explaining the decisions on a request from the logs of nodes."""

import json

from foxtailrelay_cli.internal import explanation
from foxtailrelay_cli.internal import log_reader


def _write(path, *lines):
    rows = [
        json.dumps({'t': t, 'node': node, 'event': event} | fields)
        for t, node, event, fields in lines
    ]
    path.write_text('noise\n' + '\n'.join('12.3 host ' + r for r in rows))
    return str(path)


def test_decisions_of_all_nodes_are_listed_by_time(tmp_path):
    one = _write(
        tmp_path / 'one',
        (1.0, 'n1', 'configuration-in-force', {'version': 3}),
        (2.0, 'n1', 'configuration-in-force', {'version': 4}),
        (2.5, 'n1', 'server-removed', {'server': 's1'}),
        (2.6, 'n1', 'server-removed', {'server': 's9'}),
        (2.7, 'n1', 'server-leaving', {'server': 's1', 'by': 'answer'}),
        (2.8, 'n1', 'server-quiet', {'server': 's1', 'quiet_s': 2.0}),
        (2.9, 'n1', 'store-restored', {'era': 2, 'before': 1}),
        (3.0, 'n1', 'placed', {'request': 'r1', 'server': 's1'}),
        (3.1, 'n1', 'placed', {'request': 'r2', 'server': 's2'}),
    )
    two = _write(
        tmp_path / 'two',
        (3.4, 'n2', 'request-failed', {'request': 'r1', 'kind': 'not-run'}),
    )
    text = explanation.explain('r1', log_reader.read_files([two, one]))
    joined = '\n'.join(text)
    assert 'seen by n1, n2' in text[0]
    assert 'version=4' in joined
    assert 'version=3' not in joined
    assert 'server-removed  server=s1' in joined
    assert 'server-leaving  server=s1 by=answer' in joined
    assert 'server-quiet  server=s1 quiet_s=2.0' in joined
    assert 'store-restored  era=2 before=1' in joined
    assert 's9' not in joined
    assert 'r2' not in joined
    assert joined.index('placed') < joined.index('request-failed')


def test_a_request_missing_from_the_logs_has_no_explanation(tmp_path):
    path = _write(tmp_path / 'one', (1.0, 'n1', 'started', {}))
    assert explanation.explain('r1', log_reader.read_files([path])) == []


def test_the_error_for_an_unreadable_file_names_the_file():
    errors = log_reader.read_files(['/nonexistent/log'])
    assert errors.lines[0].startswith('/nonexistent/log: ')
