"""Guards against queues with advice that start nothing since the advice takes long.

The policy service takes time for each worker that a request names, and answers one
request of a node at a time. Its tickets are valid for a short time.
"""

import typing as t

import anyio
import attrs
import pytest

from onyxgap.jobs.advice import EMPTY_RETRY_S
from onyxgap.jobs.advice import EXPIRY_MARGIN_S
from onyxgap.jobs.advice import MAX_EMPTY_RETRY_S
from onyxgap.jobs.advice import MAX_REQUEST_SHARE
from onyxgap.jobs.advice import MAX_WORKERS_PER_REQUEST
from onyxgap.jobs.advice import REQUEST_S
from onyxgap.jobs.advice import Advice
from onyxgap.jobs.advice import TicketCache
from onyxgap.jobs.advice import TicketRequest
from onyxgap.jobs.messages import AdviceTerms
from onyxgap.platform.advice import ADVICE_TIMEOUT_S
from onyxgap.platform.advice import PlatformPolicyClient
from onyxgap.platform.http import Answer
from onyxgap.platform.http import CallFailure
from onyxgap.platform.registry import _decode_advice_terms
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.virtual import run_virtually
from tests.emulated import play

STEP, OTHER_STEP = ("a" * 16, 0, 0), ("b" * 16, 0, 0)
SLOW = AdviceTerms(100, 200, 3_000)
FAST = AdviceTerms(50, 2, 3_000)
VALID_S = 3.0
STANDING_S = 3.0
"""Time for which a job may have nothing running."""
NOW = 100.0
WORKERS = tuple(f"w{number}" for number in range(40))
DAY = """
nodes 3
pool ring vms 15
advice ring decide 0.1 each 0.2 valid 3 share {share}
load ring every 2 from 6 to 20 width 2 work 0.5 cpu 1
end 30
"""


@pytest.fixture
def cache() -> TicketCache:
    return TicketCache()


def ask(
    cache: TicketCache,
    workers: t.Sequence[str] = WORKERS,
    terms: AdviceTerms = SLOW,
    *,
    now: float = NOW,
    **options: t.Any,
) -> TicketRequest:
    unasked = cache.list_unasked(STEP, workers, now)
    cache.request_tickets(TicketRequest(STEP, tuple(unasked), terms, **options))
    request = cache.pop_request()
    assert request is not None
    return request


def answer(
    cache: TicketCache,
    request: TicketRequest,
    allowed: t.Iterable[str],
    now: float = NOW,
) -> float:
    """Answer a request that was sent at a time; return when the answer arrives."""
    at = now + request.get_duration()
    tickets = {worker: f"t-{worker}" for worker in allowed if worker in request.workers}
    cache.store_advice(request.step_key, Advice(tickets, VALID_S, now), at)
    return at


def test_request_leaves_most_of_the_time_of_its_tickets_for_starts(
    cache: TicketCache,
) -> None:
    request = ask(cache)
    assert 0 < request.get_duration() <= VALID_S * MAX_REQUEST_SHARE


def test_first_tickets_do_not_wait_for_decisions_on_many_workers(
    cache: TicketCache,
) -> None:
    # the objective of a short job is over by then
    assert ask(cache, tasks=2).get_duration() <= REQUEST_S
    assert len(ask(TicketCache(), tasks=4).workers) == 4


def test_request_names_as_many_workers_as_allowed_if_that_takes_little_time(
    cache: TicketCache,
) -> None:
    assert len(ask(cache, terms=FAST).workers) == MAX_WORKERS_PER_REQUEST


def test_request_names_a_worker_if_the_decision_alone_takes_longer_than_tickets_last(
    cache: TicketCache,
) -> None:
    request = ask(cache, terms=AdviceTerms(5_000, 10, 3_000))
    assert len(request.workers) == 1
    arrived_at = answer(cache, request, WORKERS)
    assert cache.get_tickets(STEP, arrived_at)


