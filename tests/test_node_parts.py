"""Tests of shard claims, fenced writes, the job API, store health and bounded logs."""

import contextlib
import os
import pathlib
import random
import socket
import typing as t

import anyio
import attrs
import orjson
import pytest
import structlog
import structlog.testing

from onyxgap.adapters.notice_link import DatagramPeers
from onyxgap.adapters.notice_link import decode_notices
from onyxgap.adapters.notice_link import encode_notice
from onyxgap.daemons.authentication import Authentication
from onyxgap.daemons.desk import LocalJobApi
from onyxgap.daemons.fence import FencedWriter
from onyxgap.daemons.fleet_controller import FleetController
from onyxgap.daemons.node import Node
from onyxgap.daemons.node_process import check_settings_file
from onyxgap.exceptions import FrameError
from onyxgap.exceptions import OwnershipLostError
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs import tables
from onyxgap.jobs.admission import AdmissionController
from onyxgap.jobs.amounts import NO_LIMIT
from onyxgap.jobs.amounts import Amount
from onyxgap.jobs.desk import SubmitOutcome
from onyxgap.jobs.desk import Unavailable
from onyxgap.jobs.health import OUTAGE_S
from onyxgap.jobs.health import MonitoredStore
from onyxgap.jobs.health import StoreHealth
from onyxgap.jobs.leases import GrantPeriod
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.notices import HandOver
from onyxgap.jobs.notices import JobNotice
from onyxgap.jobs.ownership import CLAIM_JITTER_S
from onyxgap.jobs.ownership import HAND_OVER_VALID_S
from onyxgap.jobs.ownership import MAX_RENEWAL_AGE_S
from onyxgap.jobs.ownership import OWNED_DELAY_S
from onyxgap.jobs.ownership import OWNER_TIMEOUT_S
from onyxgap.jobs.ownership import Claimant
from onyxgap.jobs.ownership import OwnerView
from onyxgap.jobs.ownership import list_claimable
from onyxgap.jobs.routing import Configuration
from onyxgap.jobs.routing import Route
from onyxgap.jobs.routing import RouteTable
from onyxgap.jobs.routing import Service
from onyxgap.jobs.settings import NodeSettings
from onyxgap.jobs.settings import TimeLimits
from onyxgap.jobs.store import WRITE_TIMEOUT_S
from onyxgap.jobs.store import Batch
from onyxgap.jobs.store import NotApplied
from onyxgap.jobs.store import OutcomeUnknown
from onyxgap.jobs.store import Page
from onyxgap.jobs.store import RowId
from onyxgap.jobs.store import WriteOutcome
from onyxgap.jobs.store_clock import ClockReading
from onyxgap.jobs.tables import OwnerRow
from onyxgap.jobs.timeouts import MAX_TIMEOUT_S
from onyxgap.jobs.timeouts import MIN_TIMEOUT_S
from onyxgap.jobs.timeouts import WriteTimeout
from onyxgap.logs import BOUNDED_EVENTS
from onyxgap.logs import BURST_LINES
from onyxgap.logs import ROUTINE_SHARE
from onyxgap.logs import BoundedLogWriter
from onyxgap.pools.messages import Vm
from onyxgap.pools.messages import VmState
from onyxgap.pools.messages import Wave
from onyxgap.settings import Address
from onyxgap.standins.emulator.gate import NodeGate
from onyxgap.standins.emulator.rows import DECODERS
from onyxgap.standins.emulator.slots import EmulatedClocks
from onyxgap.standins.emulator.store import EmulatedStore
from onyxgap.standins.emulator.store import EmulatedStoreClient
from onyxgap.standins.virtual import run_virtually
from tests.exchanges import build_exchange
from tests.ports import find_port

OWNER_ROW = OwnerRow("node-1", "boot-1", 4)
CLAIMANT = Claimant("node-2", "boot-2", 0)
POLICY = QueuePolicy("q", "s")
ROUTE = Route("h", "/p/", POLICY)
LONG_DELAY = {"in_time_s": 99.0, "of_use_s": 99.0}
SUBMISSION = Submission("a" * 16, POLICY, "spec", (Step(1, cpu=10),))


def is_claimable(
    view: OwnerView,
    now: float,
    claimant: Claimant = CLAIMANT,
    reachable_since: float = 0,
) -> bool:
    return bool(list_claimable({"s": view}, claimant, reachable_since, now))


