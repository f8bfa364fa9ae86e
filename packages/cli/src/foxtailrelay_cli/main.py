"""The ``foxtailrelay`` command line."""

import dataclasses
import pathlib
import sys
import typing

import cappa
from foxtailrelay_core import language
from foxtailrelay_core import settings as settings_module
from foxtailrelay_core import tokens

from foxtailrelay_cli.internal import exit_status
from foxtailrelay_cli.internal import explanation
from foxtailrelay_cli.internal import log_reader
from foxtailrelay_cli.internal import node_client
from foxtailrelay_cli.internal import printer
from foxtailrelay_cli.internal import prompt

_Status = exit_status.ExitStatus


@dataclasses.dataclass
class Connection:
    """Options of the commands that send statements to a node."""

    node: typing.Annotated[
        list[str],
        cappa.Arg(
            long=True,
            default=cappa.Env('FOXTAILRELAY_NODE'),
            help='Address of a node, http://IP:PORT; can be repeated.',
        ),
    ]
    token: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('FOXTAILRELAY_TOKEN'),
            help='Bearer token NAME.SECRET.',
        ),
    ]
    json: typing.Annotated[
        bool, cappa.Arg(long=True, help='Print JSON lines.')
    ] = False
    wait_s: typing.Annotated[
        float,
        cappa.Arg(
            long=True,
            help='Seconds to wait until a change is in force on all nodes.',
        ),
    ] = 0.0
    at_revision: typing.Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help='Refuse to change objects changed after this revision.',
        ),
    ] = None

    def run(self, text: str) -> exit_status.ExitStatus:
        """Parse statements, send them and print their results."""
        parsed = language.parse(text)
        if isinstance(parsed, language.StatementError):
            print(parsed.text(), file=sys.stderr)
            return _Status.BAD_INPUT
        client = node_client.NodeClient(self.node, self.token)
        results = client.run(text, self.at_revision, self.wait_s)
        if isinstance(results, node_client.Unreachable):
            for cause in results.causes:
                print(f'no answer from {cause}', file=sys.stderr)
            return _Status.UNREACHABLE
        return printer.Printer(self.json).print_all(results)


@cappa.command(name='run')
@dataclasses.dataclass
class RunCommand(Connection):
    """Run statements from the command line or from a file."""

    statements: typing.Annotated[
        str, cappa.Arg(help='Statements, separated by semicolons.')
    ] = ''
    file: typing.Annotated[
        str, cappa.Arg(long=True, help='A file of statements.')
    ] = ''

    def execute(self) -> exit_status.ExitStatus:
        """Run the statements."""
        text = self.statements
        if self.file:
            try:
                text = pathlib.Path(self.file).read_text(encoding='utf-8')
            except (OSError, UnicodeDecodeError) as error:
                print(f'{self.file}: {error}', file=sys.stderr)
                return _Status.BAD_INPUT
        if not text.strip():
            print('no statements given; see --help', file=sys.stderr)
            return _Status.BAD_INPUT
        return self.run(text)


@cappa.command(name='prompt')
@dataclasses.dataclass
class PromptCommand(Connection):
    """Run statements from an interactive prompt."""

    def execute(self) -> exit_status.ExitStatus:
        """Run statements until the end of input."""
        status = _Status.DONE
        for text in prompt.read_statements():
            status = self.run(text)
        return status


@cappa.command(name='check-settings')
@dataclasses.dataclass
class CheckSettingsCommand:
    """Check a node's settings file without starting the node."""

    file: str

    def execute(self) -> exit_status.ExitStatus:
        """Print all errors in the file."""
        loaded = settings_module.load_file(self.file)
        if isinstance(loaded, settings_module.SettingsErrors):
            print(loaded.text(), file=sys.stderr)
            return _Status.BAD_INPUT
        print(f'{self.file}: settings of node {loaded.node.id} are valid')
        return _Status.DONE


@cappa.command(name='hash-token')
@dataclasses.dataclass
class HashTokenCommand:
    """Hash an operator's token for the settings file."""

    token: typing.Annotated[str, cappa.Arg(help='NAME.SECRET')]

    def execute(self) -> exit_status.ExitStatus:
        """Print the salt and the hash."""
        name = tokens.account_name(self.token)
        if name == self.token:
            print('token must have the form NAME.SECRET', file=sys.stderr)
            return _Status.BAD_INPUT
        salted = tokens.SaltedHash.from_token(self.token)
        print(
            f'{{"name": "{name}", "salt": "{salted.salt}", '
            f'"token_hash": "{salted.token_hash}"}}'
        )
        return _Status.DONE


@cappa.command(name='explain')
@dataclasses.dataclass
class ExplainCommand:
    """Explain the decisions on one request from the logs of nodes."""

    request_id: typing.Annotated[
        str, cappa.Arg(help="Id of the caller's request.")
    ]
    files: typing.Annotated[
        list[str], cappa.Arg(help='Log files of the nodes.', num_args=-1)
    ]

    def execute(self) -> exit_status.ExitStatus:
        """Print the decisions of all nodes in order."""
        lines = log_reader.read_files(self.files)
        if isinstance(lines, log_reader.LogErrors):
            for error in lines.lines:
                print(error, file=sys.stderr)
            return _Status.BAD_INPUT
        text = explanation.explain(self.request_id, lines)
        if not text:
            print(
                f'none of {len(self.files)} files has a line on request '
                f'{self.request_id}; pass the log files of all nodes',
                file=sys.stderr,
            )
            return _Status.BAD_INPUT
        print('\n'.join(text))
        return _Status.DONE


@cappa.command(name='foxtailrelay')
@dataclasses.dataclass
class OperatorCommand:
    """Query and control a foxtailrelay system."""

    command: cappa.Subcommands[
        RunCommand
        | PromptCommand
        | CheckSettingsCommand
        | HashTokenCommand
        | ExplainCommand
    ]


def main() -> None:
    """Run the command line and exit with the status of the command."""
    sys.exit(int(cappa.parse(OperatorCommand).command.execute()))
