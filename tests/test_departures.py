"""Log lines about workers that leave as ordered, and about those that are lost."""

import typing as t

import anyio
import pytest
import structlog.testing

from onyxgap.jobs.departures import MAX_NAMED_WORKERS
from onyxgap.jobs.messages import Step
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from tests.emulated import load_day
from tests.emulated import play
from tests.test_drained_workers import build_owner_of_drained_worker
from tests.test_shard import ShardHarness

RESET = Reply(ReplyKind.NO_ANSWER, detail="ConnectionResetError")
CORDON = "move#1.1"
EVENTS = {"worker silent", "worker removed", "workers left as ordered"}

Line = t.MutableMapping[str, t.Any]


@pytest.fixture
def harness() -> ShardHarness:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    return harness


def cordon(harness: ShardHarness, *worker_ids: str, drained: bool = True) -> None:
    harness.shard.set_cordons(dict.fromkeys(worker_ids, CORDON))
    if drained:
        emptied = harness.shard.list_drained_workers()
        harness.shard.departures.note_drained(emptied)


def leave(harness: ShardHarness, worker_id: str = "w1") -> list[Line]:
    """Reset the connections of a worker, and remove it; return the lines."""
    with structlog.testing.capture_logs() as lines:
        harness.shard.apply_failure(worker_id, RESET, harness.now)
        harness.shard.remove_worker(worker_id, "VM is down", harness.now)
        harness.shard.departures.log()
    return [line for line in lines if line["event"] in EVENTS]


def read_levels(lines: t.Sequence[Line]) -> list[tuple[str, str]]:
    return [(line["event"], line["log_level"]) for line in lines]


def test_drained_workers_that_go_are_logged_in_one_line(harness: ShardHarness) -> None:
    worker_ids = ["w1", *(f"w{number}" for number in range(2, 2 * MAX_NAMED_WORKERS))]
    for worker_id in worker_ids[1:]:
        harness.add_worker(worker_id)
    cordon(harness, *worker_ids)
    with structlog.testing.capture_logs() as lines:
        for worker_id in worker_ids:
            harness.shard.apply_failure(worker_id, RESET, harness.now)
        harness.shard.departures.log()
        for worker_id in worker_ids:
            harness.shard.set_cordons({})
            harness.shard.remove_worker(worker_id, "VM is down", harness.now)
        harness.shard.departures.log()
    (line,) = [line for line in lines if line["log_level"] != "debug"]
    assert line["event"] == "workers left as ordered"
    assert line["count"] == len(worker_ids)
    assert line["workers"] == worker_ids[:MAX_NAMED_WORKERS]


def test_drained_worker_that_registers_elsewhere_at_once_is_logged_as_left(
    harness: ShardHarness,
) -> None:
    cordon(harness, "w1")
    with structlog.testing.capture_logs() as lines:
        harness.shard.remove_worker("w1", "registered for another service", 101.0)
        harness.shard.departures.log()
    assert read_levels(lines) == [
        ("worker removed", "debug"),
        ("workers left as ordered", "info"),
    ]


def test_cordoned_worker_that_was_not_reported_drained_keeps_its_lines(
    harness: ShardHarness,
) -> None:
    cordon(harness, "w1", drained=False)
    assert read_levels(leave(harness)) == [
        ("worker silent", "info"),
        ("worker removed", "info"),
    ]


def test_worker_that_was_reported_drained_under_an_earlier_cordon_keeps_its_lines(
    harness: ShardHarness,
) -> None:
    cordon(harness, "w1")
    harness.shard.set_cordons({"w1": "upkeep#1.2"})
    assert read_levels(leave(harness))[0] == ("worker silent", "info")


def test_loss_of_a_worker_is_a_warning(harness: ShardHarness) -> None:
    assert read_levels(leave(harness)) == [
        ("worker silent", "warning"),
        ("worker removed", "warning"),
    ]


def test_loss_of_runs_of_a_cordoned_worker_is_a_warning(harness: ShardHarness) -> None:
    harness.add_job(Step(1, cpu=1000))
    harness.start_all()
    cordon(harness, "w1")
    lines = leave(harness)
    assert read_levels(lines) == [
        ("worker silent", "warning"),
        ("worker removed", "warning"),
    ]
    assert lines[0]["placed"] == lines[1]["freed"] == 1


def test_drained_worker_that_answers_again_has_not_left(harness: ShardHarness) -> None:
    cordon(harness, "w1")
    harness.shard.apply_failure("w1", RESET, harness.now)
    harness.report("w1")
    harness.shard.set_cordons({})
    assert read_levels(leave(harness))[0] == ("worker silent", "warning")


def test_owner_knows_what_it_has_reported_once_that_is_stored() -> None:
    async def test() -> None:
        owner = build_owner_of_drained_worker()
        commit = owner._build_commit([])
        assert commit is not None
        assert owner.state.departures.drained == {}
        owner._apply_commit(commit)
        assert owner.state.departures.drained == {"w1": "move#1"}

    anyio.run(test)


def test_day_without_losses_has_no_line_about_a_lost_worker() -> None:
    with structlog.testing.capture_logs() as lines:
        play(load_day("calm"), 1)
    left = [line for line in lines if line["event"] == "workers left as ordered"]
    assert sum(line["count"] for line in left) > 0
    lost = [
        line for line in lines if line["event"] in ("worker silent", "worker removed")
    ]
    assert {line["log_level"] for line in lost} == {"debug"}
