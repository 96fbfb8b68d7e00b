"""The verdict on a request: whether a target may have run it."""

import enum


class Verdict(enum.Enum):
    """Outcome of a request, as reported to its caller.

    ``NOT_RUN`` guarantees that no target ran the request. ``MAY_HAVE_RUN`` means that
    neither outcome is certain.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


_RETRYABLE: dict[tuple[Verdict, bool], bool] = {
    (Verdict.RAN, True): False,
    (Verdict.RAN, False): False,
    (Verdict.NOT_RUN, True): True,
    (Verdict.NOT_RUN, False): True,
    (Verdict.MAY_HAVE_RUN, True): True,
    (Verdict.MAY_HAVE_RUN, False): False,
}


def may_retry(verdict: Verdict, idempotent: bool) -> bool:
    """Return whether a request with this verdict may be sent again.

    :param verdict: verdict of the last attempt.
    :param idempotent: whether running the request twice has the effect of running it
        once.
    """
    return _RETRYABLE[verdict, idempotent]


def join_verdicts(earlier: Verdict, later: Verdict) -> Verdict:
    """Combine the verdicts of two attempts into that of the request.

    A later ``NOT_RUN`` does not undo an earlier ``MAY_HAVE_RUN``.

    :param earlier: verdict of the attempts so far.
    :param later: verdict of the latest attempt.
    """
    if Verdict.RAN in (earlier, later):
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in (earlier, later):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
