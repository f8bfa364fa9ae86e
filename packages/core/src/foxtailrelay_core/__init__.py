"""What the node, the command line and the stand-ins share.

Import the modules listed here; everything under ``internal`` may change
between releases.
"""

from foxtailrelay_core import errors
from foxtailrelay_core import language
from foxtailrelay_core import messages
from foxtailrelay_core import prefixes
from foxtailrelay_core import settings
from foxtailrelay_core import tokens

__all__ = [
    'errors',
    'language',
    'messages',
    'prefixes',
    'settings',
    'tokens',
]
