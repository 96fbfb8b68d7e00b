"""Tests that shares of a cap follow demand and that the cap holds despite faults."""

import random

import attrs
import pytest

from onyxgap.exceptions import DocumentError
from onyxgap.jobs.amounts import UNLIMITED
from onyxgap.jobs.amounts import ZERO_AMOUNT
from onyxgap.jobs.amounts import Amount
from onyxgap.jobs.share_book import ShardShares
from onyxgap.jobs.share_book import ShareUpdate
from onyxgap.jobs.shares import CONTENDED_PEAK_HOLD_S
from onyxgap.jobs.shares import PEAK_HOLD_S
from onyxgap.jobs.shares import ShareEntry
from onyxgap.jobs.shares import compute_fair_fraction
from onyxgap.jobs.shares import decode_entries
from onyxgap.jobs.shares import encode_entries

CAP = Amount(100, 1_000, 10)
TASK = Amount(5, 20, 0)
ROOM = Amount(10_000, 100_000, 1_000)
TENANT = "north"


@attrs.define
class Row:
    """A tenant's row in a store with conditional writes."""

    version: int = 0
    entries: dict[str, ShareEntry] = attrs.field(factory=dict)

    def apply(self, change: ShareUpdate) -> int | None:
        if change.version != self.version:
            return None
        self.version += 1
        self.entries = dict(change.entries)
        return self.version


@attrs.define
class ShardOwner:
    """An owner with its shard, whose tasks all have the same size."""

    shard_shares: ShardShares
    row: Row
    running: int = 0
    wanted: int = 0
    task: Amount = TASK

    def plan(self, now: float) -> int:
        """Start the wanted tasks that the share allows and return their number."""
        used = self.task * self.running
        self.shard_shares.begin_pass({TENANT: used} if self.running else {})
        started = 0
        while self.wanted > started and self.shard_shares.admits(TENANT, self.task):
            self.shard_shares.add_usage(TENANT, self.task)
            started += 1
        if self.wanted > started:
            self.shard_shares.add_unmet(TENANT, self.task, self.wanted - started)
        self.running += started
        self.wanted -= started
        self.shard_shares.end_pass(ROOM, now)
        return started

    def write(self) -> None:
        """Write the rows that need it; after a conflict, read the row again."""
        for tenant in self.shard_shares.list_tenants_to_write():
            change = self.shard_shares.begin_update(tenant)
            if change is not None:
                self.apply_change(change)

    def apply_change(self, change: ShareUpdate) -> None:
        version = self.row.apply(change)
        self.shard_shares.end_update(change, version)
        if version is None:
            self.shard_shares.observe(TENANT, self.row.entries, self.row.version)

    def plan_and_write(self, now: float) -> None:
        """Run scheduling passes and writes until shares have settled."""
        for _ in range(4):
            self.plan(now)
            self.write()


def build_shard(
    row: Row, name: str = "ring", epoch: int = 1, caps: dict[str, Amount] | None = None
) -> ShardOwner:
    caps = {TENANT: CAP} if caps is None else caps
    shard_shares = ShardShares(name, epoch, lambda tenant: caps.get(tenant, UNLIMITED))
    shard_shares.observe(TENANT, row.entries, row.version)
    return ShardOwner(shard_shares, row)


def sum_shares(row: Row) -> Amount:
    total = ZERO_AMOUNT
    for entry in row.entries.values():
        total += entry.share
    return total


def test_entries_round_trip_through_encoding() -> None:
    entries = {
        "ring": ShareEntry(Amount(1, 2, 3), Amount(4, 5, 6), 7),
        "herd": ShareEntry(),
    }
    assert decode_entries(encode_entries(entries)) == entries


@pytest.mark.parametrize("value", [b"", b"[]", b'{"a":1}', b'{"a":[[1],[2],3,4]}'])
def test_malformed_row_is_refused(value: bytes) -> None:
    with pytest.raises(DocumentError):
        decode_entries(value)


@pytest.mark.parametrize(
    ("fractions", "level"),
    [
        ([], 1.0),
        ([0.4, 0.6], 1.0),
        ([2.0], 1.0),
        ([2.0, 3.0], 0.5),
        ([0.1, 5.0, 5.0], 0.45),
        ([0.5, 0.5, 0.5, 0.5], 0.25),
    ],
)
def test_fair_fraction_meets_small_wants_and_divides_the_rest_evenly(
    fractions: list[float], level: float
) -> None:
    assert compute_fair_fraction(fractions) == pytest.approx(level)


def test_first_start_needs_one_write() -> None:
    shard = build_shard(Row(), caps={TENANT: CAP})
    shard.wanted = 3
    assert shard.plan(1.0) == 0
    shard.write()
    assert shard.plan(1.0) == 3


