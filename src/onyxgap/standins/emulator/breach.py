"""A broken rule, as a check of a finished day finds it."""

import attrs


@attrs.frozen
class Breach:
    """A broken rule.

    :param rule: its name.
    :param at: monotonic seconds.
    :param detail: what happened.
    """

    rule: str
    at: float
    detail: str
