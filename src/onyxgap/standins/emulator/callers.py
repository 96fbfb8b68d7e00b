"""Callers: hand jobs in, ask for their state, cancel some; note what they are told."""

import math
import random
import typing as t

import anyio
import attrs

from ...jobs.desk import Denied
from ...jobs.desk import SubmitOutcome
from ...jobs.desk import Unavailable
from ...jobs.messages import QueuePolicy
from ...jobs.messages import Step
from ...jobs.messages import Submission
from ...jobs.messages import TaskId
from ...jobs.routing import Route
from ...jobs.tenants import KeyRejection
from .job_notes import Attempt
from .job_notes import JobNotes
from .job_notes import NoQueue
from .job_notes import SubmitAnswer
from .nature import TaskNature
from .script import LoadLine
from .script import ScheduleLine
from .script import ServeLine
from .tenancy import Tenancy

WALL_START_S = 1_800_000_000.0
"""Wall-clock time at the start of a day in virtual time."""
POLL_S = 0.5
RETRIES = 4
RETRY_S = 0.4
PATIENCE_S = 3.0
FORMER_TRIES = 4
WORK_SPREAD = 0.5
STRETCH = 1.6
SLO_MS = 600
MAX_ATTEMPTS = 3


_UNCERTAIN = (None, SubmitOutcome.UNKNOWN)


class CallerNode(t.Protocol):
    """A node as callers reach it, if it is up."""

    name: str

    async def submit(
        self, route: Route, submission: Submission, key: str
    ) -> SubmitAnswer:
        """Hand a job in; ``None`` when the connection broke."""

    async def get_state(self, route: Route, job_id: str, key: str) -> t.Any:
        """Ask for a job's state; ``Unavailable`` when the node gives none."""

    async def cancel(self, route: Route, job_id: str, key: str) -> t.Any:
        """Cancel a job."""


def _draw_step(load: LoadLine, number: int, rng: random.Random) -> Step:
    width = max(1, round(rng.lognormvariate(math.log(load.width), 0.4)))
    work_s = load.work * rng.lognormvariate(0, 0.3)
    return Step(
        count=width,
        cpu=int(load.cpu * 1000),
        memory_mb=int(load.memory * 1000),
        estimate_ms=int(work_s * 1000),
        after=(number - 1,) if number else (),
        checkpointing=rng.random() < 0.3,
        anti_affinity=2 if rng.random() < 0.1 else 0,
    )