def test_tickets_are_valid_from_the_answer_that_brings_them(cache: TicketCache) -> None:
    request = ask(cache, together=True)
    assert request.get_duration() > VALID_S
    arrived_at = answer(cache, request, WORKERS)
    last = arrived_at + VALID_S - EXPIRY_MARGIN_S
    assert len(cache.get_tickets(STEP, last - 0.01)) == MAX_WORKERS_PER_REQUEST
    assert not cache.get_tickets(STEP, last)


def test_time_of_a_ticket_begins_before_an_answer_that_was_held_up(
    cache: TicketCache,
) -> None:
    request = ask(cache)
    advice = Advice({"w0": "t"}, VALID_S, NOW)
    cache.store_advice(STEP, advice, NOW + request.get_duration() + 2.0)
    expires_at = NOW + request.get_duration() + VALID_S - EXPIRY_MARGIN_S
    assert cache.get_tickets(STEP, expires_at - 0.01)
    assert not cache.get_tickets(STEP, expires_at)


def test_worker_of_a_third_batch_is_asked_for_although_batches_take_long(
    cache: TicketCache,
) -> None:
    asked: list[str] = []
    now = NOW
    while "w39" not in asked and len(asked) < 2 * len(WORKERS):
        request = ask(cache, now=now)
        asked += request.workers
        now = answer(cache, request, ["w39"], now)
    assert sorted(asked[: len(WORKERS)]) == sorted(WORKERS)
    assert list(cache.get_tickets(STEP, now)) == ["w39"]


def test_worker_that_was_allowed_is_asked_for_first_once_its_ticket_has_expired(
    cache: TicketCache,
) -> None:
    now = answer(cache, ask(cache), ["w1"])
    now += VALID_S
    assert cache.list_unasked(STEP, WORKERS, now)[0] == "w1"


def test_tickets_of_a_gang_are_requested_together(cache: TicketCache) -> None:
    request = ask(cache, together=True, tasks=24)
    assert len(request.workers) == MAX_WORKERS_PER_REQUEST


def test_steps_that_wait_for_each_other_share_the_time_of_the_line(
    cache: TicketCache,
) -> None:
    for number in range(4):
        key = (f"{number:016x}", 0, 0)
        cache.request_tickets(TicketRequest(key, WORKERS, SLOW, tasks=2))
    waited_s = 0.0
    while (request := cache.pop_request()) is not None:
        assert len(request.workers) >= 2
        assert waited_s + request.get_duration() < STANDING_S or not cache.wanted
        assert waited_s < STANDING_S
        waited_s += request.get_duration()


def test_step_that_no_worker_may_run_does_not_hold_up_the_others(
    cache: TicketCache,
) -> None:
    now, empty = NOW, 0
    for _ in range(20):
        unasked = cache.list_unasked(STEP, WORKERS[:2], now)
        if unasked:
            now = answer(cache, ask(cache, WORKERS[:2], now=now), (), now)
            empty += 1
        now += EMPTY_RETRY_S
    # the pause grows, and the other step goes first once it waits
    assert empty <= 6
    later = now + MAX_EMPTY_RETRY_S
    assert cache.list_unasked(STEP, WORKERS[:2], later) == list(WORKERS[:2])
    cache.request_tickets(TicketRequest(OTHER_STEP, WORKERS, SLOW))
    cache.request_tickets(TicketRequest(STEP, WORKERS[:2], SLOW))
    request = cache.pop_request()
    assert request is not None
    assert request.step_key == OTHER_STEP


def test_refused_tickets_are_requested_again_with_growing_pauses(
    cache: TicketCache,
) -> None:
    now = answer(cache, ask(cache), WORKERS)
    cache.remove_tickets(STEP, now)
    assert cache.list_unasked(STEP, WORKERS, now)
    pauses = []
    for _ in range(3):
        now = answer(cache, ask(cache, now=now), WORKERS, now)
        cache.remove_tickets(STEP, now)
        refused_at = now
        while not cache.list_unasked(STEP, WORKERS, now):
            now += 0.1
        pauses.append(round(now - refused_at, 1))
    assert pauses == sorted(pauses)
    assert pauses[0] >= EMPTY_RETRY_S
    # where tickets are valid for less time than expected, smaller requests may do
    assert len(ask(cache, now=now, tasks=7).workers) < 7


