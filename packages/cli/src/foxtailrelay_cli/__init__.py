"""The operator's command, ``foxtailrelay``.

Run one statement, a file of statements, or a prompt::

    foxtailrelay run "SHOW engines"
"""

from foxtailrelay_cli import main

__all__ = ['main']
