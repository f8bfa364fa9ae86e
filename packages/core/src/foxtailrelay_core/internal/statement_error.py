"""A statement that could not be parsed."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StatementError:
    """Where a statement went wrong and what was expected there.

    Parameters
    ----------
    source : str
        The whole text that was parsed.
    line, column : int
        Place of the error, both counted from 1.
    found : str
        What stands there; empty at the end of the text.
    expected : tuple of str
        What could stand there instead, sorted.
    """

    source: str
    line: int
    column: int
    found: str
    expected: tuple[str, ...]

    def text(self) -> str:
        """Return the line, a mark under the place, and what was expected."""
        lines = self.source.splitlines() or ['']
        shown = lines[min(self.line, len(lines)) - 1]
        found = repr(self.found) if self.found else 'the end'
        return (
            f'line {self.line}, column {self.column}: found {found}\n'
            f'  {shown}\n'
            f'  {" " * (self.column - 1)}^\n'
            f'expected {", ".join(self.expected)}'
        )
