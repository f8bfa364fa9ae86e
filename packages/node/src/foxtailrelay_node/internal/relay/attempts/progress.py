"""Progress of a request over its attempts."""

import dataclasses
import math

from foxtailrelay_core import messages
import trio

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import memory_lease
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay import answer_head
from foxtailrelay_node.internal.relay.attempts import instance_prover
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.policy import stream_position
from foxtailrelay_node.internal.relay.policy import stream_version


@dataclasses.dataclass
class Progress:
    """Progress of a request over its attempts.

    Parameters
    ----------
    position : StreamPosition
        The events that the caller has.
    stream_head : AnswerHead or None
        Head of the answer that began the stream; the caller has it.
    has_empty_answer : bool
        Whether a server answered that no event follows those of the caller.
    sent_count : int
        Number of times that it was sent to a backend server.
    may_have_run : bool
        Whether a backend server may have run it.
    is_usage_recorded : bool
        Whether its usage was counted.
    tried_ids : set of str
        Ids of servers that it was sent to.
    first_part_s, max_gap_s : float or None
        Seconds from the request to the first part of its answer, and the
        longest time between two parts.
    origin : StreamOrigin or None
        Where the stream began, if known.
    sole_version : str
        The only version that was listed while a stream may have begun; empty
        if not known.
    search_failure : str
        Why this node cannot find it, if another one may; else empty.
    requirement : VersionRequirement or None
        The servers that may go on with the stream, if it is resumed.
    instance_check : InstanceCheck or None
        Why it is not certain which instance answers the current attempt of a
        resumable stream, if that is so.
    witness : BackendConnection or None
        A second connection of the current attempt to its server, which shows
        whether the server's process has lived on.
    is_origin_recorded : bool
        Whether the origin was recorded for the caller's next attempts.
    attempt_sent_at_s : float
        When the current attempt was sent, in seconds since boot.
    attempt_deadline_s : float
        The deadline that its server was given, in seconds since boot.
    attempt_first_event_at_s : float or None
        When the first event of the current attempt was received, in seconds
        since boot.
    last_part_at_s : float or None
        When the last part of a stream was received, in seconds since boot.
    open_at_s : float or None
        When the connection of the stream was last known to be open.
    connection_ended_at_s : float
        When the connection of the last answer without a length ended, in
        seconds since boot.
    unconfirmed_end : CancelScope or None
        Limits the time in which another server may show that the stream goes
        on after its end, while one is asked.
    end_proof : str
        What shows that the answer of the current attempt is whole; empty if
        it is not.
    long_bytes : int
        Bytes that were forwarded of an answer that is too long to be
        collected.
    answer_lease : MemoryLease or None
        The memory of the last answer that was collected.
    """

    position: stream_position.StreamPosition = dataclasses.field(
        default_factory=stream_position.StreamPosition
    )
    stream_head: answer_head.AnswerHead | None = None
    has_empty_answer: bool = False
    sent_count: int = 0
    may_have_run: bool = False
    is_usage_recorded: bool = False
    tried_ids: set[str] = dataclasses.field(default_factory=set)
    first_part_s: float | None = None
    max_gap_s: float | None = None
    origin: messages.StreamOrigin | None = None
    sole_version: str = ''
    search_failure: str = ''
    requirement: stream_version.VersionRequirement | None = None
    instance_check: instance_prover.InstanceCheck | None = None
    witness: backend_connection.BackendConnection | None = None
    is_origin_recorded: bool = False
    attempt_sent_at_s: float = 0.0
    attempt_deadline_s: float = math.inf
    attempt_first_event_at_s: float | None = None
    unconfirmed_end: trio.CancelScope | None = None
    end_proof: str = ''
    long_bytes: int = 0
    answer_lease: memory_lease.MemoryLease | None = None
    last_part_at_s: float | None = None
    open_at_s: float | None = None
    connection_ended_at_s: float = -math.inf

    @property
    def forwarded_event_id(self) -> int | None:
        """Id of the last event that this node has forwarded, if any."""
        return self.position.last_id if self.stream_head else None

    @property
    def may_go_on(self) -> bool:
        """Whether another answer can take up what the caller has."""
        return self.position.is_certain

    async def close_witness(self) -> None:
        """Close the witness of the current attempt, if it has one."""
        witness, self.witness = self.witness, None
        if witness is not None:
            with trio.CancelScope(shield=True):
                await witness.aclose()

    def refute_empty_answer(self) -> None:
        """Record that events have followed after an answer without any."""
        self.has_empty_answer = False

    def settle_end(self) -> None:
        """Record that a server has shown whether the stream goes on."""
        scope, self.unconfirmed_end = self.unconfirmed_end, None
        if scope is not None:
            scope.deadline = math.inf

    def open_answer(
        self, memory: memory_budget.MemoryBudget, server_id: str
    ) -> memory_lease.MemoryLease:
        """Return a lease for an answer, in place of the one before."""
        self.close_answer()
        self.answer_lease = memory.open_lease(
            purposes.Purpose.ANSWER, server_id
        )
        return self.answer_lease

    def close_answer(self) -> None:
        """Give back the memory of the last answer."""
        if self.answer_lease is not None:
            self.answer_lease.close()

    def may_use(self, server: backend_server.BackendServer) -> bool:
        """Whether a server may get the request."""
        return self.requirement is None or self.requirement.allows(server)

    def record_part(self, received_at_s: float, now_s: float) -> None:
        """Record the time of a part of the answer."""
        if self.first_part_s is None:
            self.first_part_s = now_s - received_at_s
        else:
            gap_s = now_s - (self.last_part_at_s or now_s)
            self.max_gap_s = max(gap_s, self.max_gap_s or 0.0)
        self.last_part_at_s = now_s
