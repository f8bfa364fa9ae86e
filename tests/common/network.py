"""The simulated network of a test cluster, with fault injection."""

import trio

LATENCY_S = 0.001


class Network:
    """Injects paused processes, blocked links and hanging connections.

    Endpoints are nodes ``n1``, backend servers ``b1``, engines ``e1``,
    and ``log`` and ``cloud``.
    """

    def __init__(self) -> None:
        self.freeze_before_order = False
        self.freeze_after_intent = False
        self._cut_pairs: set[frozenset[str]] = set()
        self._wake_event_by_name: dict[str, trio.Event] = {}
        self._hung_s_by_pair: dict[frozenset[str], float] = {}

    def cut(self, one: str, other: str) -> None:
        """Block all messages between two endpoints."""
        self._cut_pairs.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Unblock the messages between two endpoints."""
        self._cut_pairs.discard(frozenset((one, other)))

    def heal_all(self) -> None:
        """Unblock all links; connections that hang still hang."""
        self._cut_pairs.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether messages between two endpoints are blocked."""
        return frozenset((one, other)) in self._cut_pairs

    def hang_connections(self, one: str, other: str) -> None:
        """Make all connections that are open now hang; new ones work."""
        self._hung_s_by_pair[frozenset((one, other))] = trio.current_time()

    def is_hanging(self, one: str, other: str, opened_s: float) -> bool:
        """Return whether a connection opened at ``opened_s`` hangs."""
        hung_s = self._hung_s_by_pair.get(frozenset((one, other)))
        return hung_s is not None and opened_s <= hung_s

    def freeze(self, name: str) -> None:
        """Pause a process until ``wake``."""
        self._wake_event_by_name.setdefault(name, trio.Event())

    def wake(self, name: str) -> None:
        """Resume a paused process."""
        event = self._wake_event_by_name.pop(name, None)
        if event is not None:
            event.set()

    async def wait_while_frozen(self, name: str) -> None:
        """Wait while a process is paused."""
        while name in self._wake_event_by_name:
            await self._wake_event_by_name[name].wait()

    async def delay_message(self, source: str) -> None:
        """Wait until the sender is not paused, then for the latency."""
        await self.wait_while_frozen(source)
        await trio.sleep(LATENCY_S)
