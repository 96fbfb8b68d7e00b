"""Workers with leases, fences, ends and faults."""

import enum
import math
import random
import typing as t

import anyio
import anyio.abc
import attrs

from ...jobs.messages import EndedTask
from ...jobs.messages import EndKind
from ...jobs.messages import RunningTask
from ...jobs.messages import Step
from ...jobs.messages import TaskId
from ...jobs.messages import WorkerEntry
from ...jobs.workers import HoldOrder
from ...jobs.workers import HoldReport
from ...jobs.workers import Reply
from ...jobs.workers import ReplyKind
from ...jobs.workers import StartOrder
from ...jobs.workers import StopOrder
from .gate import Link
from .gate import NodeGate
from .gate import carry_out_elsewhere
from .gate import run_late
from .nature import FindNature
from .nature import TaskNature
from .runs import Run
from .runs import RunRecord

STOP_S = 0.1
STARTUP_S = 0.7
"""Time after which a serving task is at work."""
CHECKPOINT_S = 0.5
CALL_TIMEOUT_S = 0.8
"""Least time after which a call without an answer is given up."""
SHRINK_GRACE_S = 4.5
"""Time in which an owner must know of a smaller capacity: the time after which a node
counts as reaching the store again, and a heartbeat of the worker."""
MAX_LEASE_MS = 10_000.0

Order = StartOrder | StopOrder | HoldOrder


class Mood(enum.Enum):
    """How a worker behaves."""

    SOUND = "sound"
    FAILING = "failing"
    HANGING = "hanging"


