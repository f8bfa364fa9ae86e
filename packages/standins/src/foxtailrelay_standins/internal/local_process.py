"""One process of a local cluster."""

import pathlib
import signal
import subprocess


class LocalProcess:
    """A process started for a demo, a benchmark or a test.

    Parameters
    ----------
    name : str
        Name of the process and of its output file.
    command : list of str
        Program and arguments.
    directory : pathlib.Path
        Directory of the output file.
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
        """Exit status; None while the process runs."""
        return self._process.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the exit status; None after the timeout."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()

    def output(self) -> str:
        """Return the output so far."""
        return self.output_path.read_text(encoding='utf-8', errors='replace')
