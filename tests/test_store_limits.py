"""Guards against writes beyond the store's limits, and against what one of them costs.

A write that the store refuses as invalid can never succeed. It was repeated without
end, and the shard started nothing any more.
"""

import random
import typing as t

import anyio
import attrs
import orjson
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from onyxgap.daemons.job_batches import REFUSED_RETRY_S
from onyxgap.daemons.owner import ShardOwner
from onyxgap.exceptions import DocumentError
from onyxgap.exceptions import WriteRefusedError
from onyxgap.jobs import tables
from onyxgap.jobs.crashes import LossHistory
from onyxgap.jobs.desk import SubmitOutcome
from onyxgap.jobs.encoding import decode_status
from onyxgap.jobs.encoding import restore_job
from onyxgap.jobs.job import Job
from onyxgap.jobs.job import Task
from onyxgap.jobs.job import TaskPhase
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.progress_rows import build_part_key
from onyxgap.jobs.progress_rows import encode_progress_rows
from onyxgap.jobs.progress_rows import get_job_bytes
from onyxgap.jobs.progress_rows import join_progress
from onyxgap.jobs.progress_rows import measure_row
from onyxgap.jobs.routing import Configuration
from onyxgap.jobs.routing import Route
from onyxgap.jobs.routing import Service
from onyxgap.jobs.store import WRITE_TIMEOUT_S
from onyxgap.jobs.store import Batch
from onyxgap.jobs.store import Invalid
from onyxgap.jobs.store import RowId
from onyxgap.jobs.store import StoredRow
from onyxgap.jobs.store import StoreLimits
from onyxgap.jobs.store import WriteOutcome
from onyxgap.jobs.submissions import MAX_INTEGER
from onyxgap.jobs.submissions import MAX_OPEN_TASKS
from onyxgap.jobs.submissions import MAX_TASKS
from onyxgap.jobs.submissions import check_submission
from onyxgap.jobs.submissions import encode_submission
from onyxgap.jobs.tables import ShardLoad
from onyxgap.jobs.workers import StartOrder
from onyxgap.platform.http import Answer
from onyxgap.platform.job_api import decode_submission
from onyxgap.platform.store import decode_outcome
from onyxgap.platform.store import encode_batch
from onyxgap.standins.emulator.slots import EmulatedClocks
from onyxgap.standins.emulator.store import EmulatedStore
from onyxgap.standins.emulator.store import find_excess
from tests.emulated import extend_day
from tests.emulated import play
from tests.owners import build_owner
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import build_writer
from tests.test_node_parts import run_with_store

LIMITS = StoreLimits()
POLICY = QueuePolicy("q", "s")
ROUTE = Route("h", "/p/", POLICY)
JOB_ID = "a" * 16
WORKER_IDS = st.text(st.characters(codec="utf-8", categories=["L", "N", "P"]))
LABELS = st.text(max_size=60)
STEPS = st.builds(
    Step,
    count=st.integers(1, 40),
    cpu=st.integers(0, 64_000),
    estimate_ms=st.integers(0, MAX_INTEGER),
    checkpointing=st.booleans(),
    requires=LABELS,
    affinity=LABELS,
    image=LABELS,
)


def build_job(
    steps: tuple[Step, ...], times: int = 0, policy: QueuePolicy = POLICY
) -> Job:
    """Build a job that passes the checks on the way in."""
    submission = Submission(JOB_ID, policy, "spec", steps, times=times, interval_ms=1)
    return Job(check_submission(submission), version=7)


def occupy(task: Task, rng: random.Random, workers: t.Sequence[str]) -> None:
    """Give a task the largest state that it may be stored with."""
    task.place(rng.choice(workers), 1.0, 0.0, rng.randrange(1, 100_000))
    task.failures = rng.randrange(100)
    task.checkpoint = f"{rng.getrandbits(64):016x}"
    task.loss_history = LossHistory(99, 99, 999, 99_999)


def occupy_all(job: Job, workers: t.Sequence[str], seed: int = 1) -> None:
    """Open all occurrences that may be open, and start all of their tasks."""
    rng = random.Random(seed)
    job.open_due_occurrences(1e18)
    for occurrence in job.occurrences.values():
        for tasks in occurrence.steps:
            for task in tasks:
                occupy(task, rng, workers)


def build_rows(values: t.Sequence[bytes]) -> list[StoredRow]:
    return [
        StoredRow(tables.get_progress_row("s", build_part_key(JOB_ID, part)), value, 1)
        for part, value in enumerate(values)
    ]


