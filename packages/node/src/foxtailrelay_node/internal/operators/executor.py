"""Executes operator statements."""

import typing

from foxtailrelay_core import errors
from foxtailrelay_core import language
import logbook
import trio

from foxtailrelay_node.internal.catalogue import change as changes
from foxtailrelay_node.internal.catalogue import configuration as configs
from foxtailrelay_node.internal.members import link_manager
from foxtailrelay_node.internal.operators import change_planner
from foxtailrelay_node.internal.operators import result as results
from foxtailrelay_node.internal.operators import selector
from foxtailrelay_node.internal.operators import tables

_LOG = logbook.Logger('foxtailrelay.operators')
_Kind = errors.ErrorKind
_READ = 'read'
_ADMIN = 'admin'
_REVISION_QUERY_TIMEOUT_S = 0.5
_REVISION_QUERY_INTERVAL_S = 0.1


class StatementRequest(typing.NamedTuple):
    """Statements that an operator sent in one request.

    Parameters
    ----------
    operator : str
        Name of the operator.
    text : str
        One or more statements.
    base : int or None
        Configuration revision that the changes are based on; None for the
        newest one at this node.
    wait_s : float
        Seconds to wait at most until the change is in force at all nodes.
    """

    operator: str
    text: str
    base: int | None
    wait_s: float


class Executor:
    """Parses statements, checks privileges and executes the statements.

    Parameters
    ----------
    configuration : Configuration
        Configuration that commands change.
    links : LinkManager
        Queries the revision in force at other nodes.
    table_by_name : dict of str to Table
        Tables that queries read.
    settings_operators : frozenset of str
        Operators from the node's settings; they have every privilege.
    """

    def __init__(
        self,
        configuration: configs.Configuration,
        links: link_manager.LinkManager,
        table_by_name: dict[str, tables.Table],
        settings_operators: frozenset[str],
    ) -> None:
        self._configuration = configuration
        self._links = links
        self._table_by_name = table_by_name
        self._settings_operators = settings_operators

    async def run(self, request: StatementRequest) -> list[results.Result]:
        """Execute statements in order, up to the first that fails."""
        parsed = language.parse(request.text)
        if isinstance(parsed, language.StatementError):
            return [_failed(_Kind.BAD_STATEMENT, parsed.text())]
        completed: list[results.Result] = []
        for statement in parsed:
            result = await self._run_one(request, statement)
            completed.append(result)
            if isinstance(result, results.FailedResult):
                break
        return completed

    async def _run_one(
        self, request: StatementRequest, statement: language.Statement
    ) -> results.Result:
        """Execute one statement if the operator has the privilege for it."""
        is_query = isinstance(statement, language.SelectStatement)
        privilege = _READ if is_query else _ADMIN
        if not self._has_privilege(request.operator, privilege):
            return _failed(
                _Kind.NO_GRANT,
                f'operator {request.operator} does not have the privilege '
                f'{privilege.upper()} ON SYSTEM for this statement',
            )
        if is_query:
            table = self._table_by_name[statement.table]
            return await selector.Selector(statement).run(table)
        return await self._apply_changes(request, statement)

    def _has_privilege(self, operator: str, privilege: str) -> bool:
        if operator in self._settings_operators:
            return True
        return self._configuration.catalogue.has_privilege(operator, privilege)

    async def _apply_changes(
        self, request: StatementRequest, statement: language.Statement
    ) -> results.Result:
        """Write a statement's changes to the configuration stream."""
        base = request.base
        if base is None:
            base = self._configuration.revision
        planner = change_planner.ChangePlanner(
            self._configuration.catalogue, request.operator, base
        )
        planned = planner.plan(statement)
        if isinstance(planned, errors.Failure):
            return results.FailedResult(planned)
        revision = -1
        for change in planned:
            change['change_id'] = self._configuration.new_change_id()
            revision, failure = await self._configuration.submit(change)
            description = _describe(change)
            _LOG.info(
                'statement operator={} change={} revision={} result={}',
                request.operator,
                description,
                revision,
                failure.kind.value if failure else 'accepted',
            )
            if failure is not None:
                return results.FailedResult(failure)
        done = results.DoneResult(f'{description}: accepted', revision)
        if request.wait_s > 0:
            return await self._wait_in_force(done, request.wait_s)
        return done

    async def _wait_in_force(
        self, done: results.DoneResult, wait_s: float
    ) -> results.DoneResult:
        """Wait until all active nodes report the revision in force."""
        in_force, node_count = 0, 0
        with trio.move_on_after(wait_s):
            while True:
                revisions = await self._links.revision_by_id(
                    _REVISION_QUERY_TIMEOUT_S
                )
                node_count = len(revisions)
                in_force = sum(
                    revision is not None and revision >= done.revision
                    for revision in revisions.values()
                )
                if in_force == node_count:
                    break
                await trio.sleep(_REVISION_QUERY_INTERVAL_S)
        return done._replace(in_force=in_force, node_count=node_count)


def _describe(change: changes.Change) -> str:
    """Return a short description of a change for messages and logs."""
    if change['object_type'] == 'grant':
        return f'{change["action"]} {change["name"]}'
    return f'{change["action"]} {change["object_type"]} {change["name"]}'


def _failed(kind: errors.ErrorKind, detail: str) -> results.FailedResult:
    return results.FailedResult(errors.Failure(kind, detail))
