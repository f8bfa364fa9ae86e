"""State of a cluster member in this node's view."""

import typing

from foxtailrelay_core import messages


class Member(typing.NamedTuple):
    """A member's digest and the time of its last change.

    Parameters
    ----------
    digest : MemberDigest
        State of the node in the form sent to other nodes.
    since_s : float
        When this node recorded the state, on trio's clock.
    """

    digest: messages.MemberDigest
    since_s: float
