"""A store that carries out some appends late and does not answer them."""

import random
import time
from urllib import parse

from foxtailrelay_node.internal.relay.http import caller_connection
import trio

from standin import store

_APPEND_PATH = '/-/log-append'
_LATE_S = (1.0, 6.0)
# Longer than nodes wait for an answer.
_UNANSWERED_S = 3.0


class LateStore(store.StoreStandIn):
    """The stand-in of the store, where appends may come late.

    Attributes
    ----------
    late_share : float
        Share of the appends that are done 1 to 6 s later and not answered.
    late_count : int
        Appends that were done late.
    """

    def __init__(self) -> None:
        super().__init__()
        self.late_share = 0.0
        self.late_count = 0
        self._rng = random.Random(0)
        self._late_appends: list[tuple[float, str, bytes]] = []

    async def handle(self, request, connection) -> None:
        """Answer a call, or carry it out later."""
        self.append_due()
        target = request.target.decode()
        if (
            target.startswith(_APPEND_PATH)
            and not self.faults.failure_mode
            and self._rng.random() < self.late_share
        ):
            due_s = time.monotonic() + self._rng.uniform(*_LATE_S)
            self._late_appends.append((due_s, target, request.body))
            await trio.sleep(_UNANSWERED_S)
            raise caller_connection.CallerDisconnected('no answer')
        await super().handle(request, connection)

    def append_due(self) -> None:
        """Carry out the late appends that are due.

        Each call does so first, so that all see what a timer would leave.
        """
        now_s = time.monotonic()
        due = [late for late in self._late_appends if late[0] <= now_s]
        for late in sorted(due):
            self._late_appends.remove(late)
            self.late_count += 1
            _, target, body = late
            fields = dict(parse.parse_qsl(target.partition('?')[2]))
            status, _ = self._append(self.topic(fields['topic']), fields, body)
            if status == 200:
                self.watch_append(fields['topic'], body)
