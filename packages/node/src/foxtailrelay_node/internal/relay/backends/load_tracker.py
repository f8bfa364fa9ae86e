"""What is known of the load and speed of each backend server."""

import collections
import math
import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay import answer_head
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import moving_average
from foxtailrelay_node.internal.relay.backends import prefix_cache_tracker
from foxtailrelay_node.internal.relay import caller_request
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.policy import server_view

# Weight of a new sample in the learned speed and failure share.
_LEARNING_RATE = 0.2
# Bounds of a learned speed, as a multiple of the service's usual one.
_SLOWEST = 0.1
_FASTEST = 4.0
# After a failure a server is avoided this long, doubled by each further one.
_FIRST_AVOID_S = 0.5
_LONGEST_AVOID_S = 4.0
# A load told by a server in an answer says little after this long.
_TOLD_LOAD_S = 0.5
# What a peer said of its load says little after this long.
_PEER_LOAD_S = 3.0
# A server that is no longer listed is forgotten after this long.
_FORGET_S = 60.0


class _PeerLoad(typing.NamedTuple):
    load: messages.ServerLoad
    at_s: float


class _ServerBook:
    """What is known of one start of a server."""

    def __init__(self, kv_capacity_tokens: int, now_s: float) -> None:
        self.running = moving_average.MovingAverage(now_s)
        self.pending_tokens = moving_average.MovingAverage(now_s)
        self.speed = 1.0
        self.failures_in_row = 0
        self.avoid_until_s = -math.inf
        self.failure_share = 0.0
        self.told: answer_head.ReportedLoad | None = None
        self.told_at_s = -math.inf
        self.last_use_s = now_s
        self.prefixes = prefix_cache_tracker.PrefixCacheTracker(
            kv_capacity_tokens
        )


class LoadTracker:
    """Load, speed, failures and cached prompts by backend server.

    Parameters
    ----------
    clock : Clock
        Judges ages.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._book_by_key: dict[tuple[str, int], _ServerBook] = {}
        self._peer_loads_by_server: dict[str, dict[str, _PeerLoad]] = (
            collections.defaultdict(dict)
        )

    def view(
        self,
        server: backend_server.BackendServer,
        parts: typing.Sequence[caller_request.PromptPart] = (),
        kv_capacity_tokens: int = 0,
    ) -> server_view.ServerView:
        """Return what a decision needs to know of a server."""
        book = self._book(server, kv_capacity_tokens)
        now_s = self._clock.boot_s()
        peer_running = 0
        peer_pending = 0
        for peer in self._peer_loads_by_server.get(server.id, {}).values():
            if now_s - peer.at_s < _PEER_LOAD_S:
                peer_running += peer.load.running
                peer_pending += peer.load.pending_tokens
        running = book.running.current + peer_running
        if book.told and now_s - book.told_at_s < _TOLD_LOAD_S:
            running = max(running, book.told.running + book.told.waiting)
        return server_view.ServerView(
            server,
            running,
            book.pending_tokens.current + peer_pending,
            book.speed,
            book.prefixes.cached_tokens(parts),
            book.failure_share,
            now_s < book.avoid_until_s,
        )

    def record_sent(
        self,
        server: backend_server.BackendServer,
        parts: typing.Sequence[caller_request.PromptPart],
        uncached_tokens: int,
    ) -> None:
        """Note that a request is being sent."""
        book = self._book(server)
        now_s = self._clock.boot_s()
        book.running.add(1, now_s)
        book.pending_tokens.add(uncached_tokens, now_s)
        book.prefixes.record_prompt(parts)

    def record_first_event(
        self, server: backend_server.BackendServer, uncached_tokens: int
    ) -> None:
        """Note the first event, or the end without one."""
        now_s = self._clock.boot_s()
        self._book(server).pending_tokens.add(-uncached_tokens, now_s)

    def record_end(self, server: backend_server.BackendServer) -> None:
        """Note that a request is no longer under way."""
        self._book(server).running.add(-1, self._clock.boot_s())

    def record_speed(
        self, server: backend_server.BackendServer, ratio: float
    ) -> None:
        """Learn from how fast a server was against what was expected."""
        book = self._book(server)
        speed = book.speed * min(2.0, max(0.5, ratio))
        learned = book.speed + _LEARNING_RATE * (speed - book.speed)
        book.speed = min(_FASTEST, max(_SLOWEST, learned))

    def record_reported_load(
        self,
        server: backend_server.BackendServer,
        load: answer_head.ReportedLoad,
    ) -> None:
        """Note what a server told of its load."""
        book = self._book(server)
        book.told = load
        book.told_at_s = self._clock.boot_s()

    def record_success(self, server: backend_server.BackendServer) -> None:
        """Note a sound answer."""
        book = self._book(server)
        book.failures_in_row = 0
        book.avoid_until_s = -math.inf
        book.failure_share -= _LEARNING_RATE * book.failure_share

    def record_failure(self, server: backend_server.BackendServer) -> None:
        """Avoid a server for a while after a failure of its own."""
        book = self._book(server)
        pause_s = min(
            _LONGEST_AVOID_S, _FIRST_AVOID_S * 2**book.failures_in_row
        )
        book.failures_in_row += 1
        book.avoid_until_s = self._clock.boot_s() + pause_s
        book.failure_share += _LEARNING_RATE * (1 - book.failure_share)

    def own_loads(self) -> tuple[messages.ServerLoad, ...]:
        """Return what this node has had under way lately, for its report.

        A prompt is read within a few tenths of a second, and a report is
        older than that when it is used: a mean tells more than the moment.
        """
        now_s = self._clock.boot_s()
        loads = (
            messages.ServerLoad(
                key[0],
                round(book.running.end_interval(now_s)),
                round(book.pending_tokens.end_interval(now_s)),
            )
            for key, book in self._book_by_key.items()
        )
        return tuple(
            load for load in loads if load.running or load.pending_tokens
        )

    def replace_peer_loads(
        self,
        node_id: str,
        loads: typing.Iterable[messages.ServerLoad],
        age_s: float,
    ) -> None:
        """Replace what a peer has under way."""
        for peer_loads in self._peer_loads_by_server.values():
            peer_loads.pop(node_id, None)
        at_s = self._clock.boot_s() - age_s
        for load in loads:
            peer_load = _PeerLoad(load, at_s)
            self._peer_loads_by_server[load.server][node_id] = peer_load

    def evict_unused(self) -> None:
        """Forget servers that have not been looked at for long."""
        oldest_s = self._clock.boot_s() - _FORGET_S
        for key, book in list(self._book_by_key.items()):
            if book.last_use_s < oldest_s and not book.running.current:
                del self._book_by_key[key]
        for server_id, loads in list(self._peer_loads_by_server.items()):
            if not loads:
                del self._peer_loads_by_server[server_id]

    def _book(
        self, server: backend_server.BackendServer, kv_capacity_tokens: int = 0
    ) -> _ServerBook:
        now_s = self._clock.boot_s()
        book = self._book_by_key.get(server.instance_key)
        if book is None:
            book = _ServerBook(kv_capacity_tokens, now_s)
            self._book_by_key[server.instance_key] = book
        book.last_use_s = now_s
        return book
