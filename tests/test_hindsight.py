"""The plan of a finished day with all that is known of it afterwards."""

import typing as t

import attrs
import pytest

from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.routing import Route
from onyxgap.standins.emulator.callers import build_policy
from onyxgap.standins.emulator.experiment import HINDSIGHT
from onyxgap.standins.emulator.experiment import render_table
from onyxgap.standins.emulator.hindsight import ACCEPT_S
from onyxgap.standins.emulator.hindsight import BREAK_EVEN_S
from onyxgap.standins.emulator.hindsight import GRID_S
from onyxgap.standins.emulator.hindsight import Plan
from onyxgap.standins.emulator.hindsight import list_stays
from onyxgap.standins.emulator.hindsight import plan_in_hindsight
from onyxgap.standins.emulator.job_notes import JobNotes
from tests.emulated import load_day
from tests.emulated import play

END_S = 20.0
CPU = {"ring": 10_000}


@attrs.define
class Callers:
    """What callers were told."""

    jobs: dict[str, JobNotes] = attrs.field(factory=dict)


@attrs.define
class Day:
    """What the plan looks at of a day's evidence."""

    callers: Callers = attrs.field(factory=Callers)

    def add(
        self,
        sent_at: float,
        *steps: Step,
        objective_s: float = 3.0,
        work_s: float = 1.0,
    ) -> JobNotes:
        job_id = f"{len(self.callers.jobs):016x}"
        policy = build_policy("ring")
        notes = JobNotes(
            Submission(job_id, policy, "", steps),
            Route("host", "/ring/", policy),
            sent_at,
            objective_s,
            accepted_at=sent_at,
        )
        for number, step in enumerate(steps):
            for position in range(step.count):
                notes.work_s[TaskId(job_id, 0, number, position)] = work_s
        self.callers.jobs[job_id] = notes
        return notes

    def plan(self, base: int = 0, vms: int = 9) -> Plan:
        evidence = t.cast("t.Any", self)
        return plan_in_hindsight(evidence, CPU, {"ring": base}, vms, END_S)


def test_vms_come_for_the_time_that_tasks_run() -> None:
    day = Day()
    day.add(5.0, Step(3, cpu=10_000), work_s=2.0)
    plan = day.plan()
    assert (plan.in_time, plan.late, plan.moves) == (1, 0, 6)
    # two seconds of work and the move before it, for each of three VMs
    # rounded outward to the grid
    assert plan.vm_s == pytest.approx(3 * 3.5, abs=3 * 2 * GRID_S)


def test_vms_that_are_never_needed_are_given_back_at_once() -> None:
    day = Day()
    day.add(0.0, Step(1, cpu=5_000))
    plan = day.plan(base=4)
    assert plan.moves == 4
    assert plan.vm_s == pytest.approx(1.0, abs=2 * GRID_S)


def test_vm_is_kept_through_a_gap_that_costs_less_than_two_moves() -> None:
    gap = int(BREAK_EVEN_S / GRID_S)
    assert list_stays([1, *[0] * gap, 1], 1) == [(0, gap + 2)]
    assert list_stays([1, *[0] * (gap + 1), 1], 1) == [(0, 1), (gap + 2, gap + 3)]


def test_job_whose_chain_exceeds_its_objective_is_late_in_any_plan() -> None:
    day = Day()
    steps = (Step(1, cpu=1), Step(1, cpu=1, after=(0,)))
    day.add(1.0, *steps, objective_s=2.0 + 2 * ACCEPT_S, work_s=1.0)
    day.add(1.0, *steps, objective_s=1.9, work_s=1.0)
    day.add(1.0, Step(1, cpu=1), work_s=9.0).cancelled_at = 2.0
    plan = day.plan()
    assert (plan.in_time, plan.late) == (1, 1)


def test_more_work_than_all_vms_hold_is_told() -> None:
    day = Day()
    day.add(5.0, Step(10, cpu=10_000), work_s=1.0)
    assert day.plan(vms=10).short_s == 0.0
    assert day.plan(vms=9).short_s == pytest.approx(1.0, abs=2 * GRID_S)


def test_no_policy_serves_more_than_the_plan() -> None:
    result = play(load_day("short"), 3)
    assert result.account.in_time <= result.hindsight.in_time
    assert result.hindsight.vm_s < result.account.vm_s


def test_table_leaves_out_what_a_plan_does_not_know() -> None:
    described = [
        {"policy": "forecast", "means": {"in_time": 3.0, "runs": 9.0}, "breaches": {}},
        {"policy": HINDSIGHT, "means": {"in_time": 4.0}, "breaches": {}},
    ]
    lines = render_table(described).splitlines()
    assert lines[2].split() == ["runs", "9", "-"]