def test_shard_is_claimed_after_the_owner_timeout_and_not_before() -> None:
    view = OwnerView(OWNER_ROW, 7, changed_at=10.0)
    assert not is_claimable(view, 10.0 + OWNER_TIMEOUT_S - 0.01)
    assert is_claimable(view, 10.0 + OWNER_TIMEOUT_S + CLAIM_JITTER_S)


@pytest.mark.parametrize(
    ("age_s", "counted_s"), [(0.0, 0.0), (0.5, 0.5), (2.0, MAX_RENEWAL_AGE_S)]
)
def test_failed_owner_is_not_kept_for_the_time_until_its_renewal_was_read(
    age_s: float, counted_s: float
) -> None:
    view = OwnerView(OWNER_ROW, 7, changed_at=8.0)
    renewed = attrs.evolve(OWNER_ROW, counted_at_ms=int(50_000 - age_s * 1000))
    view = view.replace_row(renewed, 8, 10.0, store_ms=50_000)
    timeout_at = 10.0 - counted_s + OWNER_TIMEOUT_S
    assert not is_claimable(view, timeout_at - 0.01)
    assert is_claimable(view, timeout_at + CLAIM_JITTER_S)
    # leases may have been granted until later: the renewal was sent after it was made
    assert view.changed_at == 10.0


def test_node_that_starts_first_leaves_shards_to_nodes_that_start_a_second_later() -> (
    None
):
    view = OwnerView(None, 0, changed_at=10.0)
    owner_of_two = attrs.evolve(CLAIMANT, owned=2)
    assert not is_claimable(view, 11.5, owner_of_two)
    assert is_claimable(view, 11.6 + CLAIM_JITTER_S, owner_of_two)
    assert is_claimable(view, 10.0 + CLAIM_JITTER_S)


def test_node_that_is_alone_claims_five_shards_within_three_seconds() -> None:
    view = OwnerView(None, 0, changed_at=10.0)
    owner_of_four = attrs.evolve(CLAIMANT, owned=4)
    assert is_claimable(view, 13.0, owner_of_four)


def test_renewal_without_a_new_count_is_no_older_than_its_read() -> None:
    renewed = attrs.evolve(OWNER_ROW, counted_at_ms=49_000)
    view = OwnerView(renewed, 7, changed_at=8.0)
    view = view.replace_row(attrs.evolve(renewed, beat=9), 8, 10.0, store_ms=50_000)
    assert not is_claimable(view, 10.0 + OWNER_TIMEOUT_S - 0.01)


def test_owner_timeout_is_longer_while_the_store_is_slow() -> None:
    view = OwnerView(OWNER_ROW, 7, changed_at=10.0)
    slow = attrs.evolve(CLAIMANT, latency_s=0.24)
    assert not is_claimable(view, 10.0 + OWNER_TIMEOUT_S + CLAIM_JITTER_S, slow)
    assert is_claimable(view, 10.0 + OWNER_TIMEOUT_S + CLAIM_JITTER_S + 8 * 0.24, slow)
    health = StoreHealth()
    for _ in range(2):
        health.note_latency(0.24)
    assert health.latency_s == pytest.approx(0.18)


def test_owner_timeout_starts_when_the_store_is_reachable_again() -> None:
    view = OwnerView(OWNER_ROW, 7, changed_at=10.0)
    assert not is_claimable(view, 20.0, reachable_since=19.0)
    assert is_claimable(
        view, 19.0 + OWNER_TIMEOUT_S + CLAIM_JITTER_S, reachable_since=19.0
    )


def test_released_shard_is_claimed_earlier_by_a_node_that_owns_fewer_shards() -> None:
    view = OwnerView(attrs.evolve(OWNER_ROW, released=True), 7, changed_at=10.0)
    assert is_claimable(view, 10.0 + CLAIM_JITTER_S)
    loaded = attrs.evolve(CLAIMANT, owned=2)
    assert not is_claimable(view, 10.0 + 2 * OWNED_DELAY_S - 0.01, loaded)


def test_restarted_node_reclaims_its_own_shard_at_once() -> None:
    view = OwnerView(OWNER_ROW, 7, changed_at=10.0)
    assert is_claimable(view, 10.0, Claimant("node-1", "boot-9", 0))


