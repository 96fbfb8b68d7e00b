"""A policy service that issues tickets, and takes time for each worker named."""

import typing as t
import zlib

import anyio
import attrs

from ...jobs.advice import Advice
from ...jobs.messages import AdviceTerms
from ...jobs.messages import TaskId
from ...jobs.messages import WorkerEntry
from ...jobs.workers import MS_PER_S
from ...jobs.workers import StartOrder
from .gate import NodeGate
from .gate import carry_out_elsewhere

_MAX_HASH = 2**32


@attrs.frozen(slots=True)
class _Issue:
    """A ticket that was issued.

    :param step: step that it is for.
    :param worker_id: worker that may run the step.
    :param valid_until: monotonic seconds.
    """

    step: str
    worker_id: str
    valid_until: float


@attrs.define(eq=False)
class EmulatedPolicy:
    """Decides which workers may run a step, by a hash of both.

    :param terms: how long it takes and its tickets last, by pool.
    :param shares: share of the workers that it allows, by pool.
    :param find_pool: tells the pool of a job.
    :param requests: number of workers named by each request.
    """

    find_pool: t.Callable[[str], str]
    terms: dict[str, AdviceTerms] = attrs.field(factory=dict)
    shares: dict[str, float] = attrs.field(factory=dict)
    requests: list[int] = attrs.field(factory=list)
    _issued: dict[str, _Issue] = attrs.field(factory=dict)
    _turns: dict[str, anyio.Lock] = attrs.field(factory=dict)

    async def decide(
        self, node: str, step: str, workers: t.Sequence[str]
    ) -> dict[str, str]:
        """Issue tickets for a step, after the requests of the node before.

        :param node: the calling node.
        :param step: job, occurrence and number of the step.
        :param workers: the workers named.
        """
        pool = self.find_pool(step.partition(".")[0])
        terms = self.terms[pool]
        async with self._turns.setdefault(node, anyio.Lock()):
            await anyio.sleep(terms.get_duration(len(workers)))
        self.requests.append(len(workers))
        valid_until = anyio.current_time() + terms.valid_ms / MS_PER_S
        tickets = {}
        for worker_id in workers:
            if self._is_allowed(pool, step, worker_id):
                ticket = f"{len(self._issued):08x}"
                self._issued[ticket] = _Issue(step, worker_id, valid_until)
                tickets[worker_id] = ticket
        return tickets

    def _is_allowed(self, pool: str, step: str, worker_id: str) -> bool:
        drawn = zlib.crc32(f"{step}/{worker_id}".encode()) / _MAX_HASH
        return drawn < self.shares.get(pool, 1.0)

    def get_valid_ms(self, step: str) -> int:
        """Return how long tickets of a step are valid, in milliseconds."""
        return self.terms[self.find_pool(step.partition(".")[0])].valid_ms

    def admits(self, order: StartOrder, entry: WorkerEntry) -> bool:
        """Return whether a worker may carry out a start order.

        :param order: the order.
        :param entry: the worker.
        """
        if entry.service not in self.terms:
            return True
        issue = self._issued.get(order.ticket)
        return (
            issue is not None
            and issue.step == get_step_name(order.task)
            and issue.worker_id == entry.worker_id
            and anyio.current_time() < issue.valid_until
        )


def get_step_name(task: TaskId) -> str:
    """Return job, occurrence and number of the step of a task."""
    return str(task).rpartition(".")[0]


@attrs.define(eq=False)
class EmulatedPolicyClient:
    """The policy service as one node reaches it, one call at a time.

    :param policy: the service.
    :param gate: freezes and cuts of the node.
    """

    policy: EmulatedPolicy
    gate: NodeGate
    _line: anyio.Lock = attrs.field(factory=anyio.Lock)

    @carry_out_elsewhere
    async def advise(
        self, step: str, workers: t.Sequence[str], duration_s: float
    ) -> Advice | None:
        """Request tickets for a step."""
        async with self._line:
            await self.gate.pass_through()
            sent_at = anyio.current_time()
            tickets = await self.policy.decide(self.gate.node, step, workers)
            await self.gate.pass_through()
        valid_s = self.policy.get_valid_ms(step) / MS_PER_S
        return Advice(tickets, valid_s, sent_at)
