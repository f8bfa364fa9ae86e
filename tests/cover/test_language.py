"""Parsing of the operator language."""

from foxtailrelay_core import language
import pytest


@pytest.mark.parametrize(
    'text, position, expected',
    [
        ('SHOW foo', (1, 6), 'one of engines'),
        ('CREATE SERVICE x WITH (a b)', (1, 26), "'='"),
        ('SELECT FROM', (1, 12), 'FROM'),
        ('SHOW engines;\nDRAIN TABLE x', (2, 7), 'VM or BACKEND'),
    ],
)
def test_syntax_error_has_position_and_expected_input(
    text, position, expected
):
    error = language.parse(text)
    assert (error.line, error.column) == position
    assert expected in error.text()


def test_doubled_quote_in_a_literal_is_one_quote():
    (statement,) = language.parse("LOAD MODEL 'rider''s' ON BACKEND e1")
    assert statement.artefact_name == "rider's"


def test_select_statement_has_every_clause():
    (statement,) = language.parse(
        'SELECT id, zone FROM vms WHERE price < 3 AND zone = ruiru '
        'ORDER BY price DESC LIMIT 3'
    )
    assert statement == language.SelectStatement(
        ('id', 'zone'),
        'vms',
        (
            language.Condition('price', '<', 3),
            language.Condition('zone', '=', 'ruiru'),
        ),
        'price',
        True,
        3,
    )
