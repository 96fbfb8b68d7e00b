"""Reconciliation of one pool: repair, maintenance, quarantine and task placement."""

import itertools
import typing as t

import attrs
import pytest

from onyxgap.defaults import UNRUNNABLE_CONSECUTIVE_LOSSES as LOST_IN_A_ROW
from onyxgap.fleet.diagnosis import find_faulty_vms
from onyxgap.fleet.diagnosis import find_unrunnable_tasks
from onyxgap.fleet.learning import estimate_size
from onyxgap.fleet.maintenance import select_maintenance_wave
from onyxgap.fleet.messages import Finding
from onyxgap.fleet.messages import PassInput
from onyxgap.fleet.messages import PoolPlan
from onyxgap.fleet.messages import PowerOrder
from onyxgap.fleet.messages import StopOrder
from onyxgap.fleet.observation import Observer
from onyxgap.fleet.pipe import needs_reconciliation
from onyxgap.fleet.pipe import plan_pass
from onyxgap.fleet.pricing import PlanCosts
from onyxgap.fleet.pricing import compute_price
from onyxgap.fleet.pricing import list_maintenance_options
from onyxgap.manifest import Manifest
from onyxgap.manifest import Pool
from onyxgap.manifest import Priority
from onyxgap.manifest import Task
from onyxgap.manifest import Team
from onyxgap.manifest import Weights
from onyxgap.manifest import split_manifest
from onyxgap.ports import ListedTask
from onyxgap.ports import ListedVm
from onyxgap.ports import StartTask
from onyxgap.ports import TaskStatus
from onyxgap.ports import VmList
from onyxgap.ports import VmStatus
from onyxgap.shared import events as ev
from onyxgap.shared.events import Entry
from onyxgap.shared.records import TaskHistory
from onyxgap.shared.records import VmState
from onyxgap.shared.state import FleetState

DAY_S = 86_400.0
ZONES = ("a", "b")


@attrs.define
class FleetHarness:
    """Replicated state with one pool of eight VMs, and the platform's lists.

    Two more VMs are listed and belong to no pool.
    """

    manifest: Manifest
    state: FleetState = attrs.field(factory=FleetState)
    vms: dict[str, ListedVm] = attrs.field(factory=dict)
    listed: dict[str, ListedTask] = attrs.field(factory=dict)
    wall: float = 1000.0
    in_flight: dict[str, int] = attrs.field(factory=dict)
    min_applied_sequence: int = 1_000_000
    age_s: float = 0.0
    pass_input: t.Any = None

    def apply(self, *events: ev.Event) -> None:
        entry = Entry(self.state.sequence + 1, "c", self.wall, "w", "t", events)
        self.state.apply(entry)

    def plan(self) -> PoolPlan:
        observer = Observer(min_absences=1)
        vm_list = VmList(self.age_s, tuple(self.vms.values()))
        observer.record_list(vm_list, self.state.vms.keys(), 100.0)
        self.pass_input = PassInput(
            self.state,
            observer.observe(100.0),
            self.wall,
            self.min_applied_sequence,
            self.in_flight,
        )
        (pool_plan,) = plan_pass(["p"], self.pass_input, self.listed)
        return pool_plan

    def advance(self) -> PoolPlan:
        pool_plan = self.plan()
        self.apply(*pool_plan.events)
        return pool_plan

    def set_vm(self, vm: str, **changes: t.Any) -> None:
        self.vms[vm] = attrs.evolve(self.vms[vm], **changes)


def build_fleet(
    tasks: t.Sequence[Task] = (), teams: t.Sequence[Team] = (), **pool: t.Any
) -> FleetHarness:
    options = {"zones": {"a": 4, "b": 4}, "max_out": 2, **pool}
    manifest = Manifest(
        1, "d", list(ZONES), [Pool("p", **options)], [], list(tasks), list(teams)
    )
    fleet = FleetHarness(manifest)
    fleet.apply(ev.ManifestAccepted(1, split_manifest(manifest)))
    for number in range(10):
        zone = ZONES[number % 2]
        name = f"vm-{number}"
        fleet.vms[name] = ListedVm(
            name, VmStatus.LIVE, zone, f"{zone}-{number // 4}", f"x:{number}"
        )
    fleet.advance()
    fleet.advance()
    return fleet


def find_events(pool_plan: PoolPlan, kind: type) -> list[t.Any]:
    return [event for event in pool_plan.events if isinstance(event, kind)]