def restore(job: Job, values: t.Sequence[bytes]) -> Job:
    stored = join_progress(build_rows(values))[JOB_ID]
    assert stored.parts == len(values) - 1
    return restore_job(job.submission, stored.value, 7)


def describe(job: Job, checkpoints: bool = True) -> list[tuple[t.Any, ...]]:
    """Describe all that a new owner has to know of the tasks of a job."""
    return [
        (
            task.task_id,
            task.phase,
            task.run,
            task.worker_id,
            task.failures,
            task.checkpoint if checkpoints else "",
            task.loss_history,
        )
        for occurrence in job.occurrences.values()
        for tasks in occurrence.steps
        for task in tasks
    ]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(STEPS, min_size=1, max_size=12),
    st.integers(0, 10_000),
    st.lists(WORKER_IDS, min_size=1, max_size=20, unique=True),
    st.integers(0, 9),
    st.sampled_from([700, 4_096, 65_536]),
)
def test_progress_of_any_accepted_job_fits_into_rows_and_is_restored(
    steps: list[Step], times: int, workers: list[str], seed: int, row_bytes: int
) -> None:
    job = build_job(tuple(steps), times)
    occupy_all(job, workers, seed)
    values = encode_progress_rows(job, attrs.evolve(LIMITS, row_bytes=row_bytes))
    assert all(len(value) <= row_bytes for value in values)
    assert decode_status(values[0]).state is job.state
    restored = restore(job, values)
    assert describe(restored) == describe(job)
    assert restored.next_occurrence == job.next_occurrence


@pytest.mark.parametrize("width", [1, 7, 300, MAX_TASKS])
@pytest.mark.parametrize("id_bytes", [10, 200])
def test_progress_of_the_largest_jobs_fits_into_one_call(
    width: int, id_bytes: int
) -> None:
    job = build_job((Step(width),), 10_000)
    workers = [f"{number:0{id_bytes}}" for number in range(800)]
    occupy_all(job, workers)
    assert len(job.occurrences) == MAX_OPEN_TASKS // width
    values = encode_progress_rows(job, LIMITS)
    assert sum(measure_row(len(value)) for value in values) <= get_job_bytes(LIMITS)
    assert describe(restore(job, values), False) == describe(job, False)


def test_checkpoints_that_do_not_fit_into_a_call_are_left_out() -> None:
    job = build_job((Step(MAX_TASKS),))
    occupy_all(job, ["w"])
    for task in job.occurrences[0].steps[0]:
        task.checkpoint = "x" * 1_000
    values = encode_progress_rows(job, LIMITS)
    assert sum(measure_row(len(value)) for value in values) <= get_job_bytes(LIMITS)
    assert describe(restore(job, values)) == describe(job, False)
    job.occurrences[0].steps[0][5:] = []
    assert len(encode_progress_rows(job, LIMITS)) == 1


def test_job_of_which_a_row_is_missing_is_not_restored() -> None:
    job = build_job((Step(MAX_TASKS),), 3)
    occupy_all(job, [f"worker-{number}" for number in range(50)])
    rows = build_rows(encode_progress_rows(job, LIMITS))
    assert len(rows) > 3
    stored = join_progress([rows[0], *rows[2:]])[JOB_ID]
    with pytest.raises(DocumentError):
        restore_job(job.submission, stored.value, 7)


def test_occurrences_that_do_not_fit_wait_for_their_turn() -> None:
    job = build_job((Step(MAX_TASKS),), 10)
    assert job.open_due_occurrences(1e18)
    assert len(job.occurrences) == 4
    assert not job.open_due_occurrences(1e18)
    del job.occurrences[0]
    assert job.open_due_occurrences(1e18)
    assert job.next_occurrence == 5


def test_lasting_job_with_more_occurrences_than_can_be_open_is_rejected() -> None:
    step = Step(MAX_TASKS, long_running=True)
    with pytest.raises(DocumentError):
        build_job((step,), 5)
    job = build_job((step,), 4)
    job.open_due_occurrences(1e18)
    assert len(job.occurrences) == 4


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.dictionaries(
        st.builds(RowId, st.just("table"), st.text(max_size=30), st.text(max_size=30)),
        st.binary(max_size=2_000),
        max_size=8,
    )
)
def test_bytes_of_a_call_are_not_underrated(puts: dict[RowId, bytes]) -> None:
    body = orjson.dumps(encode_batch(Batch({}, puts)))
    estimate = sum(measure_row(len(value)) for value in puts.values())
    assert len(body) <= estimate + measure_row(0)


