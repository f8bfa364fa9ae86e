"""This node's view of the load and speed of each backend server."""

import collections
import math
import typing

from foxtailrelay_core import messages
import logbook

from foxtailrelay_node.internal.relay import answer_head
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import moving_average
from foxtailrelay_node.internal.relay.backends import prefix_cache_tracker
from foxtailrelay_node.internal.relay.backends import server_paces
from foxtailrelay_node.internal.relay.backends import service_speeds
from foxtailrelay_node.internal.relay import caller_request
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.policy import first_event_model
from foxtailrelay_node.internal.relay.policy import server_view
from foxtailrelay_node.internal.relay.policy import speed_estimate

_LOG = logbook.Logger('foxtailrelay.backends')
# Weight of a new sample in the moving average of failures.
_SMOOTHING_FACTOR = 0.2
# Time for which a server is avoided after a failure; each further failure in a
# row doubles it.
_INITIAL_AVOID_S = 0.5
_MAX_AVOID_S = 4.0
# Age at which the load that a server reported in an answer is outdated.
_REPORTED_LOAD_MAX_AGE_S = 0.5
# Age at which the load that a peer reported is outdated.
_PEER_LOAD_MAX_AGE_S = 3.0
_EVICT_AFTER_S = 60.0


class _PeerLoad(typing.NamedTuple):
    load: messages.ServerLoad
    at_s: float


class _ServerStats:
    """Statistics of one server instance."""

    def __init__(
        self, kv_capacity_tokens: int, now_s: float, sent_number: int
    ) -> None:
        self.running = moving_average.MovingAverage(now_s)
        self.pending_tokens = moving_average.MovingAverage(now_s)
        self.speed = 1.0
        self.consecutive_failures = 0
        self.avoid_until_s = -math.inf
        self.failure_share = 0.0
        self.reported: answer_head.ReportedLoad | None = None
        self.reported_at_s = -math.inf
        self.is_unreadable_logged = False
        self.last_used_s = now_s
        self.sent_at_s = now_s
        self.sent_number = sent_number
        self.prefixes = prefix_cache_tracker.PrefixCacheTracker(
            kv_capacity_tokens
        )


