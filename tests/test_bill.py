"""Tests of the ``bill`` command, which computes totals from the logs of nodes."""

import argparse
import json
import os
import pathlib
import typing as t

import anyio
import orjson
import pytest

from onyxgap.cli.bill import Evidence
from onyxgap.cli.bill import Interval
from onyxgap.cli.bill import LateJob
from onyxgap.cli.bill import find_cause
from onyxgap.cli.bill import make_bill
from onyxgap.cli.bill import render_bill
from onyxgap.cli.bill import run_bill
from onyxgap.cli.tracing import LogLine
from onyxgap.cli.tracing import parse_lines
from onyxgap.logs import BoundedLogWriter

LATE_JOB = LateJob("j1", "quick", "ring", 110.0, 5.0, 1.0, 3.0)


def render_line(second: float, event: str, **fields: t.Any) -> str:
    at = f"2026-02-11T07:00:{second:09.6f}Z"
    return orjson.dumps({"event": event, "timestamp": at, **fields}).decode()


def render_job_end(second: float, job: str, took_s: float, **changes: t.Any) -> str:
    fields = {
        "job": job,
        "queue": "quick",
        "service": "ring",
        "state": "succeeded",
        "took_s": took_s,
        "waited_s": 0.1,
        "objective_s": 3.0,
    }
    return render_line(second, "job ended", **{**fields, **changes})


LOG_LINES = [
    render_line(
        0, "pool sizes chosen", sizes={"ring": 8, "herd": 4}, needs={}, busy=["ring"]
    ),
    render_job_end(1, "in-time", 2.0),
    render_job_end(2, "waited", 9.0, waited_s=7.0),
    render_job_end(3, "slow", 4.0),
    render_job_end(4, "lasting", 30.0, objective_s=None),
    render_job_end(5, "cancelled", 30.0, state="cancelled"),
    render_line(
        10,
        "pool sizes chosen",
        sizes={"ring": 2, "herd": 4},
        needs={"ring": 1.5, "herd": 9.0},
        busy=[],
    ),
    render_line(11, "submission answered", outcome="refused", reason="store away"),
    render_line(12, "submission answered", outcome="accepted", reason=""),
    render_line(13, "VM moves", vm="v1"),
    render_line(20, "pool sizes chosen", sizes={"ring": 2}, needs={}, busy=[]),
]


def parse(lines: t.Sequence[str]) -> list[LogLine]:
    return list(parse_lines("node", "\n".join(lines)))


def test_bill_counts_jobs_rejections_and_vm_seconds() -> None:
    bill = make_bill(parse(LOG_LINES))
    assert bill.jobs == {"succeeded": 4, "cancelled": 1}
    assert bill.late == {
        ("pool too small", "quick"): 1,
        ("run time or order", "quick"): 1,
    }
    assert bill.refused == {"store away": 1}
    assert bill.moves == 1
    assert bill.vm_s == pytest.approx(
        {
            "needed": 15 + 40,
            "idle in a turn": 80,
            "idle between turns": 5,
            "idle before the first turn": 40,
        }
    )


@pytest.mark.parametrize(
    ("evidence", "cause"),
    [
        (Evidence(outages=[Interval(104.0, 106.0)]), "store"),
        (Evidence(outages=[Interval(100.0, 104.9)]), "run time or order"),
        (Evidence(recoveries={"ring": [Interval(109.0, 112.0)]}), "recovery"),
        (Evidence(failures={"j1"}), "worker"),
    ],
)
def test_find_cause_returns_first_cause_that_applies(
    evidence: Evidence, cause: str
) -> None:
    recoveries: t.Any = {"ring": [], **evidence.recoveries}
    evidence.recoveries = recoveries
    assert find_cause(LATE_JOB, evidence) == cause


def test_evidence_of_claims_failures_and_outages_is_collected() -> None:
    log_lines = [
        render_line(10, "shard claimed", shard="ring", epoch=2),
        render_line(11, "store regained", away_s=4.0),
        render_line(12, "task ended", task="j2.0.0.1", kind="failed"),
        render_line(12, "task ended", task="j3.0.0.1", kind="stopped"),
        render_job_end(12, "j1", 4.0),
        render_job_end(40, "j2", 4.0),
        render_job_end(41, "j3", 4.0),
    ]
    assert make_bill(parse(log_lines)).late == {
        ("store", "quick"): 1,
        ("worker", "quick"): 1,
        ("run time or order", "quick"): 1,
    }


def run_command(*names: pathlib.Path, as_json: bool = False) -> int:
    arguments = argparse.Namespace(logs=list(map(str, names)), json=as_json)
    return anyio.run(run_bill, arguments)


def test_command_prints_text_or_json(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log_file = tmp_path / "node.log"
    log_file.write_text("\n".join(f"12.5 node-1 {line}" for line in LOG_LINES))
    assert run_command(log_file) == 0
    assert "pool too small" in capsys.readouterr().out
    assert run_command(log_file, as_json=True) == 0
    assert json.loads(capsys.readouterr().out)["moves"] == 1


def test_dropped_lines_are_counted_with_and_without_timestamp(
    tmp_path: pathlib.Path,
) -> None:
    """Earlier versions reported dropped lines without a timestamp.

    Such a line once made the command fail for the logs of a whole day.
    """
    reader, writer = os.pipe()
    lines = BoundedLogWriter(writer, read_clock=lambda: 0.0)
    lines.dropped = 3
    lines.msg(render_job_end(6, "after", 2.0).encode())
    line_with_time = os.read(reader, 1 << 16).decode()
    os.close(reader)
    os.close(writer)
    line_without_time = orjson.dumps(
        {"event": "log lines dropped", "count": 4}
    ).decode()
    log_file = tmp_path / "node.log"
    log_file.write_text("\n".join([*LOG_LINES, line_without_time, line_with_time]))
    assert run_command(log_file) == 0
    bill = make_bill(parse([*LOG_LINES, line_without_time, line_with_time]))
    assert bill.lost_lines == 7
    assert bill.jobs["succeeded"] == 5
    assert "not counted: 7 log lines" in render_bill(bill)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "no log at all\n{{{",
        render_line(1, "job ended", state="succeeded", objective_s=1.0),
        render_line(1, "pool sizes chosen", sizes=3, needs={}, busy=[])
        + "\n"
        + render_line(2, "pool sizes chosen", sizes=3, needs={}, busy=[]),
        '{"event": "job ended", "timestamp": "yesterday", "state": "succeeded"}',
    ],
)
def test_unusable_log_gives_one_line_and_exit_2(
    text: str, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log_file = tmp_path / "node.log"
    log_file.write_text(text)
    assert run_command(log_file) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_missing_log_gives_one_line_and_exit_2(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_command(tmp_path / "none.log") == 2
    assert len(capsys.readouterr().err.splitlines()) == 1
