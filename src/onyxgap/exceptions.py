"""The exception tree of the package; every error derives from OnyxgapError."""

import typing as t

import attrs

MALFORMED_ERRORS = (LookupError, TypeError, ValueError, AttributeError, ArithmeticError)
"""Errors that converting a decoded document of an unexpected shape may raise."""


class OnyxgapError(Exception):
    """Base class of all errors raised on purpose."""


@attrs.frozen
class Fault:
    """One fault of a checked document.

    :param path: JSON path of the value, such as ``$.pools[2].size``.
    :param reason: what is wrong with it.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


class DocumentError(OnyxgapError):
    """A manifest or settings file has faults; all of them are listed.

    :param faults: every fault found, in document order.
    """

    def __init__(self, faults: t.Sequence[Fault]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = tuple(faults)


class ConflictError(OnyxgapError):
    """Another writer was first.

    :param version: the version now in force.
    :param author: who wrote it.
    """

    def __init__(self, version: int, author: str) -> None:
        super().__init__(f"version {version} by {author} is already accepted")
        self.version = version
        self.author = author


class PlatformUnavailableError(OnyxgapError):
    """The platform gave no answer; a read may be repeated."""


class UnknownOutcomeError(OnyxgapError):
    """A write was sent and could not be settled by reading it back."""


class FrameError(OnyxgapError):
    """A peer sent bytes that are not a valid frame."""


class HistoryLostError(OnyxgapError):
    """The store dropped the changes that were asked for; read everything again."""


class OwnershipLostError(OnyxgapError):
    """Another process owns the shard now; nothing more may be decided here."""
