"""Results of operator statements."""

import typing

from foxtailrelay_core import errors


class TableResult(typing.NamedTuple):
    """Rows of a ``SELECT`` or ``SHOW``."""

    columns: tuple[str, ...]
    rows: list[tuple[typing.Any, ...]]

    def to_json(self) -> dict[str, typing.Any]:
        """Return the JSON form."""
        return {
            'kind': 'table',
            'columns': list(self.columns),
            'rows': [list(row) for row in self.rows],
        }


class DoneResult(typing.NamedTuple):
    """A command that was accepted.

    Parameters
    ----------
    message : str
        What was done.
    revision : int
        Configuration revision that holds it.
    in_force, node_count : int
        How many nodes reported the revision, of how many asked; both zero
        where nobody waited.
    """

    message: str
    revision: int
    in_force: int = 0
    node_count: int = 0

    def to_json(self) -> dict[str, typing.Any]:
        """Return the JSON form."""
        return {'kind': 'done', **self._asdict()}


class FailedResult(typing.NamedTuple):
    """A statement that failed; later ones were not carried out."""

    failure: errors.Failure

    def to_json(self) -> dict[str, typing.Any]:
        """Return the JSON form."""
        return (
            self.failure.problem_document()
            | {'kind': 'problem'}
            | {'problem': self.failure.kind.value}
        )


Result = TableResult | DoneResult | FailedResult
