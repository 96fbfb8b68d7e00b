"""Callers of public queues who use the IDs of other callers' jobs."""

import random
import typing as t

import anyio
import attrs

from ...jobs.desk import SubmitOutcome
from ...jobs.messages import JobState
from ...jobs.routing import Route
from .callers import PATIENCE_S
from .callers import CallerNode
from .job_notes import JobNotes

CALLS = 3
"""Rounds of calls about one ID."""
PAUSE_S = 0.8
"""Longest pause before each of them."""


@attrs.frozen
class StrangerAnswer:
    """What a caller was told of a job that is not its own.

    :param at: monotonic seconds.
    :param job_id: ID of the job.
    :param call: the call.
    :param answer: the answer to it.
    """

    at: float
    job_id: str
    call: str
    answer: t.Any

    def reveals_the_job(self) -> bool:
        """Return whether the answer is that to a call about an existing job."""
        accepted = self.answer is SubmitOutcome.ACCEPTED
        return accepted or self.answer is True or isinstance(self.answer, JobState)


@attrs.define(eq=False)
class Strangers:
    """Calls public queues, where nobody has jobs, with the IDs of other jobs.

    :param nodes: lists the nodes that are up.
    :param routes: the public queues.
    :param rng: draws calls, apart from all else.
    :param answers: the answers.
    """

    nodes: t.Callable[[], list[CallerNode]]
    routes: t.Sequence[Route]
    rng: random.Random
    answers: list[StrangerAnswer] = attrs.field(factory=list)

    async def call(self, notes: JobNotes) -> None:
        """Ask for a job, cancel it, and hand another one in under its ID."""
        for _ in range(CALLS):
            await anyio.sleep(self.rng.uniform(0.0, PAUSE_S))
            nodes = self.nodes()
            if nodes and self.routes:
                with anyio.move_on_after(PATIENCE_S):
                    await self._call_once(notes, self.rng.choice(nodes))

    async def _call_once(self, notes: JobNotes, node: CallerNode) -> None:
        route = self.rng.choice(self.routes)
        job_id = notes.submission.job_id
        self._note(job_id, "asked", await node.get_state(route, job_id, ""))
        self._note(job_id, "cancelled", await node.cancel(route, job_id, ""))
        if route.policy.service != notes.route.policy.service:
            # there the ID is free, and the run of a second job would be allowed
            return
        submission = attrs.evolve(notes.submission, policy=route.policy, tenant="")
        self._note(job_id, "handed in", await node.submit(route, submission, ""))

    def _note(self, job_id: str, call: str, answer: t.Any) -> None:
        now = anyio.current_time()
        self.answers.append(StrangerAnswer(now, job_id, call, answer))