def test_pool_gets_declared_number_of_vms_per_zone() -> None:
    fleet = build_fleet()
    zones = sorted(record.zone for record in fleet.state.list_pool("p"))
    assert zones == ["a"] * 4 + ["b"] * 4
    assert fleet.plan().events == []


def test_vm_shortfall_is_reported_with_its_zone() -> None:
    fleet = build_fleet(zones={"a": 6, "b": 4})
    (report,) = fleet.plan().reports
    assert report.finding is Finding.SHORT_OF_VMS
    assert "1 VMs short in a" in report.reason


def test_failed_vm_is_rebooted_then_replaced_then_retired() -> None:
    fleet = build_fleet()
    fleet.set_vm("vm-0", status=VmStatus.DOWN)
    states = []
    orders = []
    for _ in range(16):
        pool_plan = fleet.advance()
        orders += [order for order in pool_plan.orders if isinstance(order, PowerOrder)]
        states.append(fleet.state.vms["vm-0"].state)
        fleet.wall += 200
    assert states[-1] is VmState.RETIRED
    assert [order.action.value for order in orders] == ["reboot", "replace"]
    assert len({order.action_id for order in orders}) == 2
    # A free VM of the same zone has replaced it.
    assert fleet.state.vms["vm-8"].pool == "p"
    assert fleet.plan().reports[0].finding is Finding.GIVEN_UP


def test_vm_absent_from_one_list_is_not_missing() -> None:
    fleet = build_fleet()
    observer = Observer(min_absences=3)
    for number in range(4):
        vms = () if number == 1 else tuple(fleet.vms.values())
        observer.record_list(VmList(0.0, vms), fleet.state.vms.keys(), float(number))
        assert not observer.observe(float(number)).missing


def test_vm_listed_twice_is_reported_and_not_changed() -> None:
    fleet = build_fleet()
    observer = Observer(min_absences=1)
    duplicate = attrs.evolve(fleet.vms["vm-0"], address="y:0")
    vm_list = VmList(0.0, (*fleet.vms.values(), duplicate))
    observer.record_list(vm_list, fleet.state.vms.keys(), 0.0)
    pass_input = PassInput(fleet.state, observer.observe(0.0), 0.0, 1_000, {})
    (pool_plan,) = plan_pass(["p"], pass_input, {})
    assert pool_plan.events == []
    assert pool_plan.reports[0].finding is Finding.CONTRADICTORY


@pytest.mark.promise("budget")
def test_maintenance_wave_halts_when_too_many_vms_have_failed() -> None:
    fleet = build_fleet(max_out=2)
    fleet.wall += 40 * DAY_S
    fleet.apply(ev.VmFailed("vm-1", "gone"))
    fleet.set_vm("vm-1", status=VmStatus.DOWN)
    pool_plan = fleet.plan()
    halted = [r for r in pool_plan.reports if r.finding is Finding.HALTED]
    assert halted
    assert not find_events(pool_plan, ev.VmDraining)


@pytest.mark.promise("budget")
def test_stale_vm_list_blocks_maintenance() -> None:
    fleet = build_fleet()
    fleet.wall += 40 * DAY_S
    fleet.age_s = 60.0
    pool_plan = fleet.plan()
    assert not find_events(pool_plan, ev.VmDraining)
    (overdue,) = [r for r in pool_plan.reports if r.finding is Finding.OVERDUE]
    assert "60 s old" in overdue.reason


def get_overdue_reason(pool_plan: PoolPlan) -> str:
    (overdue,) = [r for r in pool_plan.reports if r.finding is Finding.OVERDUE]
    return overdue.reason


def test_overdue_maintenance_names_the_budget_only_if_it_is_used_up() -> None:
    fleet = build_fleet(max_out=2)
    weights = Weights(moves=5, buffer=50, roll_out=1)
    manifest = attrs.evolve(fleet.manifest, weights=weights)
    fleet.apply(ev.ManifestAccepted(2, split_manifest(manifest)))
    fleet.wall += 40 * DAY_S
    pool_plan = fleet.advance()
    assert len(find_events(pool_plan, ev.VmDraining)) == 1
    assert "used up" not in get_overdue_reason(pool_plan)
    assert "1 VMs are maintained at a time" in get_overdue_reason(pool_plan)


def test_overdue_maintenance_names_the_budget_that_is_used_up() -> None:
    fleet = build_fleet(max_out=1)
    fleet.wall += 40 * DAY_S
    assert "used up" in get_overdue_reason(fleet.advance())


