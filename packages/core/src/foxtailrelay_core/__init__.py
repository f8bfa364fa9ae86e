"""Code shared by the node, the command line and the stand-ins.

The public modules are ``errors``, ``language``, ``messages``, ``prefixes``,
``record_fields``, ``settings``, ``store_position`` and ``tokens``; everything
under ``internal`` may change between releases.  Import each module
separately, so that a program loads only what it uses::

    from foxtailrelay_core import errors
"""
