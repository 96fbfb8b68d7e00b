"""Shared exceptions of the package; all of them derive from OnyxgapError."""

import typing as t

import attrs

MALFORMED_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
"""Errors that can be raised when a decoded document has an unexpected structure.
Formatting a deeply nested value raises ``RecursionError``."""


class OnyxgapError(Exception):
    """Base class of the errors that this package raises deliberately."""


@attrs.frozen
class Fault:
    """A validation error in a document.

    :param path: JSON path of the value, such as ``$.pools[2].size``.
    :param reason: what is wrong with it.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


class DocumentError(OnyxgapError):
    """A document, such as a manifest or settings file, is invalid.

    :param faults: every fault found, in document order.
    """

    def __init__(self, faults: t.Sequence[Fault]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = tuple(faults)


class ConflictError(OnyxgapError):
    """Another writer's version was accepted first.

    :param version: the current version.
    :param author: who wrote that version.
    """

    def __init__(self, version: int, author: str) -> None:
        super().__init__(f"version {version} by {author} is already accepted")
        self.version = version
        self.author = author


class PlatformUnavailableError(OnyxgapError):
    """The platform did not answer; a read may be retried."""


class UnknownOutcomeError(OnyxgapError):
    """A write was sent, and reading back did not show whether it was applied."""


class FrameError(OnyxgapError):
    """A peer sent bytes that are not a valid frame."""


class HistoryTruncatedError(OnyxgapError):
    """The store no longer has the requested changes; the table must be read in full."""


class WriteRefusedError(OnyxgapError):
    """The store will not carry out a write, however often it is repeated."""


class OwnershipLostError(OnyxgapError):
    """Another process owns the shard; this one must make no more decisions for it."""
