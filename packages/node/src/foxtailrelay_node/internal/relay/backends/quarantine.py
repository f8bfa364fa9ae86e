"""A part of prompts, or a request, that is not sent to servers."""

import typing

from foxtailrelay_node.internal.relay.policy import request_fingerprint


class Quarantine(typing.NamedTuple):
    """A suspect that is not sent to the servers of a service.

    Parameters
    ----------
    suspect_id : str
        A part of prompts, or the fingerprint of a request.
    crash_count : int
        Servers that it ended.
    last_crash_s, until_s : float
        When the last one ended, and when the quarantine ends, in seconds
        since boot.
    is_adopted : bool
        Whether only peers have reached the verdict so far.
    started_at_s : float
        When it started at this node, in seconds since boot.
    """

    suspect_id: str
    crash_count: int
    last_crash_s: float
    until_s: float
    is_adopted: bool = False
    started_at_s: float = 0.0

    @property
    def is_request(self) -> bool:
        """Whether it holds for a whole request, not for a part of prompts."""
        return request_fingerprint.is_fingerprint(self.suspect_id)

    @property
    def why(self) -> str:
        """Reason of a refusal, for the log and the caller."""
        if self.is_request:
            return (
                f'{self.crash_count} backend servers ended under requests '
                'with this method, path and body; change the request'
            )
        return (
            f'{self.crash_count} backend servers ended under prompts with '
            f'part {self.suspect_id}; send the request without it'
        )
