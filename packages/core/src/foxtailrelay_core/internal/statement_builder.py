"""Builds statements from the parse tree."""

import lark

from foxtailrelay_core.internal import statements

_ObjectType = statements.ObjectType
_BOOLEAN_BY_WORD = {'yes': True, 'true': True, 'no': False, 'false': False}


def _unquote(text: str) -> str:
    """Remove the quotes of a literal and replace doubled quotes inside."""
    return text[1:-1].replace("''", "'")


class StatementBuilder(lark.Transformer):
    """Builds statements from the rules of the grammar.

    Each method has the name of a rule and receives the rule's children.
    """

    def start(self, children):
        return [child for child in children if child is not None]

    def name(self, children):
        token = children[0]
        if token.type == 'STRING':
            return _unquote(token)
        return str(token)

    def text_value(self, children):
        return _unquote(children[0])

    def number_value(self, children):
        text = str(children[0])
        return float(text) if '.' in text else int(text)

    def word_value(self, children):
        word = str(children[0])
        return _BOOLEAN_BY_WORD.get(word.lower(), word)

    def option(self, children):
        return tuple(children)

    def options(self, children):
        return dict(children)

    def with_options(self, children):
        return children[0]

    def service(self, _):
        return _ObjectType.SERVICE

    def organisation(self, _):
        return _ObjectType.ORGANISATION

    def placement_rule(self, _):
        return _ObjectType.PLACEMENT_RULE

    def backend(self, _):
        return _ObjectType.BACKEND

    def operator(self, _):
        return _ObjectType.OPERATOR

    def create(self, children):
        object_type, name, options = children
        return statements.CreateStatement(object_type, name, options or {})

    def alter(self, children):
        return statements.AlterStatement(*children)

    def drop(self, children):
        return statements.DropStatement(*children)

    def privilege(self, children):
        return str(children[0]).lower()

    def service_target(self, children):
        return children[0]

    def system_target(self, _):
        return None

    def organisation_grantee(self, children):
        return _ObjectType.ORGANISATION, children[0]

    def operator_grantee(self, children):
        return _ObjectType.OPERATOR, children[0]

    def grant(self, children):
        privilege, service, (grantee_type, grantee) = children
        return statements.GrantStatement(
            privilege, service, grantee_type, grantee
        )

    def revoke(self, children):
        return statements.RevokeStatement(*self.grant(children))

    def table(self, children):
        return str(children[0]).lower()

    def show(self, children):
        return statements.SelectStatement((), children[0])

    def all_columns(self, _):
        return ()

    def some_columns(self, children):
        return tuple(children)

    def equals(self, _):
        return '='

    def other_comparison(self, children):
        return str(children[0])

    def condition(self, children):
        return statements.Condition(*children)

    def where(self, children):
        return tuple(children)

    def order_by(self, children):
        column, direction = children
        descending = direction is not None and direction.lower() == 'desc'
        return column, descending

    def limit(self, children):
        return int(children[0])

    def select(self, children):
        columns, table, conditions, ordering, limit = children
        column, descending = ordering or (None, False)
        return statements.SelectStatement(
            columns, table, conditions or (), column, descending, limit
        )

    def machine(self, children):
        return str(children[0]).lower()

    def drain(self, children):
        return statements.DrainStatement(*children)

    def retire(self, children):
        return statements.RetireStatement(*children)

    def move(self, children):
        return statements.MoveStatement(*children)

    def load(self, children):
        artefact, artefact_name, backend = children
        return statements.LoadStatement(
            str(artefact).lower(), _unquote(artefact_name), backend
        )
