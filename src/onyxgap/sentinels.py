"""Falsy sentinel values for absent results, with the reason of the absence."""

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
"""Result of reading a row that does not exist; test it by its truth value."""