class LoadTracker:
    """Tracks load, speed, failures and cached prompts of backend servers.

    Parameters
    ----------
    clock : Clock
        Clock for the ages of loads and failures.
    paces : ServerPaces, optional
        How long work takes on the servers at the moment; by default known to
        this tracker only.
    speeds : ServiceSpeeds, optional
        What is learned of the speed of engines; by default from what this
        tracker records only.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        paces: server_paces.ServerPaces | None = None,
        speeds: service_speeds.ServiceSpeeds | None = None,
    ) -> None:
        self._clock = clock
        self.paces = paces or server_paces.ServerPaces(clock)
        self.speeds = speeds or service_speeds.ServiceSpeeds(clock)
        self._stats_by_key: dict[tuple[str, int], _ServerStats] = {}
        self._peer_loads_by_server: dict[str, dict[str, _PeerLoad]] = (
            collections.defaultdict(dict)
        )
        self._loaded_servers_by_node: dict[str, list[str]] = {}
        self._sent_by_service: collections.Counter[str] = collections.Counter()
        self._keys_by_service: dict[str, set[tuple[str, int]]] = (
            collections.defaultdict(set)
        )

    def view(
        self,
        server: backend_server.BackendServer,
        parts: typing.Sequence[caller_request.PromptPart] = (),
        kv_capacity_tokens: int = 0,
    ) -> server_view.ServerView:
        """Return a server's state for a placement decision."""
        stats = self._stats(server, kv_capacity_tokens)
        now_s = self._clock.boot_s()
        peer_running = 0
        peer_pending = 0
        for peer in self._peer_loads_by_server.get(server.id, {}).values():
            if now_s - peer.at_s < _PEER_LOAD_MAX_AGE_S:
                peer_running += peer.load.running
                peer_pending += peer.load.pending_tokens
        running = stats.running.current + peer_running
        if (
            stats.reported
            and now_s - stats.reported_at_s < _REPORTED_LOAD_MAX_AGE_S
        ):
            running = max(
                running, stats.reported.running + stats.reported.waiting
            )
        speed_age = 0.0
        if not kv_capacity_tokens:
            speed_age = speed_estimate.age(
                now_s - stats.sent_at_s,
                self._sent_by_service[server.service] - stats.sent_number,
                len(self._keys_by_service[server.service]),
            )
        figures = self.speeds.in_use(server.service)
        speed = stats.speed if figures is None else self.speeds.speed(server)
        return server_view.ServerView(
            server,
            running,
            stats.pending_tokens.current + peer_pending,
            speed,
            stats.prefixes.cached_tokens(parts),
            stats.failure_share,
            now_s < stats.avoid_until_s,
            speed_age,
            self.paces.predict(server.id),
            figures,
            self.paces.is_known(server.id),
        )

    def own_running(self, server: backend_server.BackendServer) -> int:
        """Return the requests of this node that are at a server."""
        return self._stats(server).running.current

    def record_sent(
        self,
        server: backend_server.BackendServer,
        parts: typing.Sequence[caller_request.PromptPart],
        uncached_tokens: int,
    ) -> None:
        """Record that a request is being sent."""
        stats = self._stats(server)
        now_s = self._clock.boot_s()
        self._sent_by_service[server.service] += 1
        stats.sent_number = self._sent_by_service[server.service]
        stats.sent_at_s = now_s
        stats.running.add(1, now_s)
        stats.pending_tokens.add(uncached_tokens, now_s)
        stats.prefixes.record_prompt(parts)

    def record_first_event(
        self, server: backend_server.BackendServer, uncached_tokens: int
    ) -> None:
        """Record the first event, or the end of a request without one."""
        now_s = self._clock.boot_s()
        self._stats(server).pending_tokens.add(-uncached_tokens, now_s)

    def record_end(self, server: backend_server.BackendServer) -> None:
        """Record that a request has ended."""
        self._stats(server).running.add(-1, self._clock.boot_s())

    def record_speed(
        self,
        server: backend_server.BackendServer,
        ratio: float,
        speed_age: float = 0.0,
        relative_duration: float = 1.0,
    ) -> None:
        """Record the ratio of expected to measured time.

        What the machine was slower than expected in the meantime is not held
        against the server.

        Parameters
        ----------
        server : BackendServer
            The server.
        ratio : float
            Expected by measured time.
        speed_age : float
            Age of the speed when the request was placed, in lifetimes.
        relative_duration : float
            Relative duration that was expected of the server.
        """
        # The expected time was then not computed with this speed.
        if self.speeds.in_use(server.service) is not None:
            return
        stats = self._stats(server)
        current = self.paces.estimate(server.id)
        ratio *= (relative_duration + current) / 2 / relative_duration
        stats.speed = speed_estimate.update(stats.speed, ratio, speed_age)

    def record_first_event_s(
        self,
        view: server_view.ServerView,
        uncached_tokens: int,
        measured_s: float,
    ) -> None:
        """Record the time to the first event of a prompt.

        Times of requests that had to wait for a slot show no speed, and
        those of plain services belong to no prompt.

        Parameters
        ----------
        view : ServerView
            The engine, when the request was placed.
        uncached_tokens : int
            Tokens that it was not expected to have cached.
        measured_s : float
            Seconds from sending the request to the first event.
        """
        if not uncached_tokens or view.running >= view.server.slots:
            return
        current = self.paces.estimate(view.server.id)
        self.speeds.record(
            view.server,
            first_event_model.FirstEventSample(
                uncached_tokens,
                view.pending_tokens,
                view.running,
                measured_s / ((view.relative_duration + current) / 2),
            ),
        )

    def record_reported_load(
        self,
        server: backend_server.BackendServer,
        load: answer_head.ReportedLoad,
    ) -> None:
        """Record the load that a server reported."""
        stats = self._stats(server)
        stats.reported = load
        stats.reported_at_s = self._clock.boot_s()
        if load.relative_duration is not None:
            self.paces.record_answer(server.id, load.relative_duration)

    def record_unreadable_load(
        self, server: backend_server.BackendServer, text: bytes
    ) -> None:
        """Log, once for each server, a load that is not readable."""
        stats = self._stats(server)
        if stats.is_unreadable_logged:
            return
        stats.is_unreadable_logged = True
        _LOG.warning(
            'server-load-unreadable',
            extra={
                'server': server.id,
                'service': server.service,
                'value': text,
                'effect': 'the unreadable figures are ignored',
            },
        )

    def record_success(self, server: backend_server.BackendServer) -> None:
        """Record a valid answer."""
        stats = self._stats(server)
        stats.consecutive_failures = 0
        stats.avoid_until_s = -math.inf
        stats.failure_share -= _SMOOTHING_FACTOR * stats.failure_share

    def record_failure(self, server: backend_server.BackendServer) -> None:
        """Record a failure; avoid the server, longer after each in a row."""
        stats = self._stats(server)
        avoid_s = min(
            _MAX_AVOID_S, _INITIAL_AVOID_S * 2**stats.consecutive_failures
        )
        stats.consecutive_failures += 1
        stats.avoid_until_s = self._clock.boot_s() + avoid_s
        stats.failure_share += _SMOOTHING_FACTOR * (1 - stats.failure_share)

    def build_loads(self) -> tuple[messages.ServerLoad, ...]:
        """Return the moving averages of this node's load, for its report.

        An engine processes a prompt within some tenths of a second, and a
        report is older than that when peers use it.  A mean is therefore more
        useful than the current value.
        """
        now_s = self._clock.boot_s()
        loads = (
            messages.ServerLoad(
                key[0],
                round(stats.running.end_interval(now_s)),
                round(stats.pending_tokens.end_interval(now_s)),
                *self.paces.own_report(key[0]),
            )
            for key, stats in self._stats_by_key.items()
        )
        return tuple(
            load
            for load in loads
            if load.running or load.pending_tokens or load.relative_percent
        )

    def record_peer_loads(
        self,
        node_id: str,
        loads: typing.Iterable[messages.ServerLoad],
        age_s: float,
    ) -> None:
        """Record the loads that a peer reported, replacing earlier ones."""
        for server_id in self._loaded_servers_by_node.pop(node_id, ()):
            peer_loads = self._peer_loads_by_server.get(server_id)
            if peer_loads is not None:
                peer_loads.pop(node_id, None)
        at_s = self._clock.boot_s() - age_s
        servers = []
        for load in loads:
            peer_load = _PeerLoad(load, at_s)
            self._peer_loads_by_server[load.server][node_id] = peer_load
            self.paces.record_percent(
                load.server,
                load.relative_percent,
                age_s + load.relative_age_ms / 1000,
            )
            servers.append(load.server)
        if servers:
            self._loaded_servers_by_node[node_id] = servers

    def evict_unused(self) -> None:
        """Evict the statistics of servers that were not used for a while."""
        evict_before_s = self._clock.boot_s() - _EVICT_AFTER_S
        self.paces.evict(evict_before_s)
        self.speeds.evict()
        for key, stats in list(self._stats_by_key.items()):
            if (
                stats.last_used_s < evict_before_s
                and not stats.running.current
            ):
                del self._stats_by_key[key]
                for keys in self._keys_by_service.values():
                    keys.discard(key)
        for server_id, loads in list(self._peer_loads_by_server.items()):
            if not loads:
                del self._peer_loads_by_server[server_id]

    def _stats(
        self, server: backend_server.BackendServer, kv_capacity_tokens: int = 0
    ) -> _ServerStats:
        now_s = self._clock.boot_s()
        stats = self._stats_by_key.get(server.instance_key)
        if stats is None:
            stats = _ServerStats(
                kv_capacity_tokens,
                now_s,
                self._sent_by_service[server.service],
            )
            self._stats_by_key[server.instance_key] = stats
            self._keys_by_service[server.service].add(server.instance_key)
        stats.last_used_s = now_s
        return stats
