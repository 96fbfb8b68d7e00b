"""Tests of ``explain --logs``, which merges log lines of several nodes about a job."""

import argparse
import pathlib

import anyio
import pytest

from onyxgap.cli.main import build_parser
from onyxgap.cli.tracing import parse_lines
from onyxgap.cli.tracing import render_line
from onyxgap.cli.tracing import run_trace
from onyxgap.cli.tracing import select_lines

FIRST_LOG = """\
  1.0 node-1 {"event":"submission answered","job":"aa11","timestamp":"T1"}
no json at all
{"event":"worker silent","worker":"w1","timestamp":"T3"}
{"event":"worker silent","worker":"w1","timestamp":"T9"}
{"event":"worker silent","worker":"w2","timestamp":"T3"}
"""
SECOND_LOG = """\
{"event":"task ended","task":"aa11.0.0.1","worker":"w1","timestamp":"T4"}
{"event":"task ended","task":"bb22.0.0.1","worker":"w1","timestamp":"T4"}
{"event":"tasks done","tasks":["bb22.0.0.0","aa11.0.0.2"],"timestamp":"T6"}
{"event":"tasks done","tasks":["bb22.0.0.0"],"timestamp":"T6"}
{"event":"job failed","job":"aa11","timestamp":"T5"}
"""


def test_lines_of_a_job_and_of_its_workers_are_merged_in_order() -> None:
    lines = [*parse_lines("b", SECOND_LOG), *parse_lines("a", FIRST_LOG)]
    events = [line.fields["event"] for line in select_lines(lines, "aa11")]
    assert events == [
        "submission answered",
        "worker silent",
        "task ended",
        "job failed",
        "tasks done",
    ]
    assert select_lines(lines, "cc33") == []


def test_lines_about_a_job_of_another_queue_with_the_same_id_can_be_left_out() -> None:
    text = """
{"event":"cancel answered","job":"aa11","queue":"bids","timestamp":"T1"}
{"event":"cancel answered","job":"aa11","queue":"visits","timestamp":"T2"}
"""
    lines = list(parse_lines("a", text))
    queues = [line.fields["queue"] for line in select_lines(lines, "aa11", "bids")]
    assert queues == ["bids"]
    assert len(select_lines(lines, "aa11")) == 2


def test_command_prints_lines_and_fails_if_none_is_found(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "node-1.log"
    path.write_text(FIRST_LOG)
    arguments = build_parser().parse_args(["explain", "aa11", "--logs", str(path)])
    assert isinstance(arguments, argparse.Namespace)
    assert anyio.run(run_trace, arguments) == 0
    assert "submission answered" in capsys.readouterr().out
    arguments.subject = "zz"
    assert anyio.run(run_trace, arguments) == 1


def test_long_list_is_reduced_to_items_about_the_subject() -> None:
    other_tasks = ", ".join(f'"bb22.0.0.{number}"' for number in range(9))
    text = f'{{"event":"tasks done","tasks":["aa11.0.0.2", {other_tasks}]}}'
    (line,) = parse_lines("a", text)
    rendered = render_line(line, "aa11")
    assert '"aa11.0.0.2", "and 9 others"' in rendered
    assert "bb22.0.0.8" in render_line(line)


STANDING_LOG = """\
{"event":"shard without owner","shard":"ring","timestamp":"T0"}
{"event":"submission answered","job":"aa11","service":"ring","timestamp":"T1"}
{"event":"shard without owner","shard":"ring","timestamp":"T2"}
{"event":"shard without owner","shard":"herd","timestamp":"T2"}
{"event":"more shards without owner","shards":["herd","ring"],"timestamp":"T3"}
{"event":"shard loaded","shard":"ring","timestamp":"T4"}
{"event":"more jobs stand","service":"ring","jobs":["bb22","aa11"],"timestamp":"T5"}
{"event":"more jobs stand","service":"ring","jobs":["bb22"],"timestamp":"T6"}
{"event":"more jobs stand","service":"herd","jobs":["cc33"],"timestamp":"T6"}
{"event":"job stands","job":"aa11","service":"ring","worker":"w1","timestamp":"T7"}
{"event":"workers left as ordered","workers":["w1","w2"],"timestamp":"T7"}
{"event":"workers left as ordered","workers":["w3"],"timestamp":"T7"}
{"event":"shard without owner","shard":"ring","timestamp":"T8"}
"""


def test_lines_of_a_job_that_stands_include_those_of_its_shard() -> None:
    lines = list(parse_lines("a", STANDING_LOG))
    selected = select_lines(lines, "aa11")
    assert [(line.fields["event"], line.at) for line in selected] == [
        ("submission answered", "T1"),
        ("shard without owner", "T2"),
        ("more shards without owner", "T3"),
        ("shard loaded", "T4"),
        ("more jobs stand", "T5"),
        ("more jobs stand", "T6"),
        ("job stands", "T7"),
        ("workers left as ordered", "T7"),
        ("shard without owner", "T8"),
    ]


def test_lines_of_a_job_do_not_include_those_of_its_shard_after_its_end() -> None:
    text = (
        STANDING_LOG
        + """\
{"event":"job ended","job":"aa11","service":"ring","timestamp":"U0"}
{"event":"shard without owner","shard":"ring","timestamp":"U1"}
"""
    )
    selected = select_lines(list(parse_lines("a", text)), "aa11")
    assert selected[-1].fields["event"] == "job ended"


def test_lines_of_a_worker_do_not_include_those_of_shards() -> None:
    lines = list(parse_lines("a", STANDING_LOG))
    events = [line.fields["event"] for line in select_lines(lines, "w1")]
    assert events == ["job stands", "workers left as ordered"]
