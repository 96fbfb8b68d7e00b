"""Claims on idempotency keys: lost answers, outages and crossed resends."""

import random
import typing as t

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import MatchesStructure

from onyxgap.request.claims import Claim
from onyxgap.request.claims import ClaimKeeper
from onyxgap.request.messages import Answer
from onyxgap.request.messages import Reason
from onyxgap.standins.memory_platform import Faults
from onyxgap.standins.memory_platform import MemoryPlatform
from onyxgap.standins.virtual import run_virtually
from onyxgap.verdict import Verdict

RAN = Answer(Verdict.RAN, 200, (("content-type", "text/plain"),), b"sold", vm="vm-1")
NOT_RUN = Answer(Verdict.NOT_RUN, 503, reason=Reason.OVERLOADED)

Test = t.Callable[[MemoryPlatform, ClaimKeeper], t.Awaitable[None]]


def build_claim(token: str, digest: str = "d", key: str = "k") -> Claim:
    return Claim(f"claim/s/j/{key}", token, digest, 0.0)


def run_with_keeper(test: Test) -> None:
    """Run a test with a keeper over a platform in memory, in virtual time."""

    async def run() -> None:
        platform = MemoryPlatform(random.Random(5))
        platform.faults.delay_s = 0.002
        keeper = ClaimKeeper(platform)
        async with anyio.create_task_group() as group:
            group.start_soon(keeper.run)
            await test(platform, keeper)
            group.cancel_scope.cancel()

    run_virtually(run)


def ends(**wanted: t.Any) -> MatchesStructure:
    """Match the final answer of a caller."""
    return MatchesStructure.byEquality(**wanted)


async def settle(keeper: ClaimKeeper) -> None:
    with anyio.fail_after(60):
        while keeper.unsettled:
            await anyio.sleep(0.1)


@pytest.mark.promise("at-most-once")
def test_second_claim_waits_for_the_first() -> None:
    async def test(platform: MemoryPlatform, keeper: ClaimKeeper) -> None:
        assert await keeper.claim(build_claim("t1")) is None
        answer = await keeper.claim(build_claim("t2"))
        assert_that(answer, ends(verdict=Verdict.MAY_HAVE_RUN, status=409))

    run_with_keeper(test)


@pytest.mark.promise("at-most-once")
def test_answer_is_given_again() -> None:
    async def test(platform: MemoryPlatform, keeper: ClaimKeeper) -> None:
        for key, body in (("small", b"sold"), ("large", b"x" * 100_000)):
            claim = build_claim("t1", key=key)
            assert await keeper.claim(claim) is None
            keeper.settle(claim, Answer(Verdict.RAN, 201, RAN.headers, body, vm="v"))
            await settle(keeper)
            again = await keeper.claim(build_claim("t2", key=key))
            same = ends(verdict=Verdict.RAN, status=201, body=body, headers=RAN.headers)
            assert_that(again, same)

    run_with_keeper(test)


@pytest.mark.promise("not-run")
def test_key_of_a_request_that_was_not_run_can_be_used_again() -> None:
    async def test(platform: MemoryPlatform, keeper: ClaimKeeper) -> None:
        claim = build_claim("t1")
        assert await keeper.claim(claim) is None
        keeper.settle(claim, NOT_RUN)
        await settle(keeper)
        assert await keeper.claim(build_claim("t2")) is None

    run_with_keeper(test)


def test_key_with_another_body_is_refused() -> None:
    async def test(platform: MemoryPlatform, keeper: ClaimKeeper) -> None:
        assert await keeper.claim(build_claim("t1", "one")) is None
        answer = await keeper.claim(build_claim("t2", "other"))
        assert_that(answer, ends(status=422, reason=Reason.KEY_REUSED))

    run_with_keeper(test)


@pytest.mark.promise("at-most-once")
def test_crossed_claims_have_one_winner() -> None:
    async def test(platform: MemoryPlatform, keeper: ClaimKeeper) -> None:
        others = [ClaimKeeper(platform) for _ in range(5)]
        platform.faults.lose_answers = 0.4
        wins = []

        async def claim(own: ClaimKeeper, number: int, token: str) -> None:
            if await own.claim(build_claim(token, key=f"k{number}")) is None:
                wins.append(number)

        async with anyio.create_task_group() as group:
            for own in others:
                group.start_soon(own.run)
            async with anyio.create_task_group() as claims:
                for number in range(40):
                    for index, own in enumerate(others):
                        token = f"t{number}/{index}"
                        claims.start_soon(claim, own, number, token)
            group.cancel_scope.cancel()
        assert len(wins) == len(set(wins)) > 0

    run_with_keeper(test)


@pytest.mark.promise("not-run")
def test_outage_refuses_at_once_and_frees_the_key_later() -> None:
    async def test(platform: MemoryPlatform, keeper: ClaimKeeper) -> None:
        platform.faults = Faults(down=True)
        started = anyio.current_time()
        answer = await keeper.claim(build_claim("t1"))
        assert_that(answer, ends(verdict=Verdict.NOT_RUN, reason=Reason.STORE_OUT))
        assert anyio.current_time() - started < 1.5
        platform.faults = Faults()
        await settle(keeper)
        assert await keeper.claim(build_claim("t2")) is None

    run_with_keeper(test)


@pytest.mark.promise("not-run")
def test_claim_that_takes_effect_late_frees_the_key_too() -> None:
    async def test(platform: MemoryPlatform, keeper: ClaimKeeper) -> None:
        platform.faults = Faults(delay_s=30.0)
        answer = await keeper.claim(build_claim("t1"))
        assert_that(answer, ends(verdict=Verdict.NOT_RUN))
        platform.faults.delay_s = 0.0
        await anyio.sleep(60)
        await settle(keeper)
        assert await keeper.claim(build_claim("t2")) is None

    run_with_keeper(test)


def test_claims_share_writes() -> None:
    async def test(platform: MemoryPlatform, keeper: ClaimKeeper) -> None:
        before = platform.writes
        async with anyio.create_task_group() as group:
            for number in range(60):
                claim = build_claim(f"t{number}", key=f"k{number}")
                group.start_soon(keeper.claim, claim)
        assert platform.writes - before == 1

    run_with_keeper(test)
