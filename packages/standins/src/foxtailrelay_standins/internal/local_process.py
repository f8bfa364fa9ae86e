"""One process of a local cluster."""

import pathlib
import signal
import subprocess


class LocalProcess:
    """A process started for a demo, a benchmark or a test.

    Parameters
    ----------
    name : str
        Names the process and its output file.
    command : list of str
        Program and arguments.
    directory : pathlib.Path
        Where the output goes.
    """

    def __init__(
        self, name: str, command: list[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self.output_path = directory / f'{name}.log'
        with self.output_path.open('wb') as output:
            self._process = subprocess.Popen(
                command, stdout=output, stderr=subprocess.STDOUT
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """Exit status; None while it runs."""
        return self._process.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the end; None if it did not come in time."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """End the process at once and wait for it."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()

    def output(self) -> str:
        """Return what it has printed."""
        return self.output_path.read_text(encoding='utf-8', errors='replace')
