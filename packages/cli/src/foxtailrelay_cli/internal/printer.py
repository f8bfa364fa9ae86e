"""Prints results of statements as tables or as JSON lines."""

import json
import sys
import typing

import tabulate

from foxtailrelay_cli.internal import exit_status

_Status = exit_status.ExitStatus


class Printer:
    """Prints results and derives the exit status.

    Parameters
    ----------
    as_json : bool
        Whether to print one JSON object a line instead of tables.
    """

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json

    def print_all(
        self, results: list[dict[str, typing.Any]]
    ) -> exit_status.ExitStatus:
        """Print results in order; return the exit status of the last."""
        status = _Status.DONE
        for result in results:
            status = self._print(result)
        return status

    def _print(self, result: dict[str, typing.Any]) -> exit_status.ExitStatus:
        if self._as_json:
            self._print_json(result)
        else:
            self._print_text(result)
        if result['kind'] == 'problem':
            return exit_status.STATUS_BY_PROBLEM.get(
                result['problem'], _Status.FAILED
            )
        if result.get('in_force', 0) < result.get('node_count', 0):
            return _Status.NOT_IN_FORCE_EVERYWHERE
        return _Status.DONE

    def _print_json(self, result: dict[str, typing.Any]) -> None:
        if result['kind'] != 'table':
            print(json.dumps(result))
            return
        for row in result['rows']:
            print(json.dumps(dict(zip(result['columns'], row, strict=True))))

    def _print_text(self, result: dict[str, typing.Any]) -> None:
        if result['kind'] == 'table':
            print(
                tabulate.tabulate(
                    result['rows'], headers=result['columns'], tablefmt='psql'
                )
            )
            count = len(result['rows'])
            print(f'{count} row{"" if count == 1 else "s"}')
        elif result['kind'] == 'done':
            line = f'{result["message"]} at revision {result["revision"]}'
            if result['node_count']:
                line += (
                    f', in force on {result["in_force"]} of '
                    f'{result["node_count"]} nodes'
                )
            print(line)
        else:
            print(f'{result["problem"]}: {result["detail"]}', file=sys.stderr)
