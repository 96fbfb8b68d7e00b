"""The verdict on a request: whether a target may have run it."""

import enum


class Verdict(enum.Enum):
    """How a request ended, as its caller is told.

    ``NOT_RUN`` is a promise; ``MAY_HAVE_RUN`` is the absence of proof.
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
    """Tell whether a request with this verdict may be sent once more.

    :param verdict: how the attempt ended.
    :param idempotent: whether running twice equals running once.
    """
    return _RETRYABLE[verdict, idempotent]


def join_verdicts(earlier: Verdict, later: Verdict) -> Verdict:
    """Combine the verdicts of two attempts into that of the request.

    A later ``NOT_RUN`` does not undo an earlier ``MAY_HAVE_RUN``.

    :param earlier: verdict of the attempts so far.
    :param later: verdict of the newest attempt.
    """
    if Verdict.RAN in (earlier, later):
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in (earlier, later):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
