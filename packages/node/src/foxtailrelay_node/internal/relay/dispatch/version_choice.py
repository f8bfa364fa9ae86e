"""Chooses the version for a request while its service changes versions."""

import random
import typing

from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.rollouts import rollout_board

_Result = placement_result.Placed | placement_result.NotPlaced


class VersionChoice(typing.NamedTuple):
    """The servers that a request may use.

    Nodes choose at random, each by itself: over all nodes the share is kept
    but for chance, without a call and without a part for each node, which in
    a large cluster would be less than a request.

    Parameters
    ----------
    excluded_ids, permitted_ids : frozenset of str
        Servers that the request must not use, and those that it may.
    """

    excluded_ids: frozenset[str]
    permitted_ids: frozenset[str]

    @classmethod
    def choose(
        cls,
        rollouts: rollout_board.RolloutBoard | None,
        servers: server_list.ServerList,
        job: jobs.Job,
        excluded: set[str],
        is_retry: bool,
    ) -> 'VersionChoice | None':
        """Choose for one attempt; None if all versions may be used."""
        gate = rollouts.gate(job.service) if rollouts is not None else None
        if gate is None:
            return None
        route = job.access.route
        usable = servers.usable(job.service)
        left = [server for server in usable if server.id not in excluded]
        share = rollouts.share(job.service, route.name, gate.share)
        is_target = random.random() < share
        if route.is_stream and (
            is_retry or job.request.last_event_id is not None
        ):
            # A stream goes on at the version that began it, if it still may;
            # servers of others have been excluded before.
            versions = {server.version for server in left}
            if versions == {gate.target}:
                is_target = True
            if versions.isdisjoint({gate.target}):
                is_target = False
        withheld = gate.excluded_ids(usable, is_target, excluded)
        return cls(
            withheld,
            frozenset(server.id for server in left) - withheld,
        )

    def permits(self, result: _Result | None) -> bool:
        """Whether a dispatcher, whose list is newer, chose such a server."""
        return (
            not isinstance(result, placement_result.Placed)
            or result.view.server.id in self.permitted_ids
        )
