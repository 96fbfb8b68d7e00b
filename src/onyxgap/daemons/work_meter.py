"""Counts the work of scheduling passes and reports."""

import typing as t


class WorkMeter(t.Protocol):
    """Counts the work that a process has done."""

    def count_steps(self, steps: int) -> None:
        """Count steps of jobs that a scheduling pass or a report has gone through.

        :param steps: their number.
        """


class NoWorkMeter:
    """Counts nothing."""

    def count_steps(self, steps: int) -> None:
        """Do nothing."""