def test_maintenance_wave_goes_zone_by_zone() -> None:
    fleet = build_fleet()
    fleet.wall += 40 * DAY_S
    order = []
    for _ in range(60):
        pool_plan = fleet.advance()
        order += [event.vm for event in find_events(pool_plan, ev.VmDraining)]
        out_of_service = [
            r for r in fleet.state.vms.values() if r.state is not VmState.SERVING
        ]
        assert len(out_of_service) <= 2
        assert len({record.zone for record in out_of_service}) <= 1
        for record in out_of_service:
            if record.state is VmState.DOWN:
                fleet.set_vm(record.name, boots=fleet.vms[record.name].boots + 1)
    zones = [fleet.vms[vm].zone for vm in order]
    assert len(order) == len(set(order)) == 8
    assert zones == sorted(zones)
    assert not needs_reconciliation("p", fleet.pass_input)


def test_pool_due_for_maintenance_needs_reconciliation() -> None:
    fleet = build_fleet()
    fleet.plan()
    assert not needs_reconciliation("p", fleet.pass_input)
    fleet.wall += 40 * DAY_S
    fleet.plan()
    assert needs_reconciliation("p", fleet.pass_input)


@pytest.mark.promise("leaving")
def test_drain_waits_for_acknowledgement_and_requests() -> None:
    fleet = build_fleet()
    fleet.apply(ev.VmDraining("vm-0", ev.Purpose.MAINTENANCE))
    fleet.min_applied_sequence = fleet.state.sequence - 1
    assert not find_events(fleet.plan(), ev.VmRestarting)
    fleet.min_applied_sequence = fleet.state.sequence
    fleet.in_flight = {"vm-0": 1}
    assert not find_events(fleet.plan(), ev.VmRestarting)
    fleet.in_flight = {}
    assert find_events(fleet.plan(), ev.VmRestarting)


@pytest.mark.promise("graceful")
def test_drain_ended_by_the_grace_period_is_reported() -> None:
    fleet = build_fleet()
    fleet.apply(ev.VmDraining("vm-0", ev.Purpose.MAINTENANCE))
    fleet.in_flight = {"vm-0": 3}
    fleet.wall += 31
    pool_plan = fleet.plan()
    assert find_events(pool_plan, ev.VmRestarting)
    assert pool_plan.reports[0].finding is Finding.DRAIN_FORCED


@pytest.mark.promise("graceful")
def test_drain_waits_for_tasks() -> None:
    fleet = build_fleet([Task("t", "p", Priority.BULK, count=1)])
    (attempt,) = fleet.state.attempts.values()
    fleet.apply(ev.VmDraining(attempt.vm, ev.Purpose.MAINTENANCE))
    running = ListedTask(attempt.attempt, attempt.vm, TaskStatus.RUNNING)
    fleet.listed = {attempt.attempt: running}
    pool_plan = fleet.advance()
    assert not find_events(pool_plan, ev.VmRestarting)
    assert find_events(pool_plan, ev.TaskStopping)
    pool_plan = fleet.advance()
    assert [o for o in pool_plan.orders if isinstance(o, StopOrder)]
    assert not find_events(pool_plan, ev.VmRestarting)
    fleet.listed = {attempt.attempt: attrs.evolve(running, status=TaskStatus.STOPPED)}
    fleet.advance()
    assert find_events(fleet.plan(), ev.VmRestarting)


def end_attempt(fleet: FleetHarness, status: TaskStatus) -> str:
    """End one open attempt with a status and return the VM that it ran on."""
    attempt = next(iter(fleet.state.attempts.values()))
    fleet.listed = {attempt.attempt: ListedTask(attempt.attempt, attempt.vm, status)}
    fleet.advance()
    fleet.listed = {}
    fleet.advance()
    return attempt.vm


def test_tasks_are_spread_over_vms_and_start_orders_repeated() -> None:
    fleet = build_fleet([Task("t", "p", Priority.BULK, count=4)])
    pool_plan = fleet.plan()
    starts = [order for order in pool_plan.orders if isinstance(order, StartTask)]
    assert len({order.vm for order in starts}) == 4
    assert [o.attempt for o in fleet.plan().orders] == [o.attempt for o in starts]


