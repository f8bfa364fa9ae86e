"""Results of operator statements."""

import typing

from foxtailrelay_core import errors


class TableResult(typing.NamedTuple):
    """Rows of a ``SELECT`` or ``SHOW``."""

    columns: tuple[str, ...]
    rows: list[tuple[typing.Any, ...]]

    def to_json(self) -> dict[str, typing.Any]:
        """Return the result as a JSON object."""
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
        Short description of the change.
    revision : int
        Configuration revision that contains the change.
    in_force, node_count : int
        Number of nodes that reported the revision, and number of nodes
        queried; both 0 if the request did not wait.
    """

    message: str
    revision: int
    in_force: int = 0
    node_count: int = 0

    def to_json(self) -> dict[str, typing.Any]:
        """Return the result as a JSON object."""
        return {'kind': 'done', **self._asdict()}


class FailedResult(typing.NamedTuple):
    """A statement that failed; later ones were not executed."""

    failure: errors.Failure

    def to_json(self) -> dict[str, typing.Any]:
        """Return the result as a JSON object."""
        return (
            self.failure.problem_document()
            | {'kind': 'problem'}
            | {'problem': self.failure.kind.value}
        )


Result = TableResult | DoneResult | FailedResult
