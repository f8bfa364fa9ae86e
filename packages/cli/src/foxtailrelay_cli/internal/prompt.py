"""An interactive prompt with history and completion."""

import pathlib
import typing

from foxtailrelay_core import language
import prompt_toolkit
from prompt_toolkit import completion
from prompt_toolkit import history

_HISTORY_FILE = '.foxtailrelay_history'
_EXIT_COMMANDS = ('quit', 'exit')


def read_statements() -> typing.Iterator[str]:
    """Yield the statements that the operator enters, until end of input.

    A statement may span several lines and ends with a semicolon.
    """
    session = prompt_toolkit.PromptSession(
        history=history.FileHistory(str(pathlib.Path.home() / _HISTORY_FILE)),
        completer=completion.WordCompleter(
            list(language.KEYWORDS), ignore_case=True
        ),
    )
    lines: list[str] = []
    while True:
        prompt_text = '... ' if lines else 'foxtailrelay> '
        try:
            line = session.prompt(prompt_text)
        except KeyboardInterrupt:
            lines.clear()
            continue
        except EOFError:
            return
        if not lines and line.strip().lower().rstrip(';') in _EXIT_COMMANDS:
            return
        lines.append(line)
        if line.rstrip().endswith(';'):
            yield '\n'.join(lines)
            lines.clear()
