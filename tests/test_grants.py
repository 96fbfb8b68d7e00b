"""Leases are granted only while the ownership of the shard is confirmed."""

import math
import random
import types
import typing as t

import attrs
import pytest

from onyxgap.daemons.fence import FencedWriter
from onyxgap.daemons.node import Node
from onyxgap.exceptions import OwnershipLostError
from onyxgap.jobs import tables
from onyxgap.jobs.job import Job
from onyxgap.jobs.job import TaskPhase
from onyxgap.jobs.leases import GRANT_WITHOUT_STORE_S
from onyxgap.jobs.leases import GrantPeriod
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.messages import WorkerEntry
from onyxgap.jobs.messages import WorkerState
from onyxgap.jobs.store import Applied
from onyxgap.jobs.store import Batch
from onyxgap.jobs.store import Conflict
from onyxgap.jobs.store import OutcomeUnknown
from onyxgap.jobs.store import StoredRow
from onyxgap.jobs.store import WriteOutcome
from onyxgap.jobs.tables import OwnerRow
from onyxgap.jobs.workers import HoldReport
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.virtual import run_virtually
from tests.emulated import play
from tests.owners import build_owner
from tests.test_order_lanes import SerialWorkers

NOTHING: t.Any = None
ENTRY = WorkerEntry(
    "w1", "shard", "w1:1", "z", WorkerState.READY, 8000, 8000, 0, (), 1000.0
)
DAY = """
nodes 4
pool ring vms 8
spare 2
serve ring tasks 8 cpu 5 memory 20 per-vm 1 may-miss 1
at 10 split workers ring for 26
at 10 refuse writes ring for 26
at 9 down list for 30
end 40
"""


@attrs.define
class ManualClocks:
    """Clocks that a test sets."""

    now: float = 100.0

    def read_monotonic(self) -> float:
        return self.now

    def read_wall(self) -> float:
        return self.now

    def read_boot(self) -> float:
        return self.now


@attrs.define
class LateStore:
    """Store whose writes take a time, and whose outcomes a test sets."""

    clocks: ManualClocks
    outcomes: list[WriteOutcome]
    took_s: float = 0.5

    async def write(self, batch: Batch) -> WriteOutcome:
        self.clocks.now += self.took_s
        return self.outcomes.pop(0)


def build_writer(
    clocks: ManualClocks, outcomes: list[WriteOutcome]
) -> tuple[FencedWriter, GrantPeriod]:
    grants = GrantPeriod(clocks.read_boot, clocks.now)
    store: t.Any = LateStore(clocks, outcomes)
    row = OwnerRow("node", "boot", 1)
    rng = random.Random(1)
    return FencedWriter("shard", row, 1, "", store, rng, grants), grants


def renew(writer: FencedWriter) -> None:
    async def main() -> None:
        puts: dict[tables.RowId, bytes] = {}
        writer.add_renewal(puts, 0.0)
        await writer.write(puts)

    run_virtually(main)


def test_answers_to_reads_do_not_let_an_owner_grant_leases() -> None:
    clocks = ManualClocks()
    owner = build_owner(NOTHING, clocks)
    owner.writer.grants.confirmed_at = clocks.now
    owner.state.observe_worker(ENTRY, clocks.now)
    assert owner._build_hold("w1").deadline_ms is not None
    clocks.now += GRANT_WITHOUT_STORE_S
    owner.context.health.note_answer(clocks.now)
    assert owner._build_hold("w1").deadline_ms is None


def test_renewal_counts_from_the_time_at_which_it_was_sent() -> None:
    clocks = ManualClocks()
    writer, grants = build_writer(clocks, [Applied(2)])
    clocks.now += 3.0
    renew(writer)
    assert grants.confirmed_at == 103.0


def test_renewal_with_a_lost_answer_counts_from_its_first_attempt() -> None:
    clocks = ManualClocks()
    written = StoredRow(tables.get_fence_row("shard"), b"boot/1/1", 3)
    outcomes = [OutcomeUnknown("lost"), Conflict((written,))]
    writer, grants = build_writer(clocks, outcomes)
    clocks.now += 1.0
    renew(writer)
    assert grants.confirmed_at == 101.0


def test_write_without_a_renewal_extends_no_grants() -> None:
    clocks = ManualClocks()
    writer, grants = build_writer(clocks, [Applied(2)])
    clocks.now += 3.0
    row = tables.get_progress_row("shard", "job")
    run_virtually(writer.write, {row: b"1"})
    assert grants.confirmed_at == 100.0


def test_owner_grants_no_leases_once_it_releases_its_shard() -> None:
    clocks = ManualClocks()
    writer, grants = build_writer(clocks, [Conflict(())])
    assert grants.is_open()
    with pytest.raises(OwnershipLostError):
        run_virtually(writer.release)
    assert not grants.is_open()


def test_suspension_of_the_vm_counts() -> None:
    boot = iter([0.0, math.nextafter(GRANT_WITHOUT_STORE_S, 0), GRANT_WITHOUT_STORE_S])
    grants = GrantPeriod(boot.__next__, 0.0)
    assert [grants.is_open() for _ in range(3)] == [True, True, False]


def test_run_is_not_started_twice_beside_an_owner_whose_writes_are_refused() -> None:
    script = parse_script("refused-writes", DAY)
    assert "twice" not in {item.rule for item in play(script, 1).breaches}


def test_no_start_order_is_sent_once_grants_have_ended() -> None:
    async def main() -> None:
        clocks = ManualClocks()
        workers: t.Any = SerialWorkers()
        owner = build_owner(workers, clocks)
        owner.state.observe_worker(ENTRY, clocks.now)
        report = HoldReport(1000.0, (), ())
        owner.state.apply_report("w1", report, clocks.now, clocks.now)
        policy = QueuePolicy("q", "shard")
        job = Job(Submission("a" * 16, policy, "spec", (Step(1, cpu=1000),)))
        owner.state.add_job(job, clocks.now, 0.0)
        (order,) = owner.state.plan(clocks.now, 0.0)
        owner.writer.grants.closed = True
        await owner._send_start(order)
        assert not workers.arrived
        assert job.occurrences[0].steps[0][0].phase is TaskPhase.WAITING

    run_virtually(main)


@pytest.mark.parametrize(("age_s", "may_claim"), [(9.9, False), (10.0, True)])
def test_node_that_cannot_register_claims_shards_after_a_time(
    age_s: float, may_claim: bool
) -> None:
    clocks = ManualClocks()
    registration = types.SimpleNamespace(registered=False, started_at=100.0)
    peers = types.SimpleNamespace(get_address=lambda: "node-1:1")
    node: t.Any = types.SimpleNamespace(
        registration=registration, peers=peers, clocks=clocks
    )
    clocks.now += age_s
    assert Node._may_claim(node) is may_claim
