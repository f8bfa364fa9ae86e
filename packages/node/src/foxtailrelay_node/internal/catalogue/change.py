"""A configuration change as stored in the log."""

import typing


class Change(typing.TypedDict):
    """One record of the configuration stream.

    ``base`` is the revision that the change is based on; ``action`` is
    ``create``, ``alter``, ``drop``, ``grant`` or ``revoke``; ``options`` holds
    only what the statement sets, with tokens already hashed.
    """

    change_id: str
    base: int
    operator: str
    action: str
    object_type: str
    name: str
    options: dict[str, typing.Any]
