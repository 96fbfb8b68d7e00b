"""Tests the forwarding of calls while the store rejects some nodes."""

import random
import typing as t

import anyio
import attrs
import pytest

from onyxgap.adapters.call_link import StreamCallLink
from onyxgap.adapters.call_link import decode_answer
from onyxgap.adapters.call_link import decode_call
from onyxgap.adapters.call_link import encode_answer
from onyxgap.adapters.call_link import encode_call
from onyxgap.exceptions import FrameError
from onyxgap.jobs.desk import SubmitOutcome
from onyxgap.jobs.members import Member
from onyxgap.jobs.passing import FAILURES_UNTIL_UNREACHABLE
from onyxgap.jobs.passing import MAX_PEERS_PER_CALL
from onyxgap.jobs.passing import PEER_RETRY_S
from onyxgap.jobs.passing import UNABLE
from onyxgap.jobs.passing import CallKind
from onyxgap.jobs.passing import ForwardFailure
from onyxgap.jobs.passing import PassedAnswer
from onyxgap.jobs.passing import PassedCall
from onyxgap.jobs.passing import PeerSelector
from onyxgap.jobs.passing import merge_outcomes
from onyxgap.settings import Address
from onyxgap.standins.virtual import run_virtually
from onyxgap.wire.frames import LENGTH_BYTES
from onyxgap.wire.frames import decode_frame
from onyxgap.wire.peer import ttypes
from tests.emulated import extend_day
from tests.emulated import play
from tests.ports import find_port

CALL = PassedCall(CallKind.SUBMIT, "a" * 16, "north", "q", "s", b"body", 7)


def build_peer_selector(count: int) -> PeerSelector:
    members = {f"n{number}": Member("", 0, f"n{number}:1") for number in range(count)}
    members["old"] = Member("old:1")
    return PeerSelector("n0", members, random.Random(1).sample)


def test_calls_are_distributed_over_all_other_nodes() -> None:
    selector = build_peer_selector(12)
    asked = {address for _ in range(200) for address in selector.choose(10.0)}
    assert asked == {f"n{number}:1" for number in range(1, 12)}
    assert len(selector.choose(10.0)) == MAX_PEERS_PER_CALL


def test_node_that_failed_to_answer_is_skipped_for_a_while() -> None:
    selector = build_peer_selector(3)
    selector.record_failure("n1:1", 10.0)
    assert selector.choose(10.0) == ["n2:1"]
    assert sorted(selector.choose(10.0 + PEER_RETRY_S)) == ["n1:1", "n2:1"]


def test_no_node_is_asked_while_the_store_is_unreachable_for_all() -> None:
    selector = build_peer_selector(40)
    for number in range(1, FAILURES_UNTIL_UNREACHABLE + 1):
        assert selector.choose(10.0)
        selector.record_failure(f"n{number}:1", 10.0)
    assert selector.choose(10.0) == []
    assert selector.is_store_unreachable(10.0)
    # after the pause, a single further failure suffices
    assert selector.choose(10.0 + PEER_RETRY_S)
    selector.record_failure("n9:1", 10.0 + PEER_RETRY_S)
    assert selector.choose(10.0 + PEER_RETRY_S) == []
    assert selector.choose(10.0 + 2 * PEER_RETRY_S)
    selector.record_success("n10:1")
    selector.record_failure("n9:1", 20.0)
    assert selector.choose(20.0)


@pytest.mark.parametrize(
    ("earlier", "later", "joined"),
    [
        (SubmitOutcome.REFUSED, SubmitOutcome.REFUSED, SubmitOutcome.REFUSED),
        (SubmitOutcome.REFUSED, SubmitOutcome.ACCEPTED, SubmitOutcome.ACCEPTED),
        # a job that an earlier attempt may have stored is never reported as refused
        (SubmitOutcome.UNKNOWN, SubmitOutcome.REFUSED, SubmitOutcome.UNKNOWN),
        (SubmitOutcome.UNKNOWN, SubmitOutcome.ABOVE_CAP, SubmitOutcome.UNKNOWN),
        (SubmitOutcome.UNKNOWN, SubmitOutcome.ACCEPTED, SubmitOutcome.ACCEPTED),
        (SubmitOutcome.REFUSED, SubmitOutcome.UNKNOWN, SubmitOutcome.UNKNOWN),
    ],
)
def test_refusal_holds_only_if_no_attempt_can_have_stored_the_job(
    earlier: SubmitOutcome, later: SubmitOutcome, joined: SubmitOutcome
) -> None:
    assert merge_outcomes(earlier, later) is joined


def test_encoded_call_and_answer_decode_to_the_same_objects() -> None:
    frame = decode_frame(encode_call("n0:1", CALL)[LENGTH_BYTES:])
    assert decode_call(frame) == CALL
    answer = PassedAnswer("accepted", "known", 3, 7)
    frame = decode_frame(encode_answer("n0:1", answer)[LENGTH_BYTES:])
    assert decode_answer(frame) == answer


def test_frames_of_another_kind_are_rejected() -> None:
    with pytest.raises(FrameError):
        decode_call(ttypes.Frame(sender="n0:1"))
    with pytest.raises(FrameError):
        decode_answer(ttypes.Frame(sender="n0:1"))
    odd = ttypes.PassedCall("burn", "a", "", "q", "s", b"")
    with pytest.raises(FrameError):
        decode_call(ttypes.Frame(sender="n0:1", call=odd))


