"""The errors in a settings file."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SettingsErrors:
    """All errors found in one settings file.

    Parameters
    ----------
    source : str
        Name of the file.
    lines : tuple of str
        One line for each error: key path, value found and allowed values.
    """

    source: str
    lines: tuple[str, ...]

    def text(self) -> str:
        """Return all errors, one a line, each after the name of the file."""
        return '\n'.join(f'{self.source}: {line}' for line in self.lines)