@attrs.define(eq=False)
class EmulatedWorker:
    """One life of a worker.

    :param entry: how it is registered.
    :param find_nature: tells what a task does.
    :param rng: draws failures.
    :param drift: share by which its clock is slow.
    :param guarded: whether it refuses what does not fit.
    :param on_crashing_run: called with its id when it starts a task that crashes it.
    :param admits: tells whether an order to start it has the ticket that it needs.
    :param refusing: whether orders to start or stop do not reach it.
    :param died_at: monotonic seconds of its end.
    :param sound_until: monotonic seconds of the first fault that affected it.
    """

    entry: WorkerEntry
    find_nature: FindNature
    rng: random.Random
    records: list[RunRecord]
    drift: float = 0.0
    guarded: bool = True
    on_crashing_run: t.Callable[[str], None] = lambda worker_id: None
    admits: t.Callable[[StartOrder, WorkerEntry], bool] = lambda order, entry: True
    mood: Mood = Mood.SOUND
    hung_at: float = 0.0
    dark: bool = False
    refusing: bool = False
    alive: bool = True
    slowness: float = 1.0
    fence: int = 0
    lease_ms: float = 0.0
    born_at: float = attrs.field(factory=anyio.current_time)
    died_at: float = math.inf
    sound_until: float = math.inf
    runs: dict[TaskId, Run] = attrs.field(factory=dict)
    ended: list[EndedTask] = attrs.field(factory=list)
    highest: dict[TaskId, int] = attrs.field(factory=dict)
    over_capacity: int = 0
    former: list[tuple[float, WorkerEntry]] = attrs.field(factory=list)
    lapsed_at: float = -math.inf
    _sequence: int = 0
    _unnoted: dict[int, RunRecord] = attrs.field(factory=dict)
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    def note_fault(self) -> None:
        """Note that a fault affects it from now on."""
        self.sound_until = min(self.sound_until, anyio.current_time())

    def set_mood(self, mood: Mood) -> None:
        """Change how it treats its tasks; what stood still goes on where it was."""
        now = anyio.current_time()
        self.advance()
        self.note_fault()
        if self.mood is Mood.HANGING:
            for run in self.runs.values():
                run.ends_at += now - max(self.hung_at, run.record.began)
        self.mood = mood
        self.hung_at = now
        self._changed.set()
        self._changed = anyio.Event()

    def resize(self, share: float) -> None:
        """Change its capacity to a share of what it has; 1 over it takes that back."""
        self.note_fault()
        self.former.append((anyio.current_time(), self.entry))
        self.entry = attrs.evolve(
            self.entry,
            cpu=round(self.entry.cpu * share),
            memory_mb=round(self.entry.memory_mb * share),
        )

    def read_clock(self) -> float:
        """Read its clock in milliseconds."""
        return (anyio.current_time() - self.born_at) * 1000 * (1 - self.drift) + 5e4

    def advance(self) -> None:
        """End what has ended by now, at the moment at which it ended."""
        now = anyio.current_time()
        lapse_at = self._find_lapse()
        for task, run in list(self.runs.items()):
            stop_at = run.stopping_at if run.stopping_at is not None else math.inf
            done_at = math.inf if self.mood is Mood.HANGING else run.ends_at
            at = min(stop_at, done_at, lapse_at)
            if at > now:
                continue
            kind = EndKind.LAPSED
            if at == stop_at:
                kind = EndKind.STOPPED
            elif at == done_at:
                fails = run.doomed or self.find_nature(task).fails
                kind = EndKind.FAILED if fails else EndKind.DONE
            self._end(task, kind, at)

    def _find_lapse(self) -> float:
        if not self.lease_ms:
            return math.inf
        return self.born_at + (self.lease_ms - 5e4) / 1000 / (1 - self.drift)

    def _end(self, task: TaskId, kind: EndKind, at: float) -> None:
        run = self.runs.pop(task)
        run.record.ended = at
        run.record.how = kind.value
        self._unnoted[self._sequence + 1] = run.record
        self._sequence += 1
        self.ended.append(
            EndedTask(self._sequence, task, run.record.run, kind, self._save(run))
        )
        self._changed.set()
        self._changed = anyio.Event()

    def _save(self, run: Run) -> str:
        if not run.step.checkpointing:
            return ""
        worked = anyio.current_time() - run.record.began + run.restored_s
        return f"{worked // CHECKPOINT_S * CHECKPOINT_S:.1f}"

    def crash(self) -> None:
        """End the life of the worker and all that it runs."""
        self.advance()
        self.alive = False
        self.died_at = anyio.current_time()
        for run in self.runs.values():
            run.record.ended = anyio.current_time()
            run.record.how = "gone"
        self.runs.clear()
        self._changed.set()

    def _check_fence(self, epoch: int) -> bool:
        if epoch < self.fence:
            return False
        self.fence = epoch
        return True

    def start(self, order: StartOrder, node: str) -> Reply:
        """Carry out an order to start."""
        self.advance()
        clock = self.read_clock()
        if not self._check_fence(order.epoch):
            return Reply(ReplyKind.STALE_OWNER, clock)
        present = self.runs.get(order.task)
        if present is not None and present.record.run == order.run:
            self._extend_lease(order.deadline_ms)
            return Reply(ReplyKind.DONE, clock)
        if order.run <= self.highest.get(order.task, 0):
            self._extend_lease(order.deadline_ms)
            return Reply(ReplyKind.STALE_RUN, clock)
        if clock > order.deadline_ms:
            return Reply(ReplyKind.TOO_LATE, clock)
        if not self.admits(order, self.entry):
            return Reply(ReplyKind.NO_TICKET, clock)
        nature = self.find_nature(order.task)
        fits = self._has_room(nature.step, self.entry)
        if not fits:
            self.over_capacity += 1
        self._extend_lease(order.deadline_ms)
        if not fits and self.guarded:
            return Reply(ReplyKind.NO_ROOM, clock)
        self._begin(order, node, nature)
        return Reply(ReplyKind.DONE, clock)

    def _extend_lease(self, deadline_ms: float) -> None:
        """Extend the lease of everything that runs here, at most to the longest one."""
        limit_ms = self.read_clock() + MAX_LEASE_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit_ms))

    def _get_judged_entry(self) -> WorkerEntry:
        """Give the capacity that starts are judged by, the largest of late."""
        since = anyio.current_time() - SHRINK_GRACE_S
        lately = [entry for until, entry in self.former if until > since]
        return max([self.entry, *lately], key=lambda entry: entry.cpu)

    def _has_room(self, step: Step, entry: WorkerEntry) -> bool:
        cpu = sum(run.step.cpu for run in self.runs.values() if not run.step.fills)
        memory_mb = sum(run.step.memory_mb for run in self.runs.values())
        own = 0 if step.fills else step.cpu
        return cpu + own <= entry.cpu and memory_mb + step.memory_mb <= entry.memory_mb

    def _begin(self, order: StartOrder, node: str, nature: TaskNature) -> None:
        now = anyio.current_time()
        step = nature.step
        restored_s = float(order.checkpoint or 0)
        left_s = max(0.05, nature.work_s - restored_s) * self.slowness
        if step.long_running:
            left_s = 1e9
        if self.mood is Mood.FAILING:
            left_s = 0.05
        record = RunRecord(
            order.task, order.run, self.entry.worker_id, node, order.epoch, now
        )
        record.overfull = not self._has_room(step, self._get_judged_entry())
        self.records.append(record)
        self.highest[order.task] = order.run
        doomed = self.mood is Mood.FAILING
        run = Run(
            record, step, now + left_s, left_s, restored_s=restored_s, doomed=doomed
        )
        self.runs[order.task] = run
        if nature.crashes:
            self.on_crashing_run(self.entry.worker_id)

    def stop(self, order: StopOrder) -> Reply:
        """Carry out an order to stop."""
        self.advance()
        if not self._check_fence(order.epoch):
            return Reply(ReplyKind.STALE_OWNER, self.read_clock())
        highest = self.highest.get(order.task, 0)
        self.highest[order.task] = max(highest, order.run)
        run = self.runs.get(order.task)
        if run is not None and run.record.run <= order.run and not run.stopping_at:
            run.stopping_at = anyio.current_time() + STOP_S
        return Reply(ReplyKind.DONE, self.read_clock())

    def renew(self, order: HoldOrder) -> Reply:
        """Extend the lease and forget the acknowledged ends, of whichever life."""
        self.advance()
        if not self._check_fence(order.epoch):
            return Reply(ReplyKind.STALE_OWNER, self.read_clock())
        lapse_at = self._find_lapse()
        if lapse_at <= anyio.current_time():
            self.lapsed_at = lapse_at
        if order.deadline_ms is not None:
            self._extend_lease(order.deadline_ms)
        self._note_ends(order.acknowledged)
        return Reply(ReplyKind.DONE, self.read_clock())

    async def hold(self, order: HoldOrder) -> HoldReport | Reply:
        """Carry out an order to hold; waits for an end if it may."""
        renewed = self.renew(order)
        if renewed.kind is not ReplyKind.DONE:
            return renewed
        give_up = anyio.current_time() + order.wait_ms / 1000
        while not self.ended and self.alive and anyio.current_time() < give_up:
            await self._wait_for_end(give_up)
            self.advance()
        return HoldReport(
            self.read_clock(),
            self._list_running(),
            tuple(self.ended),
            self.entry.born,
        )

    def _note_ends(self, acknowledged: int) -> None:
        for sequence in [key for key in self._unnoted if key <= acknowledged]:
            record = self._unnoted.pop(sequence)
            # an end from before a lapse of the lease may have been given up
            record.noted = record.ended is not None and record.ended > self.lapsed_at
        self.ended = [end for end in self.ended if end.sequence > acknowledged]

    async def _wait_for_end(self, give_up: float) -> None:
        moments = [run.stopping_at or run.ends_at for run in self.runs.values()]
        until = min([give_up, self._find_lapse(), *moments])
        with anyio.move_on_after(max(0.001, until - anyio.current_time())):
            await self._changed.wait()

    def _measure_percent(self, run: Run, now: float) -> int:
        if self.mood is Mood.HANGING:
            now = max(self.hung_at, run.record.began)
        left = max(0.0, run.ends_at - now) / run.total_s
        return int(100 * (1 - min(1.0, left)))

    def _list_running(self) -> tuple[RunningTask, ...]:
        now = anyio.current_time()
        listed = []
        for task, run in self.runs.items():
            if run.step.long_running:
                percent = 100 if now - run.record.began >= STARTUP_S else 0
            else:
                percent = self._measure_percent(run, now)
            listed.append(RunningTask(task, run.record.run, self._save(run), percent))
        return tuple(listed)


