"""Decides whether a request is retried, within a retry budget."""

import attrs

from .. import defaults
from ..verdict import Verdict
from ..verdict import may_retry


@attrs.define
class RetryBudget:
    """Limits retries to a share of the first attempts, as a token bucket.

    :param share: tokens added by each first attempt; a retry costs one token.
    :param burst: maximum number of tokens that the bucket holds.
    """

    share: float = defaults.RETRY_BUDGET_SHARE
    burst: float = defaults.RETRY_BUDGET_BURST
    _tokens: float = defaults.RETRY_BUDGET_BURST

    def deposit(self) -> None:
        """Add the tokens for one first attempt."""
        self._tokens = min(self.burst, self._tokens + self.share)

    def try_withdraw(self) -> bool:
        """Take the token for one retry if the bucket holds one.

        :returns: whether a token was taken.
        """
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
    """Decide whether to retry, and take a token from the budget if so.

    :param verdict: verdict of the latest attempt.
    :param idempotent: whether the request may run more than once.
    :param attempts: attempts made so far.
    :param remaining_s: seconds left until the deadline.
    :param budget: retry budget of this entry.
    """
    return (
        may_retry(verdict, idempotent)
        and attempts < defaults.MAX_ATTEMPTS
        and remaining_s > 0
        and budget.try_withdraw()
    )