@attrs.define
class ScriptedStore:
    """Store that applies, refuses or loses each write as scripted.

    Steps of the script: ``do`` applies the write, ``refuse`` answers that it was not
    applied, ``drop`` loses the request, ``lose`` applies the write and loses the
    answer. While ``unreadable`` is the next step, all reads fail.
    """

    inner: EmulatedStoreClient
    script: list[str]
    writes: int = 0

    async def write(
        self, batch: Batch, timeout_s: float = WRITE_TIMEOUT_S
    ) -> WriteOutcome:
        self.writes += 1
        step = self.script.pop(0) if self.script else "do"
        if step == "refuse":
            return NotApplied("busy")
        if step == "drop":
            return OutcomeUnknown("no answer")
        outcome = await self.inner.write(batch)
        return OutcomeUnknown("answer lost") if step == "lose" else outcome

    async def read(self, table: str, part: str, key: str = "") -> Page:
        if self.script and self.script[0] == "unreadable":
            raise PlatformUnavailableError("down")
        return await self.inner.read(table, part, key)

    async def list_parts(self, table: str) -> tuple[str, ...]:
        return await self.inner.list_parts(table)

    async def follow(self, table: str, after: int, wait_s: float) -> Page:
        return await self.inner.follow(table, after, wait_s)


def test_shard_is_claimed_early_when_its_owner_cannot_reach_the_store() -> None:
    view = OwnerView(OWNER_ROW, 7, changed_at=10.0).record_hand_over(10.5)
    assert not is_claimable(view, 10.5)
    assert is_claimable(view.record_hand_over(10.9), 10.5 + CLAIM_JITTER_S)
    # the notice was not repeated, or the store was unreachable for this node, too
    assert not is_claimable(view, 10.5 + HAND_OVER_VALID_S + 0.1)
    assert not is_claimable(
        view.record_hand_over(10.9), 10.5 + CLAIM_JITTER_S, reachable_since=10.6
    )


def test_notice_is_decoded_as_it_was_encoded() -> None:
    for notice in (JobNotice("s", "k"), HandOver("s", "boot-1", 4)):
        assert decode_notices(encode_notice("1.2.3.4:5", notice)) == [notice]
    for datagram in (b"", b"\x00\x00\x00\x05hello", os.urandom(200)):
        with pytest.raises(FrameError):
            decode_notices(datagram)


def test_notice_reaches_the_address_of_another_node() -> None:
    async def exchange() -> list[t.Any]:
        received: list[t.Any] = []
        receiver = DatagramPeers(Address("127.0.0.1", find_port(socket.SOCK_DGRAM)))
        sender = DatagramPeers(Address("127.0.0.1", find_port(socket.SOCK_DGRAM)))
        async with anyio.create_task_group() as group:
            group.start_soon(receiver.run, received.append)
            group.start_soon(sender.run, lambda _: None)
            with anyio.fail_after(10):
                while not received:
                    sender.send("nowhere", JobNotice("s", "k"))
                    sender.send(receiver.get_address(), JobNotice("s", "k"))
                    await anyio.sleep(0.02)
            group.cancel_scope.cancel()
        return received

    assert anyio.run(exchange)[0] == JobNotice("s", "k")


def test_notice_socket_that_cannot_be_bound_does_not_end_the_process() -> None:
    async def run() -> bool:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound_socket:
            bound_socket.bind(("127.0.0.1", 0))
            peers = DatagramPeers(Address("127.0.0.1", bound_socket.getsockname()[1]))
            with anyio.move_on_after(0.3) as scope:
                await peers.run(lambda _: None)
            return scope.cancelled_caught

    assert anyio.run(run)


def run_with_store(
    test: t.Callable[[ScriptedStore, EmulatedStore], t.Awaitable[None]], *script: str
) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as group:
            store = EmulatedStore(random.Random(1), group)
            client = EmulatedStoreClient(store, NodeGate("n"))
            await test(ScriptedStore(client, list(script)), store)

    run_virtually(run)


def build_writer(scripted: ScriptedStore, store: EmulatedStore) -> FencedWriter:
    store.put(tables.get_fence_row("s"), b"boot-1/4/0")
    grants = GrantPeriod(EmulatedClocks().read_boot, 0.0)
    return FencedWriter(
        "s", OWNER_ROW, store.version, "boot-1/4/0", scripted, random.Random(1), grants
    )


