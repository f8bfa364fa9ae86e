"""What stands between the parts of a test cluster, and its faults."""

import trio

LATENCY_S = 0.001


class Network:
    """Frozen processes, cut connections and connections gone silent.

    Parts are named: nodes ``n1``, backend servers ``b1``, engines ``e1``,
    and ``log`` and ``cloud``.
    """

    def __init__(self) -> None:
        self.freeze_before_order = False
        self.freeze_after_intent = False
        self._cut_pairs: set[frozenset[str]] = set()
        self._awake_by_name: dict[str, trio.Event] = {}
        self._silenced: dict[frozenset[str], float] = {}

    def cut(self, one: str, other: str) -> None:
        """Let nothing pass between two parts."""
        self._cut_pairs.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Let messages pass again."""
        self._cut_pairs.discard(frozenset((one, other)))

    def heal_all(self) -> None:
        """Undo all cuts."""
        self._cut_pairs.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether nothing passes between two parts."""
        return frozenset((one, other)) in self._cut_pairs

    def hang_connections(self, one: str, other: str) -> None:
        """Let all connections open now go silent; new ones work."""
        self._silenced[frozenset((one, other))] = trio.current_time()

    def is_hanging(self, one: str, other: str, opened_s: float) -> bool:
        """Tell whether a connection opened at a time has gone silent."""
        silenced_s = self._silenced.get(frozenset((one, other)))
        return silenced_s is not None and opened_s <= silenced_s

    def freeze(self, name: str) -> None:
        """Pause a process; it goes on where it was when woken."""
        self._awake_by_name.setdefault(name, trio.Event())

    def wake(self, name: str) -> None:
        """Let a paused process go on."""
        event = self._awake_by_name.pop(name, None)
        if event is not None:
            event.set()

    async def wait_while_frozen(self, name: str) -> None:
        """Wait while a process is paused."""
        while name in self._awake_by_name:
            await self._awake_by_name[name].wait()

    async def delay_message(self, source: str) -> None:
        """Spend the time of one message, and the pause of its sender."""
        await self.wait_while_frozen(source)
        await trio.sleep(LATENCY_S)
