"""Command line of ``foxtailrelayd``."""

import dataclasses
import sys
import typing

import cappa
from foxtailrelay_core import settings as settings_module
import trio

from foxtailrelay_node.internal import logs
from foxtailrelay_node.internal import server

_INVALID_SETTINGS_STATUS = 2


@cappa.command(name='foxtailrelayd')
@dataclasses.dataclass
class NodeCommand:
    """Run one foxtailrelay node until it is signalled to stop."""

    settings: typing.Annotated[
        str, cappa.Arg(long=True, help='Settings file, JSON with comments.')
    ]


def main() -> None:
    """Run the command line."""
    command = cappa.parse(NodeCommand)
    loaded = settings_module.load_file(command.settings)
    if isinstance(loaded, settings_module.SettingsErrors):
        print(loaded.text(), file=sys.stderr)
        sys.exit(_INVALID_SETTINGS_STATUS)
    handler = logs.make_handler(loaded.logging, loaded.node.id)
    with handler.applicationbound():
        status = trio.run(server.serve, loaded)
    sys.exit(status)
