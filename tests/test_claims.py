"""Claims on idempotency keys: lost answers, outages and concurrent claims."""

import random
import typing as t

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import MatchesStructure

from onyxgap.ports import Put
from onyxgap.ports import WriteOutcome
from onyxgap.ports import WriteResult
from onyxgap.request.claims import Claim
from onyxgap.request.claims import ClaimStore
from onyxgap.request.messages import Answer
from onyxgap.request.messages import Reason
from onyxgap.standins.memory_platform import Faults
from onyxgap.standins.memory_platform import MemoryPlatform
from onyxgap.standins.virtual import run_virtually
from onyxgap.verdict import Verdict

RAN = Answer(Verdict.RAN, 200, (("content-type", "text/plain"),), b"sold", vm="vm-1")
NOT_RUN = Answer(Verdict.NOT_RUN, 503, reason=Reason.OVERLOADED)

Test = t.Callable[[MemoryPlatform, ClaimStore], t.Awaitable[None]]


def build_claim(token: str, digest: str = "d", key: str = "k") -> Claim:
    return Claim(f"claim/s/j/{key}", token, digest, 0.0)


def run_with_claims(test: Test) -> None:
    """Run a test with claims on an in-memory platform, in virtual time."""

    async def run() -> None:
        platform = MemoryPlatform(random.Random(5))
        platform.faults.delay_s = 0.002
        claims = ClaimStore(platform)
        async with anyio.create_task_group() as group:
            group.start_soon(claims.run)
            await test(platform, claims)
            group.cancel_scope.cancel()

    run_virtually(run)


def matches_answer(**wanted: t.Any) -> MatchesStructure:
    """Match fields of a final answer."""
    return MatchesStructure.byEquality(**wanted)


async def wait_for_results(claims: ClaimStore) -> None:
    with anyio.fail_after(60):
        while claims.pending_results:
            await anyio.sleep(0.1)


@pytest.mark.promise("at-most-once")
def test_second_claim_is_refused_while_the_first_is_held() -> None:
    async def test(platform: MemoryPlatform, claims: ClaimStore) -> None:
        assert await claims.claim(build_claim("t1")) is None
        answer = await claims.claim(build_claim("t2"))
        assert_that(answer, matches_answer(verdict=Verdict.MAY_HAVE_RUN, status=409))

    run_with_claims(test)


@pytest.mark.promise("at-most-once")
def test_stored_answer_is_returned_for_a_repeated_key() -> None:
    async def test(platform: MemoryPlatform, claims: ClaimStore) -> None:
        for key, body in (("small", b"sold"), ("large", b"x" * 100_000)):
            claim = build_claim("t1", key=key)
            assert await claims.claim(claim) is None
            claims.record_result(
                claim, Answer(Verdict.RAN, 201, RAN.headers, body, vm="v")
            )
            await wait_for_results(claims)
            again = await claims.claim(build_claim("t2", key=key))
            expected = matches_answer(
                verdict=Verdict.RAN, status=201, body=body, headers=RAN.headers
            )
            assert_that(again, expected)

    run_with_claims(test)


@pytest.mark.promise("not-run")
def test_key_of_a_request_that_was_not_run_can_be_used_again() -> None:
    async def test(platform: MemoryPlatform, claims: ClaimStore) -> None:
        claim = build_claim("t1")
        assert await claims.claim(claim) is None
        claims.record_result(claim, NOT_RUN)
        await wait_for_results(claims)
        assert await claims.claim(build_claim("t2")) is None

    run_with_claims(test)


def test_key_with_another_body_is_refused() -> None:
    async def test(platform: MemoryPlatform, claims: ClaimStore) -> None:
        assert await claims.claim(build_claim("t1", "one")) is None
        answer = await claims.claim(build_claim("t2", "other"))
        assert_that(answer, matches_answer(status=422, reason=Reason.KEY_REUSED))

    run_with_claims(test)