@pytest.mark.parametrize("step", ["refuse", "drop", "lose"])
def test_fenced_write_is_applied_despite_lost_and_refused_attempts(step: str) -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        writer = build_writer(scripted, store)
        row = tables.get_progress_row("s", "j")
        await writer.write({row: b"1"})
        await writer.write({row: b"2"})
        assert store.rows[row].value == b"2"

    run_with_store(test, step, "do", step)


def test_write_of_a_previous_owner_is_refused() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        writer = build_writer(scripted, store)
        store.put(tables.get_fence_row("s"), b"boot-9/5/0")
        row = tables.get_progress_row("s", "j")
        with pytest.raises(OwnershipLostError):
            await writer.write({row: b"1"})
        assert row not in store.rows

    run_with_store(test)


def build_job_api(scripted: ScriptedStore) -> LocalJobApi:
    clocks = EmulatedClocks()
    health = StoreHealth()
    routes = RouteTable()
    routes.adopt(Configuration(1, (ROUTE,), {"s": Service("s")}))
    store = MonitoredStore(scripted, health, clocks)
    authentication = Authentication(routes, build_exchange(routes))
    return LocalJobApi(store, health, clocks, routes, {}, {}, authentication)


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        (["do"], SubmitOutcome.ACCEPTED),
        (["lose", "do"], SubmitOutcome.ACCEPTED),
        (["drop", "do"], SubmitOutcome.ACCEPTED),
        (["refuse"], SubmitOutcome.REFUSED),
        (["drop", "refuse", "do"], SubmitOutcome.ACCEPTED),
        (["lose", *["refuse"] * 99], SubmitOutcome.UNKNOWN),
    ],
)
def test_submission_outcome_matches_the_store(
    script: list[str], outcome: SubmitOutcome
) -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        result = await build_job_api(scripted).submit(SUBMISSION)
        assert result.outcome is outcome
        stored = tables.get_job_row("s", SUBMISSION.job_id) in store.rows
        assert stored or outcome is not SubmitOutcome.ACCEPTED
        assert not stored or outcome is not SubmitOutcome.REFUSED

    run_with_store(test, *script)


def test_repeated_submission_is_one_job_and_another_body_is_refused() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        job_api = build_job_api(scripted)
        for _ in range(2):
            result = await job_api.submit(SUBMISSION)
            assert result.outcome is SubmitOutcome.ACCEPTED
        other = attrs.evolve(SUBMISSION, spec="other")
        result = await job_api.submit(other)
        assert result.outcome is SubmitOutcome.OTHER_REQUEST

    run_with_store(test)


@pytest.mark.parametrize(
    "changes",
    [{"interval_ms": 500}, {"times": 4}, {"start_at_ms": 1}, {"steps": (Step(2),)}],
)
def test_scheduled_job_with_another_schedule_is_another_request(
    changes: dict[str, t.Any],
) -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        job_api = build_job_api(scripted)
        job = attrs.evolve(SUBMISSION, times=3, interval_ms=1000)
        assert (await job_api.submit(job)).outcome is SubmitOutcome.ACCEPTED
        assert (await job_api.submit(job)).outcome is SubmitOutcome.ACCEPTED
        other = attrs.evolve(job, **changes)
        assert (await job_api.submit(other)).outcome is SubmitOutcome.OTHER_REQUEST

    run_with_store(test)


def test_state_and_cancel_of_unknown_and_known_jobs() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        job_api = build_job_api(scripted)
        job_id = SUBMISSION.job_id
        assert await job_api.get_state(ROUTE, job_id) is None
        await job_api.submit(SUBMISSION)
        assert await job_api.get_state(ROUTE, job_id) is JobState.QUEUED
        assert await job_api.cancel(ROUTE, job_id) is True
        assert await job_api.cancel(ROUTE, job_id) is True

    run_with_store(test)


def test_job_that_was_cancelled_while_it_was_unknown_is_not_accepted_later() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        job_api = build_job_api(scripted)
        job_id = SUBMISSION.job_id
        assert await job_api.cancel(ROUTE, job_id) is False
        result = await job_api.submit(SUBMISSION)
        assert result.outcome is SubmitOutcome.CANCELLED
        assert await job_api.get_state(ROUTE, job_id) is None
        assert await job_api.cancel(ROUTE, job_id) is False

    run_with_store(test)