@attrs.define(eq=False)
class EmulatedWorkers:
    """All workers, by the id of their life.

    :param rng: draws losses.
    :param group: runs late orders.
    :param history: all workers that ever started.
    :param halted: addresses of VMs without power, which do not answer at all.
    :param link: delays and losses of orders.
    :param hold_link: delays of hold requests.
    """

    rng: random.Random
    group: anyio.abc.TaskGroup
    lives: dict[str, EmulatedWorker] = attrs.field(factory=dict)
    history: list[EmulatedWorker] = attrs.field(factory=list)
    records: list[RunRecord] = attrs.field(factory=list)
    halted: set[str] = attrs.field(factory=set)
    link: Link = attrs.field(init=False)
    hold_link: Link = attrs.field(init=False)
    _by_address: dict[str, list[EmulatedWorker]] = attrs.field(factory=dict)
    _added: anyio.Event = attrs.field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        self.link = Link(0.0015, self.rng)
        self.hold_link = Link(self.link.delay_s, self.rng)

    def add(self, worker: EmulatedWorker) -> None:
        """Add a worker that has started."""
        self.lives[worker.entry.worker_id] = worker
        self.history.append(worker)
        self._by_address.setdefault(worker.entry.address, []).append(worker)
        self._added.set()
        self._added = anyio.Event()

    def find_present(self, address: str) -> EmulatedWorker | None:
        """Find the live worker at an address."""
        for worker in self._by_address.get(address, []):
            if worker.alive:
                return worker
        return None

    async def wait_for_present(
        self, address: str, timeout_s: float
    ) -> EmulatedWorker | None:
        """Wait until a worker starts at an address, for some seconds at most."""
        with anyio.move_on_after(timeout_s):
            while self.find_present(address) is None:
                await self._added.wait()
        return self.find_present(address)

    def carry_out_late(
        self, order: Order, carry_out: t.Callable[[EmulatedWorker], Reply]
    ) -> None:
        """Have the incarnation that is now at the address carry out an order.

        :param order: an order that its incarnation had received, or a former one.
        :param carry_out: what the worker does.
        """
        worker = self.find_present(order.address)
        if worker is not None and worker.entry.worker_id == order.worker_id:
            carry_out(worker)