async def ask_over_loopback(
    port: int, answer: t.Callable[[PassedCall], t.Awaitable[PassedAnswer]]
) -> PassedAnswer | ForwardFailure:
    server = StreamCallLink(Address("127.0.0.1", port))
    client = StreamCallLink(Address("127.0.0.1", 0))
    async with anyio.create_task_group() as group:
        group.start_soon(server.run, answer)
        await anyio.sleep(0.05)
        found = await client.ask(f"127.0.0.1:{port}", CALL, 1.0)
        group.cancel_scope.cancel()
    return found


@attrs.define
class FakeAnswerer:
    """Returns a fixed answer, none within 2 s if it is ``None``, and records calls."""

    answer: PassedAnswer | None
    asked: list[PassedCall] = attrs.field(factory=list)

    async def __call__(self, call: PassedCall) -> PassedAnswer:
        self.asked.append(call)
        if self.answer is None:
            await anyio.sleep(2.0)
        return self.answer or PassedAnswer(UNABLE)


def test_call_is_answered_over_a_connection() -> None:
    answerer = FakeAnswerer(PassedAnswer("accepted"))
    found = anyio.run(ask_over_loopback, find_port(), answerer)
    assert found == PassedAnswer("accepted")
    assert answerer.asked == [CALL]


def test_missing_answer_leaves_the_outcome_unknown() -> None:
    found = anyio.run(ask_over_loopback, find_port(), FakeAnswerer(None))
    assert found is ForwardFailure.NO_ANSWER


def test_call_to_a_node_that_does_not_listen_is_not_sent() -> None:
    async def ask() -> PassedAnswer | ForwardFailure:
        link = StreamCallLink(Address("127.0.0.1", 0))
        return await link.ask(f"127.0.0.1:{find_port()}", CALL, 1.0)

    assert anyio.run(ask) is ForwardFailure.NOT_SENT


@pytest.mark.parametrize(
    "address",
    ["", "nowhere", "127.0.0.1:http", "127.0.0.1:70000", "ü" * 64 + ":80"],
)
def test_call_to_a_malformed_address_is_not_sent(address: str) -> None:
    async def ask() -> PassedAnswer | ForwardFailure:
        link = StreamCallLink(Address("127.0.0.1", 0))
        return await link.ask(address, CALL, 1.0)

    assert anyio.run(ask) is ForwardFailure.NOT_SENT


class SilentStream:
    """Connection over which no answer is received."""

    async def __aenter__(self) -> "SilentStream":
        return self

    async def __aexit__(self, *_: object) -> None:
        pass

    async def send(self, data: bytes) -> None:
        await anyio.sleep(0)

    async def receive(self, max_bytes: int = 1) -> bytes:
        await anyio.sleep_forever()
        return b""


@pytest.mark.parametrize("connect_s", [0.0, 0.1, 0.25])
def test_connecting_and_answer_share_the_time_out_of_a_call(
    connect_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def connect(host: str, port: int) -> SilentStream:
        await anyio.sleep(connect_s)
        return SilentStream()

    async def ask() -> float:
        link = StreamCallLink(Address("127.0.0.1", 0))
        assert await link.ask("127.0.0.1:1", CALL, 1.0) is ForwardFailure.NO_ANSWER
        return anyio.current_time()

    monkeypatch.setattr(anyio, "connect_tcp", connect)
    assert run_virtually(ask) == pytest.approx(1.0)


DAYS = {
    "a third turned away": "at 4 refuse node for 9 by 0.34",
    "half turned away": "at 4 refuse node for 6 by 0.5",
    "an owner cut off": "at 5 cut owner ring for 6",
    "all without the store": "at 5 down store for 3",
    "turned away as answers get lost": (
        "at 4 refuse node for 9 by 0.34\nat 5 lose store for 5 by 0.3"
    ),
    "turned away as the helpers are killed": (
        "at 4 refuse node for 9 by 0.34\nat 6 kill node for 1\nat 8 kill node for 1"
    ),
}


@pytest.mark.parametrize("name", DAYS)
def test_invariants_hold_while_calls_are_forwarded(name: str) -> None:
    for seed in (1, 2):
        day = extend_day("tenants", "contended", DAYS[name])
        assert play(day, seed).breaches == []


def measure_failed_attempts(*statements: str) -> float:
    """Return the share of failed attempts to submit a job over three seeds."""
    days = [play(extend_day("short", *statements), seed) for seed in (1, 2, 3)]
    failed = sum(day.account.failed_tries for day in days)
    return failed / sum(day.account.tries for day in days)


def test_forwarding_keeps_refusals_low_while_the_store_rejects_a_third_of_nodes() -> (
    None
):
    fault = "at 4 refuse node for 9 by 0.34"
    assert measure_failed_attempts(fault) > 0.02
    assert measure_failed_attempts("contended", fault) <= 0.02


def test_frames_without_a_version_are_decoded() -> None:
    call = ttypes.PassedCall("submit", "a" * 16, "north", "q", "s", b"body")
    found = decode_call(ttypes.Frame(sender="n0:1", call=call))
    assert found == attrs.evolve(CALL, configuration=0)
    answer = ttypes.PassedAnswer("accepted", "known", 3)
    found_answer = decode_answer(ttypes.Frame(sender="n0:1", answer=answer))
    assert found_answer == PassedAnswer("accepted", "known", 3)
