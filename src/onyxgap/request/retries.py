"""Decides whether an attempt is followed by another, within a budget."""

import attrs

from .. import defaults
from ..verdict import Verdict
from ..verdict import may_retry


@attrs.define
class RetryBudget:
    """Keeps retries below a share of the first attempts.

    :param share: retries earned by each first attempt.
    :param burst: most retries saved up.
    """

    share: float = defaults.RETRY_BUDGET_SHARE
    burst: float = defaults.RETRY_BUDGET_BURST
    _tokens: float = defaults.RETRY_BUDGET_BURST

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self.burst, self._tokens + self.share)

    def spend(self) -> bool:
        """Take one retry from the budget if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def decide_retry(
    verdict: Verdict,
    idempotent: bool,
    attempts: int,
    remaining_s: float,
    budget: RetryBudget,
) -> bool:
    """Tell whether to try again, and take the retry from the budget if so.

    :param verdict: how the attempt ended.
    :param idempotent: whether the request may run twice.
    :param attempts: attempts made so far.
    :param remaining_s: seconds left until the deadline.
    :param budget: the entry's budget.
    """
    return (
        may_retry(verdict, idempotent)
        and attempts < defaults.MAX_ATTEMPTS
        and remaining_s > 0
        and budget.spend()
    )
