"""Applies the clauses of a SELECT statement to the rows of a table."""

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
    """Filters, sorts and limits the rows of a table."""

    def __init__(self, statement: language.SelectStatement) -> None:
        self._statement = statement

    async def run(self, table: tables.Table) -> result.Result:
        """Return the selected columns of the matching rows."""
        failure = self._check_columns(table)
        if failure is not None:
            return result.FailedResult(failure)
        try:
            rows = await table.read_rows()
        except tables.TableUnavailable as error:
            return result.FailedResult(error.failure)
        for condition in self._statement.conditions:
            rows = [row for row in rows if _matches(condition, row)]
        column = self._statement.order_by
        if column is not None:
            rows.sort(
                key=lambda row: _sort_key(row[column]),
                reverse=self._statement.descending,
            )
        columns = self._statement.columns or table.columns
        selected = [
            tuple(row[name] for name in columns)
            for row in rows[: self._statement.limit]
        ]
        return result.TableResult(columns, selected)

    def _check_columns(self, table: tables.Table) -> errors.Failure | None:
        """Return a failure if the statement uses an unknown column."""
        used_columns = list(self._statement.columns)
        used_columns += [c.column for c in self._statement.conditions]
        if self._statement.order_by is not None:
            used_columns.append(self._statement.order_by)
        for name in used_columns:
            if name not in table.columns:
                return errors.Failure(
                    errors.ErrorKind.BAD_STATEMENT,
                    f'table {self._statement.table} has no column {name}; '
                    f'its columns are {", ".join(table.columns)}',
                )
        return None


def _matches(condition: language.Condition, row: tables.Row) -> bool:
    """Return whether a row meets a condition; False if not comparable."""
    function = _FUNCTION_BY_COMPARISON[condition.comparison]
    try:
        return bool(function(row[condition.column], condition.value))
    except TypeError:
        return False


def _sort_key(value: typing.Any) -> tuple:
    """Return a key that sorts numbers, then texts, then missing values."""
    if value is None:
        return (2, '')
    if isinstance(value, int | float):
        return (0, value)
    return (1, str(value))