@pytest.mark.promise("at-most-once")
def test_concurrent_claims_have_one_winner() -> None:
    async def test(platform: MemoryPlatform, claims: ClaimStore) -> None:
        stores = [ClaimStore(platform) for _ in range(5)]
        platform.faults.lose_answers = 0.4
        claimed = []

        async def claim(store: ClaimStore, number: int, token: str) -> None:
            if await store.claim(build_claim(token, key=f"k{number}")) is None:
                claimed.append(number)

        async with anyio.create_task_group() as group:
            for store in stores:
                group.start_soon(store.run)
            async with anyio.create_task_group() as claim_group:
                for number in range(40):
                    for index, store in enumerate(stores):
                        token = f"t{number}/{index}"
                        claim_group.start_soon(claim, store, number, token)
            group.cancel_scope.cancel()
        assert len(claimed) == len(set(claimed)) > 0

    run_with_claims(test)


@pytest.mark.promise("not-run")
def test_claim_in_an_outage_is_refused_and_its_key_released() -> None:
    async def test(platform: MemoryPlatform, claims: ClaimStore) -> None:
        platform.faults = Faults(down=True)
        started = anyio.current_time()
        answer = await claims.claim(build_claim("t1"))
        assert_that(
            answer, matches_answer(verdict=Verdict.NOT_RUN, reason=Reason.STORE_OUT)
        )
        assert anyio.current_time() - started < 1.5
        platform.faults = Faults()
        await wait_for_results(claims)
        assert await claims.claim(build_claim("t2")) is None

    run_with_claims(test)


@pytest.mark.promise("not-run")
def test_claim_written_after_its_time_out_is_released() -> None:
    async def test(platform: MemoryPlatform, claims: ClaimStore) -> None:
        platform.faults = Faults(delay_s=30.0)
        answer = await claims.claim(build_claim("t1"))
        assert_that(answer, matches_answer(verdict=Verdict.NOT_RUN))
        platform.faults.delay_s = 0.0
        await anyio.sleep(60)
        await wait_for_results(claims)
        assert await claims.claim(build_claim("t2")) is None

    run_with_claims(test)


@attrs.define
class LatePlatform(MemoryPlatform):
    """Platform that can hold back writes to existing rows, without an answer."""

    holding_back: bool = False
    held_back: list[t.Sequence[Put]] = attrs.field(factory=list)

    async def transact(self, puts: t.Sequence[Put]) -> WriteResult:
        if self.holding_back and all(put.expect for put in puts):
            self.held_back.append(puts)
            return WriteResult(WriteOutcome.UNKNOWN)
        return await super().transact(puts)


@pytest.mark.promise("not-run")
def test_released_claim_taken_over_by_a_late_write_is_released_again() -> None:
    async def run() -> None:
        platform = LatePlatform()
        claims = ClaimStore(platform)
        async with anyio.create_task_group() as group:
            group.start_soon(claims.run)
            claim = build_claim("t1")
            assert await claims.claim(claim) is None
            claims.record_result(claim, NOT_RUN)
            await wait_for_results(claims)
            platform.holding_back = True
            answer = await claims.claim(build_claim("t2"))
            assert_that(answer, matches_answer(verdict=Verdict.NOT_RUN))
            platform.holding_back = False
            await wait_for_results(claims)
            assert platform.held_back
            for puts in platform.held_back:
                platform.write(puts)
            assert await claims.claim(build_claim("t3")) is None
            group.cancel_scope.cancel()

    run_virtually(run)


@pytest.mark.promise("not-run")
def test_unconfirmed_claim_leaves_the_released_claim_of_another_body() -> None:
    async def test(platform: MemoryPlatform, claims: ClaimStore) -> None:
        claim = build_claim("t1", "one")
        assert await claims.claim(claim) is None
        claims.record_result(claim, NOT_RUN)
        await wait_for_results(claims)
        platform.faults = Faults(down=True)
        answer = await claims.claim(build_claim("t2", "other"))
        assert_that(answer, matches_answer(verdict=Verdict.NOT_RUN))
        platform.faults = Faults()
        await wait_for_results(claims)
        assert await claims.claim(build_claim("t3", "one")) is None

    run_with_claims(test)


def test_concurrent_claims_share_a_write() -> None:
    async def test(platform: MemoryPlatform, claims: ClaimStore) -> None:
        before = platform.writes
        async with anyio.create_task_group() as group:
            for number in range(60):
                claim = build_claim(f"t{number}", key=f"k{number}")
                group.start_soon(claims.claim, claim)
        assert platform.writes - before == 1

    run_with_claims(test)
