"""The ``foxtailrelay`` command for operators.

It runs statements from the command line, from a file or from a prompt::

    foxtailrelay run "SHOW engines"
"""

from foxtailrelay_cli import main

__all__ = ['main']
