"""Parser of the operator language."""

import importlib.resources

import lark

from foxtailrelay_core.internal import statement_builder
from foxtailrelay_core.internal import statement_error
from foxtailrelay_core.internal import statements

KEYWORDS = tuple(
    'CREATE ALTER DROP GRANT REVOKE SHOW SELECT FROM WHERE AND ORDER BY LIMIT '
    'DRAIN MOVE LOAD RETIRE SERVICE ORGANISATION PLACEMENT RULE BACKEND '
    'OPERATOR VM WITH SET ON TO SYSTEM CALL READ ADMIN MODEL ADAPTER engines '
    'vms requests services spending backlog revisions'.split()
)

_DESCRIPTION_BY_TERMINAL = {
    '$END': 'the end',
    'SEMICOLON': "';'",
    'LPAR': "'('",
    'RPAR': "')'",
    'COMMA': "','",
    '_EQUALS': "'='",
    'STAR': "'*'",
    'NAME': 'a name',
    'STRING': "a quoted text ('...')",
    'NUMBER': 'a number',
    'INT': 'a whole number',
    'COMPARISON': 'one of <, <=, >, >=, !=',
    'PRIVILEGE': 'CALL, READ or ADMIN',
    'TABLE': (
        'one of engines, vms, requests, services, spending, backlog, revisions'
    ),
    'MACHINE': 'VM or BACKEND',
    'ARTEFACT': 'MODEL or ADAPTER',
    'DIRECTION': 'ASC or DESC',
}


def _load_grammar() -> lark.Lark:
    """Build the parser from ``grammar.lark`` in this package."""
    package = importlib.resources.files(__package__)
    grammar = package.joinpath('grammar.lark').read_text(encoding='utf-8')
    return lark.Lark(grammar, parser='lalr', maybe_placeholders=True)


_GRAMMAR = _load_grammar()


def parse(
    source: str,
) -> list[statements.Statement] | statement_error.StatementError:
    """Parse statements separated by semicolons.

    Parameters
    ----------
    source : str
        The text; ``--`` starts a comment.

    Returns
    -------
    list of Statement or StatementError
        All statements, or the first error.

    Examples
    --------
    >>> parse('DRAIN VM entry-3')
    [DrainStatement(machine='vm', name='entry-3')]
    """
    try:
        tree = _GRAMMAR.parse(source)
    except lark.exceptions.UnexpectedInput as error:
        return _describe(source, error)
    return statement_builder.StatementBuilder().transform(tree)


def _describe(
    source: str, error: lark.exceptions.UnexpectedInput
) -> statement_error.StatementError:
    """Convert an error of the parser library to a statement error."""
    expected = (
        getattr(error, 'accepts', None)
        or getattr(error, 'expected', None)
        or getattr(error, 'allowed', set())
    )
    descriptions = {
        _DESCRIPTION_BY_TERMINAL.get(name, name.lstrip('_'))
        for name in expected
    }
    token = getattr(error, 'token', None)
    at_end = token is not None and token.type == '$END'
    if at_end:
        lines = source.splitlines() or ['']
        line, column = len(lines), len(lines[-1]) + 1
        found = ''
    elif token is not None:
        line, column, found = error.line, error.column, str(token)
    else:
        line, column = error.line, error.column
        found = source[error.pos_in_stream]
    return statement_error.StatementError(
        source, line, column, found, tuple(sorted(descriptions))
    )