@pytest.mark.parametrize("status", [400, 403, 413])
def test_definite_refusal_is_no_unknown_outcome(status: int) -> None:
    assert isinstance(decode_outcome(Answer(status, b"{}")), Invalid)


@attrs.define
class PickyStore(ScriptedStore):
    """Store that refuses calls with rows of some jobs."""

    refused_jobs: set[str] = attrs.field(factory=set)

    async def write(
        self, batch: Batch, timeout_s: float = WRITE_TIMEOUT_S
    ) -> WriteOutcome:
        if any(row.key in self.refused_jobs for row in batch.puts):
            self.writes += 1
            return Invalid("400")
        return await super().write(batch, timeout_s)


def test_refused_write_is_not_repeated_by_a_fenced_writer() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        writer = build_writer(scripted, store)
        large = {tables.get_progress_row("s", "j"): b"x" * 65_537}
        with anyio.fail_after(1.0), pytest.raises(WriteRefusedError):
            await writer.write(large)
        assert scripted.writes == 1
        await writer.write({tables.get_progress_row("s", "j"): b"x"})

    run_with_store(test)


@attrs.define(eq=False)
class RecordingOwner(ShardOwner):
    """Owner that records the jobs of its start orders, and sends none."""

    started_jobs: list[str] = attrs.field(factory=list, init=False)

    def _spawn(self, run: t.Callable[..., t.Any], *args: t.Any) -> None:
        self.started_jobs += [
            item.task.job_id for item in args if isinstance(item, StartOrder)
        ]


def run_owner(
    test: t.Callable[[ShardOwner, PickyStore, EmulatedStore], t.Awaitable[None]],
) -> None:
    """Run a test with an owner of the shard ``shard`` that has claimed it."""

    async def run(scripted: ScriptedStore, store: EmulatedStore) -> None:
        picky = PickyStore(scripted.inner, [])
        owner = build_owner(
            t.cast(t.Any, None), EmulatedClocks(), picky, RecordingOwner
        )
        fence = tables.get_fence_row("shard")
        store.put(fence, b"")
        owner.writer.version = store.version
        await test(owner, picky, store)

    run_with_store(run)


def add_jobs(owner: ShardOwner, *job_ids: str, count: int = 1) -> list[StartOrder]:
    """Add jobs, place all of their tasks, and return the start orders."""
    orders = []
    for job_id in job_ids:
        policy = QueuePolicy("q", "shard")
        submission = Submission(job_id, policy, "spec", (Step(count),))
        owner.state.add_job(Job(submission), 0.0, 0.0)
        job = owner.state.jobs[job_id]
        job.open_due_occurrences(0.0)
        for task in job.occurrences[0].steps[0]:
            task.place("w1", 0.0, 0.0, 1)
            order = StartOrder("w1", "", task.task_id, 1, "spec", 0.0, 1)
            orders.append(order)
    return orders


def list_jobs(store: EmulatedStore) -> set[str]:
    """List the jobs whose progress is stored."""
    table = tables.PROGRESS_TABLE
    return {row_id.key for row_id in store.rows if row_id.table == table}


def test_refused_job_holds_up_neither_the_renewal_nor_other_jobs() -> None:
    async def test(owner: ShardOwner, picky: PickyStore, store: EmulatedStore) -> None:
        picky.refused_jobs = {"bad"}
        orders = add_jobs(owner, "one", "bad", "two")
        with anyio.fail_after(2.0):
            await owner._commit(orders)
        assert list_jobs(store) == {"one", "two"}
        assert isinstance(owner, RecordingOwner)
        assert sorted(owner.started_jobs) == ["one", "two"]
        assert tables.get_owner_row("shard") in store.rows
        (task,) = owner.state.jobs["bad"].occurrences[0].steps[0]
        assert task.phase is TaskPhase.WAITING
        assert task.not_before >= REFUSED_RETRY_S
        writes = picky.writes
        await anyio.sleep(1.0)
        await owner._commit([])
        assert picky.writes == writes + 1
        picky.refused_jobs = set()
        await anyio.sleep(REFUSED_RETRY_S)
        await owner._commit([])
        assert list_jobs(store) == {"one", "bad", "two"}

    run_owner(test)


