"""One node as this node sees it."""

import typing

from foxtailrelay_core import messages


class Member(typing.NamedTuple):
    """What is known of a node.

    Parameters
    ----------
    digest : MemberDigest
        As it is passed on.
    since_s : float
        When this state was first seen here, by trio's clock.
    """

    digest: messages.MemberDigest
    since_s: float
