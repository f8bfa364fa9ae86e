"""The statements of the operator language.

They share a file since each corresponds to a rule of one grammar.
"""

import enum
import typing

Value = str | int | float | bool


class ObjectType(enum.Enum):
    """Type of the object of ``CREATE``, ``ALTER`` and ``DROP``."""

    SERVICE = 'service'
    ORGANISATION = 'organisation'
    PLACEMENT_RULE = 'placement rule'
    BACKEND = 'backend'
    OPERATOR = 'operator'


class CreateStatement(typing.NamedTuple):
    """``CREATE <type> <name> [WITH (option = value, ...)]``."""

    object_type: ObjectType
    name: str
    options: dict[str, Value]


class AlterStatement(typing.NamedTuple):
    """``ALTER <type> <name> SET (option = value, ...)``."""

    object_type: ObjectType
    name: str
    options: dict[str, Value]


class DropStatement(typing.NamedTuple):
    """``DROP <type> <name>``."""

    object_type: ObjectType
    name: str


class GrantStatement(typing.NamedTuple):
    """``GRANT <privilege> ON SERVICE <name>|SYSTEM TO <grantee>``.

    ``service`` is None for ``ON SYSTEM``.
    """

    privilege: str
    service: str | None
    grantee_type: ObjectType
    grantee: str


class RevokeStatement(typing.NamedTuple):
    """``REVOKE <privilege> ON SERVICE <name>|SYSTEM FROM <grantee>``."""

    privilege: str
    service: str | None
    grantee_type: ObjectType
    grantee: str


class Condition(typing.NamedTuple):
    """One comparison of a ``WHERE`` clause."""

    column: str
    comparison: str
    value: Value


class SelectStatement(typing.NamedTuple):
    """``SELECT ... FROM <table> ...``, or ``SHOW <table>`` for all rows.

    An empty ``columns`` selects all columns.
    """

    columns: tuple[str, ...]
    table: str
    conditions: tuple[Condition, ...] = ()
    order_by: str | None = None
    descending: bool = False
    limit: int | None = None


class DrainStatement(typing.NamedTuple):
    """``DRAIN VM|BACKEND <name>``."""

    machine: str
    name: str


class MoveStatement(typing.NamedTuple):
    """``MOVE SERVICE <name> FROM <backend> TO <backend>``."""

    service: str
    source: str
    target: str


class LoadStatement(typing.NamedTuple):
    """``LOAD MODEL|ADAPTER '<name>' ON BACKEND <name>``."""

    artefact: str
    artefact_name: str
    backend: str


class RetireStatement(typing.NamedTuple):
    """``RETIRE VM|BACKEND <name>``."""

    machine: str
    name: str


Statement = (
    CreateStatement
    | AlterStatement
    | DropStatement
    | GrantStatement
    | RevokeStatement
    | SelectStatement
    | DrainStatement
    | MoveStatement
    | LoadStatement
    | RetireStatement
)
