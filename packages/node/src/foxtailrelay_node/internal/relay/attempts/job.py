"""An accepted request and its route."""

import typing

from foxtailrelay_node.internal.relay import caller_request
from foxtailrelay_node.internal.relay import node_state


class Job(typing.NamedTuple):
    """An accepted request and its route.

    Parameters
    ----------
    request : CallerRequest
        The request.
    body : bytes
        Its whole body.
    access : Access
        Its route and organisation.
    service : str
        The service that answers it.
    received_at_s, deadline_s : float
        Arrival and deadline, in seconds since boot.
    fingerprint : str
        Equal for requests that differ only in their ids.
    """

    request: caller_request.CallerRequest
    body: bytes
    access: node_state.Access
    service: str
    received_at_s: float
    deadline_s: float
    fingerprint: str

    @property
    def may_have_no_event(self) -> bool:
        """Whether a stream without an event is the whole answer."""
        return self.request.answer_tokens == 0 or self.request.method == 'HEAD'

    @property
    def suspect_ids(self) -> tuple[str, ...]:
        """What may be to blame if a server ends under this request."""
        return (self.fingerprint, *self.shared_part_ids)

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts of the prompt that other requests may have.

        The last part belongs to the request or its session.
        """
        return tuple(part.id for part in self.request.prompt_parts[:-1])
