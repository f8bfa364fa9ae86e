"""The foxtailrelay node, run by the command ``foxtailrelayd``.

Start it with a settings file::

    foxtailrelayd --settings entry-1.jsonc

The public module is ``main``.
"""
