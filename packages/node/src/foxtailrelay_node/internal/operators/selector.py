"""Carries out the clauses of a SELECT on a table's rows."""

import operator
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import language

from foxtailrelay_node.internal.operators import result
from foxtailrelay_node.internal.operators import tables

_FUNCTION_BY_COMPARISON: dict[str, typing.Callable] = {
    '=': operator.eq,
    '!=': operator.ne,
    '<': operator.lt,
    '<=': operator.le,
    '>': operator.gt,
    '>=': operator.ge,
}


class Selector:
    """Filters, orders and cuts rows."""

    def __init__(self, statement: language.SelectStatement) -> None:
        self._statement = statement

    async def run(self, table: tables.Table) -> result.Result:
        """Return the chosen rows of a table."""
        failure = self._unknown_column(table)
        if failure is not None:
            return result.FailedResult(failure)
        try:
            rows = await table.read_rows()
        except tables.TableUnavailable as error:
            return result.FailedResult(error.failure)
        for condition in self._statement.conditions:
            rows = [row for row in rows if _holds(condition, row)]
        column = self._statement.order_by
        if column is not None:
            rows.sort(
                key=lambda row: _sort_key(row[column]),
                reverse=self._statement.descending,
            )
        columns = self._statement.columns or table.columns
        chosen = [
            tuple(row[name] for name in columns)
            for row in rows[: self._statement.limit]
        ]
        return result.TableResult(columns, chosen)

    def _unknown_column(self, table: tables.Table) -> errors.Failure | None:
        """Return a failure if a named column does not exist."""
        named = list(self._statement.columns)
        named += [c.column for c in self._statement.conditions]
        if self._statement.order_by is not None:
            named.append(self._statement.order_by)
        for name in named:
            if name not in table.columns:
                return errors.Failure(
                    errors.ErrorKind.BAD_STATEMENT,
                    f'table {self._statement.table} has no column {name}; '
                    f'it has {", ".join(table.columns)}',
                )
        return None


def _holds(condition: language.Condition, row: tables.Row) -> bool:
    """Tell whether a row meets a condition; unlike types never do."""
    function = _FUNCTION_BY_COMPARISON[condition.comparison]
    try:
        return bool(function(row[condition.column], condition.value))
    except TypeError:
        return False


def _sort_key(value: typing.Any) -> tuple:
    """Order numbers before texts, and missing values last."""
    if value is None:
        return (2, '')
    if isinstance(value, int | float):
        return (0, value)
    return (1, str(value))
