"""When nodes could do their work, and when they were cut off."""

import contextlib
import math
import time
import typing

from soak import soak_times

_CONTACT_S = 3.0
# Callers learn of the end of a process a while after it.
_END_SEEN_S = 0.3


class NodeConditions:
    """Disruptions of nodes and cuts between them and backend servers.

    Parameters
    ----------
    hosts : list of str
        Addresses of the nodes.
    """

    def __init__(self, hosts: list[str]) -> None:
        self.hosts = hosts
        self.disruptions: list[soak_times.Disruption] = []
        self.node_cuts: list[soak_times.NodeCut] = []
        self.stops: list[soak_times.PlannedStop] = []

    def record_cut(self, host: str, is_cut: bool) -> None:
        """Record that a cut of a node from all servers begins or ends."""
        now_s = time.monotonic()
        self.node_cuts = [
            node_cut._replace(until_s=min(node_cut.until_s, now_s))
            if node_cut.host == host
            else node_cut
            for node_cut in self.node_cuts
        ]
        if is_cut:
            self.node_cuts.append(soak_times.NodeCut(host, now_s))

    def add_disruption(self, host: str, seconds: float = 0.0) -> None:
        """Record that a node cannot do its work from now on."""
        now_s = time.monotonic()
        self.disruptions.append(
            soak_times.Disruption(host, now_s, now_s + seconds)
        )

    @contextlib.contextmanager
    def stopping(self, host: str) -> typing.Iterator[None]:
        """Record that a node is being stopped meanwhile."""
        self.add_disruption(host, math.inf)
        index = len(self.disruptions) - 1
        stop = soak_times.PlannedStop(host, time.monotonic())
        try:
            yield
        finally:
            until_s = time.monotonic()
            self.disruptions[index] = self.disruptions[index]._replace(
                until_s=until_s
            )
            self.stops.append(stop._replace(until_s=until_s))

    def was_only_stopping(self, host: str, at_s: float) -> bool:
        """Whether a node was in a stop at a time, and not harmed besides."""
        for stop in self.stops:
            if stop.host != host or not (
                stop.from_s <= at_s <= stop.until_s + _END_SEEN_S
            ):
                continue
            harms = [
                disruption
                for disruption in self.disruptions
                if disruption.host == host
                and disruption.from_s <= stop.until_s
                and disruption.until_s >= stop.from_s - _CONTACT_S
            ]
            return len(harms) == 1
        return False

    @contextlib.contextmanager
    def all_disrupted(self) -> typing.Iterator[None]:
        """Record that the links among nodes are harmed meanwhile."""
        index = len(self.disruptions)
        now_s = time.monotonic()
        self.disruptions += [
            soak_times.Disruption(host, now_s, math.inf) for host in self.hosts
        ]
        try:
            yield
        finally:
            for place in range(index, index + len(self.hosts)):
                self.disruptions[place] = self.disruptions[place]._replace(
                    until_s=time.monotonic()
                )

    def is_in_touch(self, host: str, at_s: float) -> bool:
        """Whether a node has done its work for a while at a time."""
        return not any(
            disruption.host == host
            and disruption.from_s <= at_s
            and disruption.until_s >= at_s - _CONTACT_S
            for disruption in self.disruptions
        )

    def was_cut_off(self, host: str, at_s: float) -> bool:
        """Whether a node was recently cut off from all servers at a time."""
        return any(
            node_cut.host == host
            and node_cut.from_s <= at_s
            and node_cut.until_s >= at_s - _CONTACT_S
            for node_cut in self.node_cuts
        )