def test_job_stays_known_after_its_queue_moved_to_another_service() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        job_api = build_job_api(scripted)
        await job_api.submit(SUBMISSION)
        moved = attrs.evolve(ROUTE, policy=attrs.evolve(POLICY, service="s2"))
        services = {"s": Service("s"), "s2": Service("s2")}
        assert job_api.routes.adopt(Configuration(2, (moved,), services))
        assert await job_api.get_state(moved, SUBMISSION.job_id) is JobState.QUEUED
        again = attrs.evolve(SUBMISSION, policy=moved.policy)
        result = await job_api.submit(again)
        assert (result.outcome, result.reason) == (SubmitOutcome.ACCEPTED, "known")
        assert tables.get_job_row("s2", SUBMISSION.job_id) not in store.rows

    run_with_store(test)


@pytest.mark.parametrize("value", [b"", b"no json", b"[]", b"{}"])
@pytest.mark.parametrize(
    "row_id",
    [
        tables.get_job_row("s", SUBMISSION.job_id),
        tables.get_progress_row("s", SUBMISSION.job_id),
    ],
)
def test_malformed_row_of_a_job_leaves_its_callers_without_an_answer(
    row_id: RowId, value: bytes
) -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        store.put(row_id, value)
        job_api = build_job_api(scripted)
        state = await job_api.get_state(ROUTE, SUBMISSION.job_id)
        assert state is Unavailable.STORED_JOB

    run_with_store(test)


@pytest.mark.parametrize("value", [b"", b"no json", b"[]", b"{}"])
def test_malformed_submission_in_the_store_is_neither_accepted_nor_rejected(
    value: bytes,
) -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        store.put(tables.get_job_row("s", SUBMISSION.job_id), value)
        job_api = build_job_api(scripted)
        cancelled = await job_api.cancel(ROUTE, SUBMISSION.job_id)
        assert cancelled is Unavailable.STORED_JOB
        assert (await job_api.submit(SUBMISSION)).outcome is SubmitOutcome.UNKNOWN
        job_api.routes.caps["north"] = Amount(1, NO_LIMIT, NO_LIMIT)
        too_large = attrs.evolve(SUBMISSION, tenant="north")
        assert (await job_api.submit(too_large)).outcome is SubmitOutcome.UNKNOWN
        moved = attrs.evolve(POLICY, service="s2")
        route = attrs.evolve(ROUTE, policy=moved)
        services = {"s": Service("s"), "s2": Service("s2")}
        assert job_api.routes.adopt(Configuration(2, (route,), services))
        again = attrs.evolve(SUBMISSION, policy=moved)
        assert (await job_api.submit(again)).outcome is SubmitOutcome.UNKNOWN

    run_with_store(test)


@pytest.mark.parametrize(
    "changes",
    [
        {"within": 7},
        {"within": {"in_time_s": "9", "of_use_s": "9"}},
        {"within": LONG_DELAY, "job_s": "1"},
        {"within": LONG_DELAY, "job_s": None},
        {"over": None},
    ],
)
def test_malformed_delay_estimate_does_not_fail_submissions(
    changes: dict[str, t.Any],
) -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        job_api = build_job_api(scripted)
        job_api.admission = AdmissionController()
        estimate = {"within": {}, "beyond": {}, "over": [], "job_s": 0.0} | changes
        row = attrs.evolve(OWNER_ROW, waiting={}, outlook=estimate, counted_at_ms=1)
        now = job_api.clocks.read_monotonic()
        job_api.health.store_clock.observe(ClockReading(1, now, now))
        job_api.views["s"] = OwnerView(row, 1, now)
        with structlog.testing.capture_logs() as lines:
            result = await job_api.submit(SUBMISSION)
        assert result.outcome is SubmitOutcome.ACCEPTED
        assert "delay estimate could not be decoded" in [
            line["event"] for line in lines
        ]

    run_with_store(test)


@pytest.mark.parametrize("gang", [False, True])
def test_job_larger_than_its_tenants_cap_is_refused(gang: bool) -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        job_api = build_job_api(scripted)
        step = Step(4 if gang else 1, cpu=100 if gang else 400, gang=gang)
        job = attrs.evolve(SUBMISSION, tenant="north", steps=(step,))
        job_api.routes.caps["north"] = Amount(400, NO_LIMIT, NO_LIMIT)
        assert (await job_api.submit(job)).outcome is SubmitOutcome.ACCEPTED
        job_api.routes.caps["north"] = Amount(399, NO_LIMIT, NO_LIMIT)
        # a job that was accepted under the previous cap is still accepted
        assert (await job_api.submit(job)).outcome is SubmitOutcome.ACCEPTED
        other = attrs.evolve(job, job_id="b" * 16)
        assert (await job_api.submit(other)).outcome is SubmitOutcome.ABOVE_CAP
        assert tables.get_job_row("s", other.job_id) not in store.rows

    run_with_store(test)