def test_several_starts_refused_at_once_count_as_one(cache: TicketCache) -> None:
    now = answer(cache, ask(cache), WORKERS)
    for _ in range(5):
        cache.remove_tickets(STEP, now)
    assert cache.list_unasked(STEP, WORKERS, now)


def test_accepted_ticket_ends_the_pauses(cache: TicketCache) -> None:
    now = NOW
    for _ in range(3):
        now = answer(cache, ask(cache, now=now), WORKERS, now)
        cache.remove_tickets(STEP, now)
        cache.note_started(STEP)
        assert cache.list_unasked(STEP, WORKERS, now)


def test_smaller_requests_follow_one_without_an_answer(cache: TicketCache) -> None:
    first = ask(cache, tasks=7)
    cache.store_advice(STEP, None, NOW + 3.0)
    assert cache.list_unasked(STEP, WORKERS, NOW + 3.0 + EMPTY_RETRY_S / 2) == []
    second = ask(cache, now=NOW + 3.0 + EMPTY_RETRY_S, tasks=7)
    assert len(second.workers) < len(first.workers)
    now = answer(cache, second, WORKERS, NOW + 4.0)
    third = ask(cache, now=now + VALID_S, tasks=7)
    assert len(third.workers) == len(first.workers)


@attrs.define
class SlowHttp:
    """HTTP client whose calls take some time, if their timeouts allow that."""

    takes_s: float
    timeouts_s: list[float] = attrs.field(factory=list)

    async def call(self, *args: t.Any, timeout_s: float) -> Answer:
        self.timeouts_s.append(timeout_s)
        await anyio.sleep(min(self.takes_s, timeout_s))
        if self.takes_s > timeout_s:
            return Answer(0, b"", CallFailure.NO_ANSWER)
        return Answer(200, b'{"good":[["w0","t"]],"valid_ms":3000}')


def test_answer_is_awaited_for_as_long_as_the_service_takes() -> None:
    # a request that was given up early takes the service as long
    async def run() -> None:
        http: t.Any = SlowHttp(ADVICE_TIMEOUT_S + 1.0)
        client = PlatformPolicyClient(http)
        assert await client.advise("step", ["w0"], ADVICE_TIMEOUT_S + 0.9) is not None

    run_virtually(run)


def test_time_in_line_does_not_count_as_age_of_the_tickets() -> None:
    async def run() -> None:
        http: t.Any = SlowHttp(2.0)
        client = PlatformPolicyClient(http)
        received: list[Advice | None] = []

        async def request() -> None:
            received.append(await client.advise("step", ["w0"], 2.0))

        async with anyio.create_task_group() as group:
            for _ in range(2):
                group.start_soon(request)
        assert [advice and advice.sent_at for advice in received] == [0.0, 2.0]

    run_virtually(run)


@pytest.mark.parametrize(
    ("raw", "terms"),
    [
        (
            {"decide_ms": 100, "each_ms": 2.5, "valid_ms": 3000},
            AdviceTerms(100, 3, 3_000),
        ),
        ({}, AdviceTerms()),
        (None, AdviceTerms()),
        (True, AdviceTerms()),
        ({"decide_ms": "x", "each_ms": 1, "valid_ms": 1}, AdviceTerms()),
        ({"decide_ms": 1e300, "each_ms": 1, "valid_ms": 1}, AdviceTerms()),
        ({"decide_ms": -1, "each_ms": 1, "valid_ms": 1}, AdviceTerms()),
        ({"decide_ms": [], "each_ms": [1], "valid_ms": {}}, AdviceTerms()),
    ],
)
def test_malformed_terms_count_as_not_known(raw: t.Any, terms: AdviceTerms) -> None:
    assert _decode_advice_terms(raw) == terms


@pytest.mark.parametrize("share", [1.0, 0.3])
@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_of_a_queue_with_slow_advice_do_not_stand_still(
    seed: int, share: float
) -> None:
    result = play(parse_script("slow-advice", DAY.format(share=share)), seed)
    assert [f"{item.rule}: {item.detail}" for item in result.breaches] == []
    assert result.account.accepted