@pytest.mark.promise("at-most-once")
def test_lost_task_runs_again_only_if_idempotent() -> None:
    for idempotent, starts in ((True, 2), (False, 1)):
        task = Task("t", "p", Priority.NORMAL, idempotent=idempotent)
        fleet = build_fleet([task])
        end_attempt(fleet, TaskStatus.LOST)
        assert fleet.state.tasks["t"].started == starts
    assert fleet.plan().reports[0].finding is Finding.LOST_TASK


def test_task_that_keeps_losing_its_vms_is_not_restarted_forever() -> None:
    fleet = build_fleet([Task("bad", "p", Priority.NORMAL, idempotent=True)])
    vms = []
    while fleet.state.attempts and len(vms) < 20:
        vms.append(end_attempt(fleet, TaskStatus.LOST))
    assert len(vms) == LOST_IN_A_ROW
    # The VM of the last lost attempt does not get the next one, since it may itself
    # be faulty.
    assert all(first != second for first, second in itertools.pairwise(vms))
    report = fleet.plan().reports[0]
    assert report.finding is Finding.UNRUNNABLE
    assert "lost" in report.reason


def test_task_that_has_succeeded_is_restarted_after_losses() -> None:
    fleet = build_fleet([Task("t", "p", Priority.NORMAL, count=2, idempotent=True)])
    end_attempt(fleet, TaskStatus.DONE)
    for _ in range(2 * LOST_IN_A_ROW):
        end_attempt(fleet, TaskStatus.LOST)
    assert fleet.state.attempts


def test_tasks_that_lost_a_vm_are_placed_on_different_vms() -> None:
    names = ["a", "b", "c"]
    fleet = build_fleet(
        [Task(name, "p", Priority.NORMAL, idempotent=True) for name in names]
    )
    for _ in names:
        end_attempt(fleet, TaskStatus.LOST)
    assert len({attempt.vm for attempt in fleet.state.attempts.values()}) == len(names)


def test_unrunnable_task_is_distinguished_from_faulty_vm() -> None:
    fleet = build_fleet([Task("bad", "p", Priority.NORMAL)])
    vms = [end_attempt(fleet, TaskStatus.FAILED) for _ in range(3)]
    assert len(set(vms)) == 3
    assert find_unrunnable_tasks(fleet.state.tasks) == {"bad"}
    assert not fleet.state.attempts
    assert fleet.plan().reports[0].finding is Finding.UNRUNNABLE
    failing = {f"t{n}": TaskHistory(2, 1, 0, ["vm-9"]) for n in range(3)}
    assert find_faulty_vms(failing) == {"vm-9"}
    assert find_faulty_vms({"bad": fleet.state.tasks["bad"]}) == set()


def test_faulty_vm_is_quarantined_within_the_budget() -> None:
    fleet = build_fleet(max_out=1)
    for number in range(3):
        fleet.state.tasks[f"t{number}"] = TaskHistory(2, 1, 0, ["vm-0", "vm-2"])
    pool_plan = fleet.advance()
    assert len(find_events(pool_plan, ev.VmQuarantined)) == 1
    assert len(pool_plan.reports) == 2
    assert not find_events(fleet.plan(), ev.VmQuarantined)


def test_urgent_task_preempts_as_few_attempts_as_possible() -> None:
    bulk = Task("bulk", "p", Priority.BULK, cores=32, memory_gb=128, count=16)
    fleet = build_fleet([bulk])
    assert len(fleet.state.attempts) == 16
    fleet.listed = {
        name: ListedTask(name, attempt.vm, TaskStatus.RUNNING)
        for name, attempt in fleet.state.attempts.items()
    }
    urgent = Task("now", "p", Priority.URGENT, cores=20, memory_gb=100)
    manifest = attrs.evolve(fleet.manifest, tasks=[bulk, urgent])
    fleet.apply(ev.ManifestAccepted(2, split_manifest(manifest)))
    stopping = find_events(fleet.advance(), ev.TaskStopping)
    assert len(stopping) == 1
    assert not find_events(fleet.plan(), ev.TaskStopping)


def build_fleet_with_failed_urgent_task(idempotent: bool) -> tuple[FleetHarness, str]:
    """Build two VMs, one full of bulk work and one where an urgent task failed."""
    bulk = Task("bulk", "p", Priority.BULK, cores=64, idempotent=idempotent)
    fleet = build_fleet([bulk], zones={"a": 1, "b": 1})
    (attempt,) = fleet.state.attempts.values()
    running = ListedTask(attempt.attempt, attempt.vm, TaskStatus.RUNNING)
    fleet.listed = {attempt.attempt: running}
    urgent = Task("now", "p", Priority.URGENT, cores=20)
    manifest = attrs.evolve(fleet.manifest, tasks=[bulk, urgent])
    fleet.apply(ev.ManifestAccepted(2, split_manifest(manifest)))
    (free,) = {record.name for record in fleet.state.list_pool("p")} - {attempt.vm}
    fleet.state.tasks["now"] = TaskHistory(started=1, failed_on=[free])
    return fleet, attempt.attempt


