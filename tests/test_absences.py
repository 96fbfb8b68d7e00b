"""Serving tasks that stay away although nothing disturbs the nodes."""

import pytest

from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.routing import Route
from onyxgap.standins.emulator.callers import build_policy
from onyxgap.standins.emulator.disturbances import DisturbanceLog
from onyxgap.standins.emulator.job_notes import JobNotes
from onyxgap.standins.emulator.runs import RunRecord
from onyxgap.standins.emulator.serving_checks import check_absences

TASK = TaskId("job", 0, 0, 0)
Spans = list[tuple[str, float, float]]


def count_breaches(began_again: float, spans: Spans) -> int:
    """Check a serving task that is away from second 10 on.

    :param began_again: when it runs again.
    :param spans: node, begin and end of each disturbance.
    """
    policy = build_policy("ring")
    submission = Submission("job", policy, "", (Step(1, 1, 1, 1, long_running=True),))
    notes = JobNotes(submission, Route("host", "/ring/", policy), 0.0, 1e9)
    notes.accepted_at = 1.0
    first = RunRecord(TASK, 1, "worker-1", "node-0", 1, 2.0)
    first.ended, first.how = 10.0, "gone"
    second = RunRecord(TASK, 2, "worker-2", "node-0", 1, began_again)
    log = DisturbanceLog(spans)
    return len(list(check_absences({"job": notes}, [first, second], log)))


@pytest.mark.parametrize(
    "spans",
    [
        [],
        [("node-1", 9.0, 9.5)],
        [("node-1", 16.5, 17.0), ("node-2", 17.0, 18.0)],
        [("", 0.0, 1.0)],
        [("node-1", 10.5, 12.0), ("node-2", 11.0, 11.5)],
    ],
)
def test_absence_with_a_long_calm_stretch_is_a_breach_despite_faults(
    spans: Spans,
) -> None:
    assert count_breaches(22.0, spans) == 1


@pytest.mark.parametrize(
    "spans",
    [
        [("node-1", 9.0, 19.0)],
        [("", 14.0, 15.0)],
        [("node-1", 15.0, 16.0), ("node-2", 10.0, 12.0)],
    ],
)
def test_absence_whose_calm_stretches_are_short_is_allowed(spans: Spans) -> None:
    assert count_breaches(22.0, spans) == 0


def test_short_absence_is_allowed_without_faults() -> None:
    assert count_breaches(15.9, []) == 0


def test_time_in_which_orders_are_late_is_no_calm_time() -> None:
    log = DisturbanceLog(order_spans=[(9.0, 17.0)])
    assert log.measure_calm(10.0, 22.0) == 5.0
    log = DisturbanceLog(cut_spans=[(9.0, 17.0)])
    assert log.measure_calm(10.0, 22.0) == 12.0