@attrs.define(eq=False)
class EmulatedWorkersClient:
    """Workers as one node reaches them.

    :param workers: all workers.
    :param gate: freezes and cuts of the node.
    """

    workers: EmulatedWorkers
    gate: NodeGate

    async def _reach(self, order: Order, timeout_s: float) -> EmulatedWorker | Reply:
        await self.gate.pass_through()
        await self.gate.take_processor()
        await anyio.sleep(self.workers.link.delay_s)
        worker = self.workers.find_present(order.address)
        is_dark = worker is not None and worker.dark
        if is_dark or not self.gate.cut_from.isdisjoint({"workers", order.address}):
            return await _give_up(timeout_s, "no answer")
        if worker is None and order.address in self.workers.halted:
            worker = await self.workers.wait_for_present(
                order.address, _get_allowed_s(timeout_s)
            )
            if worker is None:
                return _build_timeout("no answer")
        if worker is None:
            return Reply(ReplyKind.NOT_SENT, detail="refused")
        if worker.entry.worker_id != order.worker_id:
            return Reply(ReplyKind.OTHER_WORKER, worker.read_clock())
        return worker

    @staticmethod
    def _reaches(order: Order, worker: EmulatedWorker) -> bool:
        """Tell whether a call goes out to the incarnation that answers a connection."""
        born = worker.entry.born
        return not order.incarnation or not born or order.incarnation == born

    async def _connect(
        self, order: Order, timeout_s: float = CALL_TIMEOUT_S
    ) -> EmulatedWorker | Reply:
        worker = await self._reach(order, timeout_s)
        if isinstance(worker, Reply):
            return worker
        if worker.refusing:
            return Reply(ReplyKind.NOT_SENT, detail="refused")
        if not self._reaches(order, worker):
            return Reply(ReplyKind.OTHER_INCARNATION, detail="not sent")
        return worker

    def _defer(
        self,
        late_s: float,
        order: Order,
        carry_out: t.Callable[[EmulatedWorker], Reply],
    ) -> None:
        self.workers.group.start_soon(
            run_late, late_s, self.workers.carry_out_late, order, carry_out
        )

    async def _answer(self, reply: Reply, timeout_s: float = CALL_TIMEOUT_S) -> Reply:
        if self.workers.link.draw_loss():
            reply = await _give_up(timeout_s, "answer lost")
        await anyio.sleep(self.workers.link.delay_s)
        await self.gate.pass_through()
        return reply

    @carry_out_elsewhere
    async def start(self, order: StartOrder) -> Reply:
        """Order a run to start."""
        timeout_s = order.timeout_s
        worker = await self._connect(order, timeout_s)
        if isinstance(worker, Reply):
            return await self._answer(worker, timeout_s)
        late_s = self.workers.link.draw_late()
        if late_s:
            node = self.gate.node
            self._defer(late_s, order, lambda present: present.start(order, node))
            return await _give_up(timeout_s, "carried out late")
        return await self._answer(worker.start(order, self.gate.node), timeout_s)

    @carry_out_elsewhere
    async def stop(self, order: StopOrder) -> Reply:
        """Order a run to stop; it never starts afterwards."""
        worker = await self._connect(order)
        if isinstance(worker, Reply):
            return await self._answer(worker)
        return await self._answer(worker.stop(order))

    @carry_out_elsewhere
    async def set_pace(self, order: StopOrder, percent: int) -> Reply:
        """Order a run to work at a share of its speed; not emulated."""
        return Reply(ReplyKind.DONE)

    @carry_out_elsewhere
    async def hold(self, order: HoldOrder) -> HoldReport | Reply:
        """Extend the lease of everything on a worker and read its lists."""
        worker = await self._reach(order, order.margin_s)
        if isinstance(worker, Reply):
            return await self._answer(worker, order.margin_s)
        if not self._reaches(order, worker):
            # what a client asks first on a new connection
            order = attrs.evolve(order, acknowledged=0, deadline_ms=None, wait_ms=0)
        late_s = self.workers.hold_link.draw_late()
        if late_s:
            self._defer(late_s, order, lambda present: present.renew(order))
            return await _give_up(order.margin_s, "carried out late")
        waited_until = anyio.current_time() + order.wait_ms / 1000
        report = await worker.hold(order)
        if isinstance(report, Reply):
            return await self._answer(report, order.margin_s)
        if not worker.alive and order.address in self.workers.halted:
            await anyio.sleep_until(waited_until)
            return await _give_up(order.margin_s, "no answer")
        if not worker.alive or worker.dark:
            return Reply(ReplyKind.NO_ANSWER, detail="connection lost")
        await anyio.sleep(self.workers.link.delay_s)
        await self.gate.pass_through()
        return report

    async def forget(self, worker_id: str) -> None:
        """Close the connections to a worker that is gone."""


def _get_allowed_s(timeout_s: float) -> float:
    return max(CALL_TIMEOUT_S, timeout_s)


def _build_timeout(detail: str) -> Reply:
    return Reply(ReplyKind.NO_ANSWER, None, detail, overdue_s=0.0)


async def _give_up(timeout_s: float, detail: str) -> Reply:
    """Wait for the end of the time allowed for a call that gets no answer."""
    await anyio.sleep(_get_allowed_s(timeout_s))
    return _build_timeout(detail)
