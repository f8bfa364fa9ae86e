"""Everything that is wrong with a settings file."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SettingsErrors:
    """All errors found in one settings file.

    Parameters
    ----------
    source : str
        Name of the file.
    lines : tuple of str
        One text for each error: key path, value found, what is allowed.
    """

    source: str
    lines: tuple[str, ...]

    def text(self) -> str:
        """Return the errors as lines that start with the file's name."""
        return '\n'.join(f'{self.source}: {line}' for line in self.lines)
