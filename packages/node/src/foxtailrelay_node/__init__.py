"""The node, ``foxtailrelayd``.

Start it with a settings file::

    foxtailrelayd --settings entry-1.jsonc
"""

from foxtailrelay_node import main

__all__ = ['main']
