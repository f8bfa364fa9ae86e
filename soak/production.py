"""The release in production, built from the repository's history."""

import io
import json
import pathlib
import subprocess
import tarfile
import typing

# The last landing.
LANDING = 'be1dd2b'
# What ``--production`` takes for the last landing.
LANDING_NAME = 'landing'
_PACKAGES = ('core', 'node')


class CommitNotFound(Exception):
    """The commit is not in the history of this clone."""


class Build(typing.NamedTuple):
    """The source of a node's release.

    Parameters
    ----------
    name : str
        Name for logs.
    folder : pathlib.Path
        Root of the sources.
    """

    name: str
    folder: pathlib.Path

    def python_path(self) -> list[str]:
        """Return the folders of the release's packages."""
        return [
            str(self.folder / 'packages' / package / 'src')
            for package in _PACKAGES
        ] + [str(self.folder / 'platform')]

    def start_line(self) -> str:
        """Return the line with which a node of this build begins its log."""
        path = self.folder / 'platform/foxtailrelay_platform/start.py'
        return json.dumps({'event': 'release-started', 'source': str(path)})


def working_tree() -> Build:
    """Return the build of the working tree."""
    return Build('new', pathlib.Path(__file__).resolve().parents[1])


def check_out(commit: str, folder: pathlib.Path) -> Build:
    """Extract the sources of a commit into a folder.

    Raises
    ------
    CommitNotFound
        If the history does not contain the commit.
    """
    commit = LANDING if commit == LANDING_NAME else commit
    archive = subprocess.run(
        ['git', 'archive', commit, 'packages', 'platform'],
        cwd=working_tree().folder,
        capture_output=True,
        check=False,
    )
    if archive.returncode:
        reason = archive.stderr.decode(errors='replace').strip()
        raise CommitNotFound(
            f'commit {commit} of the release in production is not in the '
            f'history of this clone ({reason}); fetch the whole history, or '
            'name another commit with --production'
        )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter='data')
    return Build('production', folder)
