"""Merges the log lines of several nodes about one subject in order of time."""

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
QUEUE_FIELD = "queue"
JOB_FIELD = "job"
SERVICE_FIELD = "service"
END_EVENT = "job ended"
DEPARTURE_EVENT = "workers left as ordered"
SHARD_EVENTS = frozenset(
    {
        "claiming shard",
        "first task started",
        "list of VMs in doubt",
        "more jobs stand",
        "more shards without owner",
        "shard claimed",
        "shard failed",
        "shard is being loaded",
        "shard loaded",
        "shard lost",
        "shard not loaded",
        "shard released",
        "shard without owner",
    }
)
"""Events of a shard that tell why its jobs stand."""
HIDDEN_FIELDS = frozenset({TIME_FIELD, EVENT_FIELD, "level"})
EXIT_FAILURE = 1
MAX_LIST_ITEMS = 4
"""Longest list that is printed in full."""


@attrs.frozen
class LogLine:
    """Structured log line of a node.

    :param at: its timestamp, as text.
    :param source: file name and the text before the JSON object.
    :param fields: its fields.
    """

    at: str
    source: str
    fields: dict[str, t.Any]

    def mentions(self, subject: str) -> bool:
        """Return whether a field names the subject or a part of it, such as a task.

        :param subject: id of a job, task, worker, VM or shard.
        """
        return any(_refers_to(value, subject) for value in self.fields.values())

    def is_of_queue(self, queue: str) -> bool:
        """Return whether no field names another queue.

        :param queue: name of the queue; empty for any.
        """
        return not queue or self.fields.get(QUEUE_FIELD, queue) == queue


def _refers_to(value: t.Any, subject: str) -> bool:
    if isinstance(value, list):
        return any(_refers_to(item, subject) for item in value)
    if not isinstance(value, str):
        return False
    return value == subject or value.startswith(f"{subject}.")


def parse_lines(source: str, text: str) -> t.Iterator[LogLine]:
    """Parse the JSON lines of a log and skip all others.

    Text before the JSON object, such as a prefix with the name of a node, becomes
    part of the source of the line.

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
            line_source = " ".join([source, *prefix.split()])
            yield LogLine(str(fields.get(TIME_FIELD, "")), line_source, fields)


def select_lines(
    lines: t.Sequence[LogLine], subject: str, queue: str = ""
) -> list[LogLine]:
    """Select the lines about a subject, in order of time.

    Lines about the workers that ran it are included if they were written between its
    first and its last line and name no task. So are lines about the shard of a job, up
    to the end of the log if the job has not ended.

    :param lines: log lines of all nodes.
    :param subject: id of a job, task, worker, VM or shard.
    :param queue: queue of the job, since another one may have a job of that id; empty
        for the jobs of all queues.
    """
    matching = sorted(
        (line for line in lines if line.mentions(subject) and line.is_of_queue(queue)),
        key=lambda line: line.at,
    )
    if not matching:
        return []
    workers = {line.fields.get(WORKER_FIELD) for line in matching} - {None}
    first, last = matching[0].at, matching[-1].at
    worker_lines = [
        line
        for line in lines
        if _is_of_workers(line, workers)
        and first <= line.at <= last
        and not line.fields.keys() & {"task", "tasks"}
        and not line.mentions(subject)
    ]
    shard_lines = [
        line
        for line in _list_shard_lines(lines, matching, subject)
        if not line.mentions(subject)
    ]
    selected = [*matching, *worker_lines, *shard_lines]
    return sorted(selected, key=lambda line: line.at)


def _is_of_workers(line: LogLine, workers: t.Collection[t.Any]) -> bool:
    if line.fields[EVENT_FIELD] == DEPARTURE_EVENT:
        return any(worker in workers for worker in line.fields["workers"])
    return line.fields.get(WORKER_FIELD) in workers


def _list_shard_lines(
    lines: t.Sequence[LogLine], matching: t.Sequence[LogLine], subject: str
) -> t.Iterator[LogLine]:
    """Yield the lines about the shard of a job from the first line about the job on.

    :param lines: log lines of all nodes.
    :param matching: lines about the subject, in order of time.
    :param subject: id of a job; for other subjects, no line is yielded.
    """
    own = [line for line in matching if line.fields.get(JOB_FIELD) == subject]
    shards = {line.fields.get(SERVICE_FIELD) for line in own} - {None}
    ended = [line.at for line in own if line.fields[EVENT_FIELD] == END_EVENT]
    for line in lines:
        is_within = matching[0].at <= line.at and not (ended and line.at > ended[-1])
        if is_within and line.fields[EVENT_FIELD] in SHARD_EVENTS:
            fields = line.fields
            named = [fields.get("shard"), fields.get(SERVICE_FIELD)]
            if shards & {*named, *fields.get("shards", ())}:
                yield line


def _shorten(value: t.Any, subject: str) -> t.Any:
    """Reduce a long list to the items about the subject and the number of others."""
    if not isinstance(value, list) or len(value) <= MAX_LIST_ITEMS:
        return value
    matching = [item for item in value if _refers_to(item, subject)]
    return [*matching, f"and {len(value) - len(matching)} others"]


def render_line(line: LogLine, subject: str = "") -> str:
    """Render a log line as text.

    :param line: the line.
    :param subject: id that long lists are shortened to; if empty, they are kept.
    """
    shown = {
        key: _shorten(value, subject) if subject else value
        for key, value in line.fields.items()
        if key not in HIDDEN_FIELDS
    }
    text = " ".join(f"{key}={json.dumps(value)}" for key, value in shown.items())
    return f"{line.at}  {line.source}  {line.fields[EVENT_FIELD]}: {text}"


async def run_trace(arguments: argparse.Namespace) -> int:
    """Print the log lines about a subject.

    :param arguments: parsed arguments.
    :returns: 0, or 1 if a file cannot be read or no line mentions the subject.
    """
    lines: list[LogLine] = []
    for name in arguments.logs:
        path = pathlib.Path(name)
        try:
            lines += parse_lines(path.name, path.read_text(errors="replace"))
        except OSError as error:
            print(f"{name}: {error.strerror}", file=sys.stderr)
            return EXIT_FAILURE
    selected = select_lines(lines, arguments.subject, arguments.queue)
    for line in selected:
        text = render_line(line, arguments.subject)
        print(json.dumps(line.fields) if arguments.json else text)
    if not selected:
        print(f"no log line mentions {arguments.subject}", file=sys.stderr)
        return EXIT_FAILURE
    return 0