def test_tenant_without_name_or_cap_needs_no_share() -> None:
    shard = build_shard(Row(), caps={})
    shard.wanted = 1_000
    assert shard.plan(1.0) == 1_000
    shard.write()
    assert shard.row.version == 0
    assert shard.shard_shares.admits("", Amount(10**9))


def test_whole_cap_goes_to_the_one_shard_that_wants_it() -> None:
    shard = build_shard(Row())
    shard.wanted = 100
    shard.plan_and_write(1.0)
    assert shard.running == 20


def test_idle_share_is_released_and_used_by_another_shard() -> None:
    row = Row()
    ring, herd = build_shard(row), build_shard(row, "herd")
    ring.wanted = 100
    ring.plan_and_write(1.0)
    ring.running = ring.wanted = 0
    ring.plan(1.1)
    ring.write()
    ring.plan(1.1 + PEAK_HOLD_S + 0.01)
    ring.write()
    assert row.entries["ring"].share == ZERO_AMOUNT
    herd.wanted = 100
    herd.plan_and_write(2.2)
    assert herd.running == 20


def test_shards_that_want_more_than_the_cap_get_equal_shares() -> None:
    row = Row()
    ring, herd = build_shard(row), build_shard(row, "herd")
    ring.wanted = 1_000
    ring.plan_and_write(1.0)
    assert ring.running == 20
    herd.wanted = 1_000
    now = 1.0
    for _ in range(40):
        now += CONTENDED_PEAK_HOLD_S + 0.01
        herd.plan_and_write(now)
        ring.shard_shares.observe(TENANT, row.entries, row.version)
        # a task ends in each shard
        ring.running = max(0, ring.running - 1)
        herd.running = max(0, herd.running - 1)
        ring.plan_and_write(now)
        assert (ring.running + herd.running) * TASK.cpu <= CAP.cpu
    assert abs(ring.running - herd.running) <= 2
    assert ring.running + herd.running >= 18


@pytest.mark.parametrize("shards", [2, 3, 5])
def test_tasks_larger_than_the_fair_share_run_one_at_a_time(shards: int) -> None:
    row = Row()
    names = [f"shard-{number}" for number in range(shards)]
    found = [build_shard(row, name) for name in names]
    for shard in found:
        shard.task = Amount(60, 100)
        shard.wanted = 3
    now, served = 1.0, set()
    for _ in range(60):
        now += 0.2
        for shard in found:
            shard.shard_shares.observe(TENANT, row.entries, row.version)
            shard.plan_and_write(now)
        running = [shard for shard in found if shard.running]
        assert sum(shard.running for shard in found) <= 1
        for shard in running:
            served.add(shard.shard_shares.shard)
            shard.running = 0
    assert served == set(names)


@pytest.mark.parametrize("factor", [0.0, 0.2, 0.6])
def test_nothing_starts_above_a_lowered_cap(factor: float) -> None:
    row, caps = Row(), {TENANT: CAP}
    ring, herd = build_shard(row, caps=caps), build_shard(row, "herd", caps=caps)
    ring.wanted = herd.wanted = 10
    for _ in range(3):
        for shard in (ring, herd):
            shard.shard_shares.observe(TENANT, row.entries, row.version)
            shard.plan_and_write(1.0)
    assert ring.running + herd.running == 20
    lower = Amount(*(int(part * factor) for part in attrs.astuple(CAP)))
    caps[TENANT] = lower
    ring.wanted = herd.wanted = 50
    now = 1.0
    for _ in range(30):
        now += 0.2
        before = ring.running + herd.running
        if before:
            busy = max((ring, herd), key=lambda shard: shard.running)
            busy.running -= 1
        for shard in (ring, herd):
            shard.shard_shares.observe(TENANT, row.entries, row.version)
            shard.plan_and_write(now)
        after = ring.running + herd.running
        assert after < before or (TASK * after).fits(lower)
    if factor:
        assert (ring.running + herd.running) * TASK.cpu >= lower.cpu * 0.8


def test_raised_cap_is_used() -> None:
    row, caps = Row(), {TENANT: CAP}
    ring = build_shard(row, caps=caps)
    ring.wanted = 100
    ring.plan_and_write(1.0)
    caps[TENANT] = CAP * 2
    ring.plan_and_write(1.1)
    assert ring.running == 40


