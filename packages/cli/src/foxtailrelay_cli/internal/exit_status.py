"""The exit statuses of the command."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a command; documented, so that scripts can use it."""

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2
    NOT_ALLOWED = 3
    UNREACHABLE = 4
    CONFLICT = 5
    NOT_IN_FORCE_EVERYWHERE = 6


STATUS_BY_PROBLEM = {
    'bad-statement': ExitStatus.BAD_INPUT,
    'bad-request': ExitStatus.BAD_INPUT,
    'unauthenticated': ExitStatus.NOT_ALLOWED,
    'no-grant': ExitStatus.NOT_ALLOWED,
    'conflict': ExitStatus.CONFLICT,
}