def test_requests_are_refused_without_delay_during_a_store_outage() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        job_api = build_job_api(scripted)
        scripted.script = ["unreadable"] * 9
        assert await job_api.get_state(ROUTE, "b" * 16) is Unavailable.STORE
        await anyio.sleep(OUTAGE_S)
        started = anyio.current_time()
        result = await job_api.submit(SUBMISSION)
        assert result.outcome is SubmitOutcome.REFUSED
        assert anyio.current_time() == started
        assert not job_api.is_ready()

    run_with_store(test)


@pytest.mark.parametrize("text", ["", "node=front-a-1\ncontrol_mode=heartbeat\n"])
def test_invalid_settings_at_a_reload_do_not_end_the_node(
    text: str, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "node.conf"
    path.write_text(text)
    settings = NodeSettings("node-1", "z", Address(), Address(), "-")
    with structlog.testing.capture_logs() as lines:
        check_settings_file(str(path), settings)
        check_settings_file(str(tmp_path / "missing"), settings)
    assert [line["event"] for line in lines] == ["reload refused"] * 2
    assert all(line["faults"] for line in lines)


def test_older_configuration_is_not_adopted() -> None:
    routes = RouteTable()
    assert routes.adopt(Configuration(5, (ROUTE,), {}))
    assert not routes.adopt(Configuration(4, (), {}))
    assert not routes.adopt(Configuration(5, (), {}))
    assert routes.find("h", "/p/x") == ROUTE


def test_route_with_the_longest_prefix_is_found() -> None:
    longer = attrs.evolve(ROUTE, prefix="/p/q/")
    routes = RouteTable()
    routes.adopt(Configuration(1, (ROUTE, longer), {}))
    assert routes.find("h", "/p/q/1") == longer
    assert routes.find("h", "/p/1") == ROUTE
    assert routes.find("other", "/p/1") is None


def build_node(scripted: ScriptedStore) -> Node:
    health = StoreHealth()
    return Node(
        NodeSettings("node-2", "z", Address(), Address(), "-"),
        MonitoredStore(scripted, health, EmulatedClocks()),
        health,
        t.cast(t.Any, None),
        None,
        DECODERS,
        EmulatedClocks(),
        random.Random(1),
    )


def test_each_series_of_hand_over_notices_is_logged_once() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        node.views["s"] = OwnerView(OWNER_ROW, 1, 0.0)
        notice = HandOver("s", OWNER_ROW.boot, OWNER_ROW.epoch)
        counts = []
        for _ in range(2):
            with structlog.testing.capture_logs() as lines:
                for _ in range(3):
                    node._handle_notice(notice)
                    await anyio.sleep(HAND_OVER_VALID_S / 2)
            counts.append([line["event"] for line in lines])
            await anyio.sleep(HAND_OVER_VALID_S)
        assert counts == [["hand-over notice received"]] * 2

    run_with_store(test)


def test_claim_expects_the_owner_row_it_was_decided_on() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        row_id = tables.get_owner_row("s")
        store.put(row_id, tables.encode_owner(OWNER_ROW))
        decision_view = OwnerView(OWNER_ROW, store.version, 0.0)
        node = build_node(scripted)
        # Another node claims the shard, and this node reads that claim after it has
        # decided to claim and before it sends its own.
        other = OwnerRow("node-3", "boot-3", 5)
        store.put(row_id, tables.encode_owner(other))
        node.views["s"] = OwnerView(other, store.version, 0.0)
        await node._try_claim("s", decision_view)
        assert tables.decode_owner(store.rows[row_id].value) == other
        assert not node.owners

    run_with_store(test)


def build_fleet_controller(
    scripted: ScriptedStore, store: EmulatedStore
) -> FleetController:
    controller = FleetController(
        build_writer(scripted, store),
        t.cast(t.Any, None),
        scripted,
        EmulatedClocks(),
        TimeLimits(),
        RouteTable(),
        {},
        DECODERS.encode_wave_status,
        random.Random(1),
        t.cast(t.Any, None),
    )
    controller.planner.add_wave(Wave(3, ("vm-1",), 20.0, 1), 0.0)
    controller.planner.apply_vm_list([Vm("vm-1", "s", VmState.UP)], 0.0)
    return controller


@pytest.mark.parametrize("script", [[], ["refuse"], ["drop"], ["lose"]])
def test_late_status_of_a_running_wave_does_not_replace_its_success(
    script: list[str],
) -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        controller = build_fleet_controller(scripted, store)
        running = DECODERS.encode_wave_status(3, False)
        succeeded = DECODERS.encode_wave_status(3, True)
        for _ in range(3):
            await controller._write_wave_statuses()
        assert store.rows[running[0]].value == running[1]
        previous = build_fleet_controller(scripted, store)
        store.put(*succeeded)
        scripted.script = list(script)
        for _ in range(3):
            await previous._write_wave_statuses()
        assert store.rows[succeeded[0]].value == succeeded[1]

    run_with_store(test, *script)


def test_status_of_a_wave_becomes_succeeded_once_its_vms_are_gone() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        controller = build_fleet_controller(scripted, store)
        await controller._write_wave_statuses()
        controller.planner.apply_vm_list([Vm("vm-2", "s", VmState.UP)], 0.0)
        await controller._write_wave_statuses()
        row, value = DECODERS.encode_wave_status(3, True)
        assert store.rows[row].value == value

    run_with_store(test)


def test_write_timeout_adapts_to_the_store() -> None:
    timeout = WriteTimeout()
    assert timeout.get() == MIN_TIMEOUT_S
    timeout.record_timeout()
    assert timeout.get() == 2 * MIN_TIMEOUT_S
    for _ in range(9):
        timeout.record_timeout()
    assert timeout.get() == MAX_TIMEOUT_S
    timeout.note_answer(0.01)
    assert timeout.get() == MIN_TIMEOUT_S
    for _ in range(30):
        timeout.note_answer(0.3)
    assert timeout.get() == MAX_TIMEOUT_S


def test_routine_log_lines_leave_capacity_for_other_lines() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    lines = BoundedLogWriter(writer, read_clock=lambda: 0.0)
    written = 0
    for _ in range(int(BURST_LINES)):
        with contextlib.suppress(structlog.DropEvent):
            lines.limit_routine_events(None, "info", {"event": "tasks placed"})
            lines.msg(b"{}")
            written += 1
    assert written == BURST_LINES * ROUTINE_SHARE
    assert lines.dropped_total == BURST_LINES - written
    for _ in range(int(BURST_LINES) - written - 1):
        lines.limit_routine_events(None, "info", {"event": "shard lost"})
        lines.msg(b"{}")
    assert lines.dropped_total == BURST_LINES - written
    os.close(reader)
    os.close(writer)


def test_flood_of_log_lines_does_not_hide_that_a_job_stands() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    lines = BoundedLogWriter(writer, read_clock=lambda: 0.0)
    for _ in range(int(BURST_LINES) + 50):
        lines.msg(b"{}")
    for event in sorted(BOUNDED_EVENTS):
        lines.admit_bounded_events(None, "info", {"event": event})
        lines.msg(b"{}")
    assert lines.dropped_total == 50
    lines.admit_bounded_events(None, "info", {"event": "start not confirmed"})
    lines.msg(b"{}")
    assert lines.dropped_total == 51
    os.close(reader)
    os.close(writer)


def test_log_lines_are_bounded_counted_and_never_block() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    now = [0.0]
    lines = BoundedLogWriter(writer, read_clock=lambda: now[0])
    for _ in range(int(BURST_LINES) + 50):
        lines.msg(b"{}")
    assert lines.dropped_total == 50
    os.read(reader, 1 << 20)
    now[0] = 1.0
    lines.msg(b"{}")
    notes = [orjson.loads(line) for line in os.read(reader, 1 << 20).splitlines()]
    assert notes[0]["count"] == 50
    now[0] = 1000.0
    for _ in range(200):
        lines.msg(b"x" * 4000)
    assert lines.dropped_total > 50
    os.close(reader)
    now[0] = 2000.0
    lines.msg(b"{}")
    os.close(writer)