def test_successor_starts_nothing_before_its_own_write() -> None:
    row = Row()
    previous = build_shard(row)
    previous.wanted = 10
    previous.plan_and_write(1.0)
    # a write of the previous owner that lowers its share a lot is still in flight
    previous.running = 2
    previous.plan(1.1)
    previous.plan(1.1 + PEAK_HOLD_S + 0.01)
    (tenant,) = previous.shard_shares.list_tenants_to_write()
    delayed = previous.shard_shares.begin_update(tenant)
    assert delayed is not None
    successor = build_shard(row, epoch=2)
    successor.running, successor.wanted = 2, 10
    assert successor.plan(2.2) == 0
    successor.write()
    assert row.apply(delayed) is None
    assert successor.plan(2.2) == 10


def test_previous_owner_does_not_overwrite_entry_of_successor() -> None:
    row = Row()
    previous, successor = build_shard(row), build_shard(row, epoch=2)
    previous.wanted = 4
    previous.plan_and_write(1.0)
    successor.running = 4
    successor.shard_shares.observe(TENANT, row.entries, row.version)
    successor.plan_and_write(1.5)
    assert row.entries["ring"].epoch == 2
    previous.shard_shares.observe(TENANT, row.entries, row.version)
    previous.running, previous.wanted = 0, 10
    assert previous.plan(3.0) == 0
    assert previous.shard_shares.list_tenants_to_write() == []


@attrs.define
class Model:
    """Random run of three shards: owners are replaced, writes are lost or late."""

    rng: random.Random
    row: Row = attrs.field(factory=Row)
    caps: dict[str, Amount] = attrs.field(factory=lambda: {TENANT: CAP})
    shards: list[ShardOwner] = attrs.field(factory=list)
    previous: list[ShardOwner] = attrs.field(factory=list)
    in_flight: list[tuple[ShardOwner, ShareUpdate]] = attrs.field(factory=list)
    delayed: list[ShareUpdate] = attrs.field(factory=list)
    now: float = 1.0
    starts: int = 0

    def __attrs_post_init__(self) -> None:
        names = ("ring", "herd", "desk")
        self.shards = [build_shard(self.row, name, caps=self.caps) for name in names]

    def step(self) -> None:
        self.now += self.rng.uniform(0.0, 0.4)
        shard = self.rng.choice(self.shards)
        action = self.rng.choice(
            [self.plan, self.plan, self.end, self.send, self.deliver, self.deliver]
            + [self.observe, self.replace, self.deliver_late, self.change_demand]
        )
        action(shard)

    def plan(self, shard: ShardOwner) -> None:
        started = shard.plan(self.now)
        self.starts += started
        if started:
            running = sum(item.running for item in self.shards)
            assert (TASK * running).fits(CAP), running

    def end(self, shard: ShardOwner) -> None:
        shard.running -= self.rng.randint(0, shard.running)

    def change_demand(self, shard: ShardOwner) -> None:
        shard.wanted = self.rng.choice([0, 1, 5, 40])

    def send(self, shard: ShardOwner) -> None:
        shard = self.rng.choice([shard, *self.previous[-2:]])
        for tenant in shard.shard_shares.list_tenants_to_write():
            change = shard.shard_shares.begin_update(tenant)
            if change is not None:
                self.in_flight.append((shard, change))

    def deliver(self, _: ShardOwner) -> None:
        if not self.in_flight:
            return
        index = self.rng.randrange(len(self.in_flight))
        shard, change = self.in_flight[index]
        if self.rng.random() < 0.3:
            # no answer: the write is applied now, later or never, and sent again
            if self.rng.random() < 0.5:
                self.row.apply(change)
            elif self.rng.random() < 0.5:
                self.delayed.append(change)
            return
        del self.in_flight[index]
        version = self.row.apply(change)
        present = self.row.entries
        if version is None and present == change.entries:
            version = self.row.version
        shard.shard_shares.end_update(change, version)
        shard.shard_shares.observe(TENANT, present, self.row.version)

    def deliver_late(self, _: ShardOwner) -> None:
        if self.delayed:
            self.row.apply(self.delayed.pop(self.rng.randrange(len(self.delayed))))

    def observe(self, shard: ShardOwner) -> None:
        shard.shard_shares.observe(TENANT, self.row.entries, self.row.version)

    def replace(self, shard: ShardOwner) -> None:
        if self.rng.random() < 0.9:
            return
        index = self.shards.index(shard)
        shard_shares = shard.shard_shares
        successor = build_shard(
            self.row, shard_shares.shard, shard_shares.epoch + 1, self.caps
        )
        successor.running, successor.wanted = shard.running, shard.wanted
        self.shards[index] = successor
        # the previous owner starts nothing more but may still write
        shard.running = 0
        self.previous.append(shard)


@pytest.mark.parametrize("seed", range(200))
def test_cap_holds_through_owner_changes_and_lost_or_late_writes(seed: int) -> None:
    model = Model(random.Random(seed))
    for _ in range(800):
        model.step()
    assert model.starts
