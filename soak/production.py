"""The release in production, built from the repository's history."""

import io
import itertools
import json
import pathlib
import subprocess
import tarfile
import typing

# What stands for the last landing in place of a commit.
LANDING_NAME = 'landing'
_PACKAGES = ('core', 'node')
# Commits of one landing follow each other more closely.
_PAUSE_BETWEEN_LANDINGS_S = 1800


class CommitNotFound(Exception):
    """The commit is not in the history of this clone."""


class Commit(typing.NamedTuple):
    """A commit of the main branch.

    Parameters
    ----------
    name : str
        Its hash.
    at_s : int
        When it was committed, in Unix seconds.
    """

    name: str
    at_s: int


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


def check_out(
    commit: str, folder: pathlib.Path, name: str = 'production'
) -> Build:
    """Extract the sources of a commit into a folder.

    Raises
    ------
    CommitNotFound
        If the history does not contain the commit.
    """
    if commit == LANDING_NAME:
        commit = find_landing(_read_history())
    archive = _run_git('archive', commit, 'packages', 'platform')
    if archive.returncode:
        raise CommitNotFound(
            f'commit {commit} is not in the history of this clone '
            f'({_describe(archive)}); fetch the whole history, or name '
            'another commit'
        )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter='data')
    return Build(name, folder)


def find_landing(commits: typing.Sequence[Commit]) -> str:
    """Return the commit with which the last landing ended.

    Parameters
    ----------
    commits : sequence of Commit
        The commits of the main branch, the newest first.

    Raises
    ------
    CommitNotFound
        If the history does not reach back to it.

    Examples
    --------
    >>> find_landing([Commit('c', 9000), Commit('b', 8900), Commit('a', 100)])
    'a'
    """
    for newer, older in itertools.pairwise(commits):
        if newer.at_s - older.at_s > _PAUSE_BETWEEN_LANDINGS_S:
            return older.name
    raise CommitNotFound(
        'the history of this clone does not contain the last landing; fetch '
        'the whole history, or name a commit'
    )


def _read_history() -> list[Commit]:
    """Return the commits of the main branch, the newest first."""
    log = _run_git('log', '--first-parent', '--format=%H %ct')
    if log.returncode:
        raise CommitNotFound(
            f'the history cannot be read ({_describe(log)}); name a commit'
        )
    lines = [line.split() for line in log.stdout.decode().splitlines()]
    return [Commit(name, int(at_s)) for name, at_s in lines]


def _run_git(*words: str) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        ['git', *words],
        cwd=working_tree().folder,
        capture_output=True,
        check=False,
    )


def _describe(process: subprocess.CompletedProcess[bytes]) -> str:
    return process.stderr.decode(errors='replace').strip()
