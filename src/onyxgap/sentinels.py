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
"""What a read of a row gives where none stands; compare it by truth."""