def test_urgent_task_preempts_on_a_worker_where_it_has_not_failed() -> None:
    fleet, victim = build_fleet_with_failed_urgent_task(idempotent=True)
    stopping = find_events(fleet.plan(), ev.TaskStopping)
    assert [event.attempt for event in stopping] == [victim]


def test_urgent_task_without_any_worker_but_one_where_it_failed_is_reported() -> None:
    fleet, _ = build_fleet_with_failed_urgent_task(idempotent=False)
    pool_plan = fleet.plan()
    assert not find_events(pool_plan, ev.TaskStopping)
    assert [report.finding for report in pool_plan.reports] == [Finding.NO_ROOM]


def test_many_cancelled_tasks_are_stopped_in_one_pass() -> None:
    tasks = [Task(f"t{n}", "p", Priority.BULK, count=4) for n in range(10)]
    fleet = build_fleet(tasks)
    fleet.apply(
        ev.ManifestAccepted(2, {}, [f"tasks/t{number}" for number in range(10)])
    )
    assert len(find_events(fleet.plan(), ev.TaskStopping)) == 40


def test_team_quota_limits_cores() -> None:
    task = Task("t", "p", Priority.BULK, team="x", cores=4, count=8)
    fleet = build_fleet([task], [Team("x", cores=10)])
    assert len(fleet.state.attempts) == 2
    assert fleet.plan().reports[0].finding is Finding.OVER_QUOTA


def test_task_size_is_estimated_from_history() -> None:
    task = Task("t", "p", Priority.BULK, cores=1, memory_gb=1, run_time_s=10)
    assert estimate_size(task, None).memory_gb == 1.0
    history = TaskHistory(sizes=[(10.0, 20.0, 100.0)] * 5)
    size = estimate_size(task, history)
    assert (size.cores, size.memory_gb) == (pytest.approx(11), pytest.approx(22))


@pytest.mark.parametrize(
    ("costs", "price"),
    [
        (PlanCosts(moves=3, buffer=0, roll_out_s=0.0), 6.0),
        (PlanCosts(moves=0, buffer=3, roll_out_s=0.0), 15.0),
        (PlanCosts(moves=0, buffer=0, roll_out_s=180.0), 21.0),
    ],
)
def test_roll_out_is_priced_per_minute(costs: PlanCosts, price: float) -> None:
    assert compute_price(costs, Weights(moves=2, buffer=5, roll_out=7)) == price


def test_weights_determine_parallel_maintenance() -> None:
    loads = [0, 0, 3, 3]
    gradual = list_maintenance_options(loads, 4, Weights(moves=5, buffer=1, roll_out=1))
    fast = list_maintenance_options(loads, 4, Weights(moves=0, buffer=0, roll_out=5))
    assert gradual[0].parallel < fast[0].parallel == 4
    assert gradual[0].price < gradual[1].price


def test_maintenance_wave_takes_vms_without_tasks_first() -> None:
    fleet = build_fleet()
    pool = fleet.manifest.pools[0]
    records = [r for r in fleet.state.list_pool("p") if r.rack == "a-0"]
    busy = records[0].name
    wave = select_maintenance_wave(records, pool, 35, 40 * DAY_S, lambda vm: vm == busy)
    assert [record.name for record in wave][-1] == busy


def test_unchanged_list_counts_absences_like_a_new_one() -> None:
    fleet = build_fleet()
    without_vm_0 = tuple(vm for vm in fleet.vms.values() if vm.name != "vm-0")
    unchanged, copied = Observer(min_absences=3), Observer(min_absences=3)
    for number in range(4):
        unchanged.record_list(
            VmList(0.0, without_vm_0), fleet.state.vms.keys(), float(number)
        )
        copy = (*without_vm_0,)
        assert copy is not without_vm_0
        copied.record_list(VmList(0.0, copy), fleet.state.vms.keys(), float(number))
        now = float(number)
        assert unchanged.observe(now).missing == copied.observe(now).missing
    assert unchanged.observe(4.0).missing == {"vm-0"}
