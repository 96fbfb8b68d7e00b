"""Scripted scenarios: a small language for faults, load and promises.

Its grammar is in ``scenario.lark``; reading it needs the ``lark`` library of
the development extra.
"""

import pathlib
import typing as t

import attrs

GRAMMAR = pathlib.Path(__file__).with_name("scenario.lark")


@attrs.frozen
class Load:
    """Requests sent at a fixed pace, through the entries in turn.

    :param service: service and job to call.
    :param every_s: seconds between two requests.
    :param resend: share of requests whose key is sent again by the caller.
    """

    service: str
    job: str
    every_s: float
    start_s: float
    end_s: float
    keyed: bool = False
    resend: bool = False


@attrs.frozen
class Action:
    """Something that happens at a moment.

    :param verb: name of the action.
    :param words: its arguments.
    """

    at_s: float
    verb: str
    words: tuple[str, ...]


@attrs.frozen
class Scenario:
    """A whole scenario.

    :param promise: the promise it proves.
    :param example: folder of the example whose manifest it uses.
    :param end_s: when it ends.
    """

    name: str
    promise: str
    example: str
    entries: int
    controls: int
    end_s: float
    loads: tuple[Load, ...]
    actions: tuple[Action, ...]


def parse_scenario(text: str) -> Scenario:
    """Read a scenario.

    :param text: its text.
    :raises lark.exceptions.LarkError: when it does not follow the grammar.
    """
    import lark  # only tests and benchmarks read scenarios

    class Reader(lark.Transformer[t.Any, Scenario]):
        """Turns the parse tree into attrs classes."""

        def time(self, items: t.Any) -> float:
            number, unit = items
            return float(number) * {"ms": 0.001, "s": 1.0}[str(unit)]

        def word(self, items: t.Any) -> str:
            return str(items[0])

        def title(self, items: t.Any) -> tuple[str, str]:
            return "name", str(items[0])[1:-1]

        def promise(self, items: t.Any) -> tuple[str, str]:
            return "promise", str(items[0])

        def deployment(self, items: t.Any) -> tuple[str, t.Any]:
            return "deployment", (str(items[0]), int(items[1]), int(items[2]))

        def end(self, items: t.Any) -> tuple[str, float]:
            return "end_s", items[0]

        def keyed(self, items: t.Any) -> str:
            return "keyed"

        def resend(self, items: t.Any) -> str:
            return "resend"

        def load(self, items: t.Any) -> Load:
            service, job, every, start, end, *flags = items
            return Load(
                str(service),
                str(job),
                every,
                start,
                end,
                "keyed" in flags or "resend" in flags,
                "resend" in flags,
            )

        def action(self, items: t.Any) -> Action:
            at, verb, *words = items
            return Action(at, str(verb), tuple(words))

        def start(self, items: t.Any) -> Scenario:
            plain: dict[str, t.Any] = dict(
                item for item in items if isinstance(item, tuple)
            )
            example, entries, controls = plain["deployment"]
            return Scenario(
                name=plain["name"],
                promise=plain["promise"],
                example=example,
                entries=entries,
                controls=controls,
                end_s=plain["end_s"],
                loads=tuple(item for item in items if isinstance(item, Load)),
                actions=tuple(item for item in items if isinstance(item, Action)),
            )

    tree = lark.Lark(GRAMMAR.read_text(), parser="lalr").parse(text)
    return Reader().transform(tree)
