"""Puts the log lines of several nodes about one subject in order."""

import argparse
import json
import pathlib
import sys
import typing as t

import attrs
import orjson

TIME_FIELD = "timestamp"
EVENT_FIELD = "event"
WORKER_FIELD = "worker"
HIDDEN_FIELDS = frozenset({TIME_FIELD, EVENT_FIELD, "level"})
EXIT_NOTHING = 1
SHOWN_ITEMS = 4
"""Items of a list that are shown in full."""


@attrs.frozen
class LogLine:
    """One line of a node's log.

    :param at: its timestamp.
    :param source: file, and what stands before the JSON text.
    :param fields: its fields.
    """

    at: str
    source: str
    fields: dict[str, t.Any]

    def mentions(self, subject: str) -> bool:
        """Tell whether any field is the subject, or a part of it such as a task."""
        return any(_is_about(value, subject) for value in self.fields.values())


def _is_about(value: t.Any, subject: str) -> bool:
    if isinstance(value, list):
        return any(_is_about(item, subject) for item in value)
    if not isinstance(value, str):
        return False
    return value == subject or value.startswith(f"{subject}.")


def parse_lines(source: str, text: str) -> t.Iterator[LogLine]:
    """Read the JSON lines of a log; what stands before the brace is kept.

    :param source: name of the file.
    :param text: its content.
    """
    for line in text.splitlines():
        prefix, brace, rest = line.partition("{")
        try:
            fields = orjson.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(fields, dict) and EVENT_FIELD in fields:
            place = " ".join([source, *prefix.split()])
            yield LogLine(str(fields.get(TIME_FIELD, "")), place, fields)


def select_lines(lines: t.Sequence[LogLine], subject: str) -> list[LogLine]:
    """Select what concerns a subject, in order of time.

    Lines about the workers that ran it belong to it, from its first line to its
    last one.

    :param lines: lines of all nodes.
    :param subject: id of a job, task, worker, VM or shard.
    """
    own = sorted(
        (line for line in lines if line.mentions(subject)), key=lambda line: line.at
    )
    if not own:
        return []
    workers = {line.fields.get(WORKER_FIELD) for line in own} - {None}
    first, last = own[0].at, own[-1].at
    beside = [
        line
        for line in lines
        if line.fields.get(WORKER_FIELD) in workers
        and first <= line.at <= last
        and not line.fields.keys() & {"task", "tasks"}
        and not line.mentions(subject)
    ]
    return sorted([*own, *beside], key=lambda line: line.at)


def _shorten(value: t.Any, subject: str) -> t.Any:
    """Leave of a long list what is about the subject, and the number of the others."""
    if not isinstance(value, list) or len(value) <= SHOWN_ITEMS:
        return value
    own = [item for item in value if _is_about(item, subject)]
    return [*own, f"and {len(value) - len(own)} others"]


def render_line(line: LogLine, subject: str = "") -> str:
    """Render a line for people.

    :param line: the line.
    :param subject: whom it is shown for, so that long lists can be shortened.
    """
    shown = {
        key: _shorten(value, subject) if subject else value
        for key, value in line.fields.items()
        if key not in HIDDEN_FIELDS
    }
    text = " ".join(f"{key}={json.dumps(value)}" for key, value in shown.items())
    return f"{line.at}  {line.source}  {line.fields[EVENT_FIELD]}: {text}"


async def run_trace(arguments: argparse.Namespace) -> int:
    """Print what the logs say of a subject."""
    lines: list[LogLine] = []
    for name in arguments.logs:
        path = pathlib.Path(name)
        try:
            lines += parse_lines(path.name, path.read_text(errors="replace"))
        except OSError as error:
            print(f"{name}: {error.strerror}", file=sys.stderr)
            return EXIT_NOTHING
    selected = select_lines(lines, arguments.subject)
    for line in selected:
        text = render_line(line, arguments.subject)
        print(json.dumps(line.fields) if arguments.json else text)
    if not selected:
        print(f"no line mentions {arguments.subject}", file=sys.stderr)
        return EXIT_NOTHING
    return 0