@attrs.define(eq=False)
class Callers:
    """All callers of a day.

    :param nodes: gives the nodes in the order in which a caller tries them.
    :param rng: draws which node a caller tries, and when it returns.
    :param tenancy: tenants whose jobs they hand in, with their keys.
    :param seed: seed of the jobs.
    :param jobs: what they were told, by job.
    :param wall_start_s: wall-clock time at the start of the day.
    """

    nodes: t.Callable[[], list[CallerNode]]
    rng: random.Random
    tenancy: Tenancy
    seed: int = 0
    jobs: dict[str, JobNotes] = attrs.field(factory=dict)
    wall_start_s: float = WALL_START_S

    def find_nature(self, task: TaskId) -> TaskNature:
        """Find out what a task does wherever it is started."""
        notes = self.jobs[task.job_id]
        step = notes.submission.steps[task.step]
        if task not in notes.work_s:
            spread = self.rng.lognormvariate(0, 0.15)
            notes.work_s[task] = step.estimate_ms / 1000 * spread
        crashes = notes.crashing and (task.step, task.position) == (0, 0)
        return TaskNature(step, notes.work_s[task], notes.poison, crashes)

    def _add(
        self,
        route: Route,
        steps: tuple[Step, ...],
        objective_s: float,
        poison: bool,
        rng: random.Random,
    ) -> JobNotes:
        job_id = f"{rng.getrandbits(64):016x}"
        submission = Submission(
            job_id,
            route.policy,
            f"spec of {job_id}",
            steps,
            tenant=self.tenancy.draw_tenant(rng),
        )
        notes = JobNotes(
            submission, route, anyio.current_time(), objective_s, poison=poison
        )
        self.jobs[job_id] = notes
        return notes

    async def run_load(
        self,
        load: LoadLine,
        route: Route,
        is_due: t.Callable[[], float],
        on_accepted: t.Callable[[JobNotes], None] = lambda notes: None,
    ) -> None:
        """Hand jobs in at random moments.

        :param load: how many and which.
        :param route: where.
        :param is_due: factor on the rate at this moment.
        :param on_accepted: called with each job that was accepted.
        """
        # drawn apart from all else, so that each policy meets the same jobs
        rng = random.Random(f"{load.pool}/{load.start}/{self.seed}")
        await anyio.sleep(load.start)
        async with anyio.create_task_group() as group:
            while anyio.current_time() < load.stop:
                rate = is_due() / load.every
                await anyio.sleep(rng.expovariate(rate) if rate else load.every)
                if anyio.current_time() >= load.stop:
                    return
                steps = tuple(
                    _draw_step(load, number, rng) for number in range(load.steps)
                )
                chain_ms = sum(step.estimate_ms for step in steps)
                objective_s = (STRETCH * chain_ms + SLO_MS) / 1000
                poison = rng.random() < load.poison
                notes = self._add(route, steps, objective_s, poison, rng)
                # a load without such jobs draws nothing, so that its day stays the same
                notes.crashing = bool(load.crashing) and rng.random() < load.crashing
                notes.withdrawn = bool(load.withdraw) and rng.random() < load.withdraw
                group.start_soon(self._live, notes, load, on_accepted)

    async def run_service(self, serve: ServeLine, route: Route) -> None:
        """Hand in a job that serves until the end.

        :param serve: its tasks.
        :param route: where.
        """
        step = Step(
            count=serve.tasks,
            cpu=int(serve.cpu * 1000),
            memory_mb=int(serve.memory * 1000),
            long_running=True,
            may_miss=serve.may_miss,
            anti_affinity=serve.per_vm,
        )
        notes = self._add(route, (step,), 1e9, False, self.rng)
        await anyio.sleep(1.0)
        while not await self._submit(notes):
            await anyio.sleep(RETRY_S)

    async def run_schedule(self, schedule: ScheduleLine, route: Route) -> None:
        """Hand in a job that runs many times, and ask for it until it ends.

        :param schedule: its occurrences.
        :param route: where.
        """
        step = Step(
            count=schedule.width,
            cpu=int(schedule.cpu * 1000),
            memory_mb=int(schedule.memory * 1000),
            estimate_ms=int(schedule.work * 1000),
        )
        notes = self._add(route, (step,), 1e9, False, self.rng)
        notes.submission = attrs.evolve(
            notes.submission,
            times=schedule.times,
            start_at_ms=int((self.wall_start_s + schedule.start) * 1000),
            interval_ms=int(schedule.every * 1000),
        )
        notes.first_due_s = schedule.start
        await anyio.sleep(1.0)
        while not await self._submit(notes):
            await anyio.sleep(RETRY_S)
        await self._poll(notes)

    async def _live(
        self,
        notes: JobNotes,
        load: LoadLine,
        on_accepted: t.Callable[[JobNotes], None],
    ) -> None:
        if not await self._submit(notes):
            return
        on_accepted(notes)
        async with anyio.create_task_group() as group:
            if self.rng.random() < load.resend:
                group.start_soon(self._resend, notes)
            if self.rng.random() < load.cancel:
                group.start_soon(self._cancel, notes)
            await self._poll(notes)
            if notes.submission.tenant:
                await self._try_former_keys(notes)

    async def _try_former_keys(self, notes: JobNotes) -> None:
        """Ask for an ended job with keys that were taken back, at any node."""
        submission, rng = notes.submission, self.tenancy.rng
        for _ in range(FORMER_TRIES):
            await anyio.sleep(rng.uniform(0.5, 1.5))
            keys = self.tenancy.list_former_keys(submission.tenant)
            nodes = self.nodes()
            if keys and nodes:
                access = self.tenancy.open_access(rng.choice(keys))
                node = rng.choice(nodes)
                with anyio.move_on_after(PATIENCE_S):
                    access.note(
                        await node.get_state(notes.route, submission.job_id, access.key)
                    )

    async def _submit(self, notes: JobNotes) -> bool:
        for _ in range(1 + RETRIES):
            node = self.rng.choice(self.nodes() or [None])
            outcome = None
            if node is not None:
                outcome = await self._send(node, notes)
            notes.outcomes.append(outcome)
            if isinstance(outcome, KeyRejection):
                return False
            if outcome is SubmitOutcome.ACCEPTED:
                notes.accepted_at = notes.accepted_at or anyio.current_time()
                return True
            if notes.withdrawn and outcome in _UNCERTAIN:
                await self._withdraw(notes)
                return False
            await anyio.sleep(RETRY_S)
        return False

    async def _send(self, node: CallerNode, notes: JobNotes) -> SubmitAnswer:
        submission = notes.submission
        sent_at = anyio.current_time()
        key = self.tenancy.draw_key(submission.tenant) if submission.tenant else ""
        access = self.tenancy.open_access(key) if key else None
        outcome = None
        with anyio.move_on_after(PATIENCE_S):
            outcome = await node.submit(notes.route, submission, key)
            if access is not None:
                access.note(outcome)
        now = anyio.current_time()
        notes.attempts.append(Attempt(node.name, sent_at, now, outcome))
        return outcome

    async def _call(
        self, call: t.Callable[[Route, str, str], t.Awaitable[t.Any]], notes: JobNotes
    ) -> t.Any:
        """Call about a job with a key of its tenant, at times one taken back."""
        submission = notes.submission
        if not submission.tenant:
            return await call(notes.route, submission.job_id, "")
        key = self.tenancy.draw_key(submission.tenant)
        access = self.tenancy.open_access(key)
        answer = await call(notes.route, submission.job_id, key)
        access.note(answer)
        return answer

    async def _resend(self, notes: JobNotes) -> None:
        await anyio.sleep(self.rng.uniform(0.1, 3.0))
        nodes = self.nodes()
        if nodes:
            notes.outcomes.append(await self._send(self.rng.choice(nodes), notes))

    async def _cancel(self, notes: JobNotes) -> None:
        await anyio.sleep(self.rng.uniform(0.2, 1.5))
        while notes.cancelled_at is None and notes.find_final_at() is None:
            nodes = self.nodes()
            if nodes:
                notes.cancel_requested = True
                with anyio.move_on_after(PATIENCE_S):
                    node = self.rng.choice(nodes)
                    if await self._call(node.cancel, notes) is True:
                        notes.cancelled_at = anyio.current_time()
            await anyio.sleep(RETRY_S)

    async def _withdraw(self, notes: JobNotes) -> None:
        """Cancel a job that may have been stored, until a node says that it is gone."""
        notes.cancel_requested = True
        while notes.cancelled_at is None:
            nodes = self.nodes()
            if nodes:
                with anyio.move_on_after(PATIENCE_S):
                    node = self.rng.choice(nodes)
                    if isinstance(await self._call(node.cancel, notes), bool):
                        notes.cancelled_at = anyio.current_time()
            await anyio.sleep(RETRY_S)

    async def _poll(self, notes: JobNotes) -> None:
        while notes.find_final_at() is None:
            await anyio.sleep(POLL_S)
            await self.ask(notes)

    async def ask(self, notes: JobNotes) -> None:
        """Ask once for a job's state and note the answer."""
        nodes = self.nodes()
        if not nodes:
            return
        state: t.Any = Unavailable.STORE
        with anyio.move_on_after(PATIENCE_S):
            node = self.rng.choice(nodes)
            state = await self._call(node.get_state, notes)
        if isinstance(state, Unavailable | KeyRejection | NoQueue | Denied):
            return
        if not notes.shown or notes.get_last_state() is not state:
            notes.shown.append((anyio.current_time(), state))


def build_policy(name: str, service: str = "") -> QueuePolicy:
    """Build the policy of a queue.

    :param name: name of the queue; also that of its pool, unless another one is given.
    :param service: pool whose workers run the jobs of the queue.
    """
    return QueuePolicy(
        f"queue-{name}",
        service or name,
        max_attempts=MAX_ATTEMPTS,
        stretch=STRETCH,
        slo_ms=SLO_MS,
    )
