"""The query and command language for operators.

Parse one or several statements and handle them by type::

    parsed = language.parse("SHOW engines; DRAIN VM 'vm-7'")
    if isinstance(parsed, language.StatementError):
        print(parsed.text())
    else:
        for statement in parsed:
            ...
"""

from foxtailrelay_core.internal import parser
from foxtailrelay_core.internal import statement_error
from foxtailrelay_core.internal import statements

AlterStatement = statements.AlterStatement
Condition = statements.Condition
CreateStatement = statements.CreateStatement
DrainStatement = statements.DrainStatement
DropStatement = statements.DropStatement
GrantStatement = statements.GrantStatement
LoadStatement = statements.LoadStatement
MoveStatement = statements.MoveStatement
ObjectType = statements.ObjectType
RetireStatement = statements.RetireStatement
RevokeStatement = statements.RevokeStatement
SelectStatement = statements.SelectStatement
Statement = statements.Statement
StatementError = statement_error.StatementError
KEYWORDS = parser.KEYWORDS
parse = parser.parse

__all__ = [
    'KEYWORDS',
    'AlterStatement',
    'Condition',
    'CreateStatement',
    'DrainStatement',
    'DropStatement',
    'GrantStatement',
    'LoadStatement',
    'MoveStatement',
    'ObjectType',
    'RetireStatement',
    'RevokeStatement',
    'SelectStatement',
    'Statement',
    'StatementError',
    'parse',
]