def test_results_of_a_refused_job_are_not_acknowledged() -> None:
    async def test(owner: ShardOwner, picky: PickyStore, store: EmulatedStore) -> None:
        add_jobs(owner, "bad")
        record = owner.state._get_or_add_worker("w1")
        record.processed_sequence = 4
        record.unstored_jobs = {"bad"}
        picky.refused_jobs = {"bad"}
        await owner._commit([])
        assert record.acknowledged == 0
        picky.refused_jobs = set()
        await anyio.sleep(REFUSED_RETRY_S)
        await owner._commit([])
        assert record.acknowledged == 4

    run_owner(test)


def test_jobs_that_come_due_together_are_stored_in_calls_within_the_limits() -> None:
    async def test(owner: ShardOwner, picky: PickyStore, store: EmulatedStore) -> None:
        job_ids = [f"{number:016x}" for number in range(40)]
        orders = add_jobs(owner, *job_ids, count=900)
        with anyio.fail_after(5.0):
            await owner._commit(orders)
        assert store.refused == []
        assert list_jobs(store) == set(job_ids)
        assert picky.writes > 1

    run_owner(test)


def test_rows_of_larger_progress_are_removed() -> None:
    async def test(owner: ShardOwner, picky: PickyStore, store: EmulatedStore) -> None:
        orders = add_jobs(owner, JOB_ID, count=MAX_TASKS)
        job = owner.state.jobs[JOB_ID]
        for task in job.occurrences[0].steps[0]:
            task.checkpoint = "x" * 99
        await owner._commit(orders)
        assert len(list_jobs(store)) > 2
        for task in job.occurrences[0].steps[0]:
            task.phase = TaskPhase.DONE
        owner.state.dirty.add(JOB_ID)
        await owner._commit([])
        assert list_jobs(store) == {JOB_ID}

    run_owner(test)


def test_load_that_exceeds_the_owner_row_does_not_hold_up_its_renewal() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        writer = build_writer(scripted, store)
        puts: dict[RowId, bytes] = {}
        counts = {f"queue-{number}": 1 for number in range(9_000)}
        writer.add_renewal(puts, 0.0, ShardLoad(counts))
        await writer.write(puts)
        row = tables.decode_owner(store.rows[tables.get_owner_row("s")].value)
        assert row.waiting is None

    run_with_store(test)


def test_submission_that_exceeds_a_row_is_rejected_at_once() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        row = StoredRow(RowId("operator", "", "configuration"), b"", 1)
        node._apply_configuration(row, Configuration(1, (ROUTE,), {"s": Service("s")}))
        large = Submission(JOB_ID, POLICY, "", (Step(1, requires="x" * 100_000),))
        started, writes = anyio.current_time(), scripted.writes
        result = await node.job_api.submit(large)
        assert result.outcome is SubmitOutcome.TOO_LARGE
        assert (anyio.current_time(), scripted.writes) == (started, writes)

    run_with_store(test)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.sampled_from(["count", "cpu", "mem_mb", "estimate_ms", "anti_affinity"]),
    st.integers(-(2**70), 2**70) | st.floats(allow_nan=False, allow_infinity=False),
)
def test_number_of_any_size_gives_a_job_that_can_be_stored_or_a_fault(
    name: str, value: float
) -> None:
    body = f'{{"steps":[{{"count":1,"{name}":{value}}}]}}'.encode()
    try:
        submission = decode_submission(body, JOB_ID, ROUTE)
    except DocumentError:
        return
    assert encode_submission(submission)


def test_emulated_store_refuses_what_exceeds_a_limit() -> None:
    rows = [RowId("t", "p", str(number)) for number in range(101)]
    assert "entries" in find_excess(Batch({}, dict.fromkeys(rows, b"")), LIMITS)
    assert "row" in find_excess(Batch({}, {rows[0]: b"x" * 65_537}), LIMITS)
    large = dict.fromkeys(rows[:12], b"x" * 65_536)
    assert "call" in find_excess(Batch({}, large), LIMITS)
    assert not find_excess(Batch({}, dict.fromkeys(rows[:11], b"x" * 65_000)), LIMITS)


@pytest.mark.parametrize("seed", [1, 2])
def test_occurrences_due_after_an_outage_do_not_stop_their_service(seed: int) -> None:
    script = extend_day(
        "short",
        "schedule ring times 14 every 0.7 from 3 width 400 work 0.2 cpu 0.01",
        "at 5 kill all for 6",
    )
    assert play(script, seed).breaches == []
