"""The syntax error in a statement."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StatementError:
    """Position of a syntax error and what was expected there.

    Parameters
    ----------
    source : str
        The complete text that was parsed.
    line, column : int
        Position of the error, counted from 1.
    found : str
        Text at the position; empty at the end of the text.
    expected : tuple of str
        Descriptions of what is allowed at the position, sorted.
    """

    source: str
    line: int
    column: int
    found: str
    expected: tuple[str, ...]

    def text(self) -> str:
        """Return the line, a caret under the error and what was expected."""
        lines = self.source.splitlines() or ['']
        shown = lines[min(self.line, len(lines)) - 1]
        found = repr(self.found) if self.found else 'the end'
        return (
            f'line {self.line}, column {self.column}: found {found}\n'
            f'  {shown}\n'
            f'  {" " * (self.column - 1)}^\n'
            f'expected {", ".join(self.expected)}'
        )
