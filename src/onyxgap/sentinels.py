"""Falsy values that stand for an absent result and say why it is absent."""

import typing as t

import attrs


@attrs.frozen
class Missing:
    """An absent value with its reason; always false.

    :param reason: one phrase for logs and reports.
    """

    reason: str

    def __bool__(self) -> t.Literal[False]:
        return False

    def __repr__(self) -> str:
        return f"<missing: {self.reason}>"


NOT_FOUND = Missing("no such row")
NOT_READ = Missing("not read yet")
STORE_UNAVAILABLE = Missing("the platform's store did not answer")
NO_TARGET = Missing("no serving target")
NO_BUDGET = Missing("availability budget is used up")
"""Sentinels with fixed reasons; compare them by identity or by truth."""
