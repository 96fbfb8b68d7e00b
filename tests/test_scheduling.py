"""Tests of the slot scheduler, partly against a reference that scans all requests."""

import random
import typing as t

import pytest

from onyxgap.defaults import EJECT_AFTER_FAILURES
from onyxgap.defaults import EJECT_MAX_S
from onyxgap.request.messages import Outcome
from onyxgap.request.messages import Reason
from onyxgap.request.queue import SlotRequest
from onyxgap.request.scheduling import Decision
from onyxgap.request.scheduling import Granted
from onyxgap.request.scheduling import Refused
from onyxgap.request.scheduling import SlotScheduler
from onyxgap.request.targets import TargetSet

NO_DEADLINE = 1e9


def build_scheduler(
    targets: int = 4, slots: int = 2, **options: t.Any
) -> SlotScheduler:
    target_set = TargetSet(random.Random(1))
    target_set.replace((f"vm-{n}", f"zone-{n % 2}", "r", slots) for n in range(targets))
    return SlotScheduler(target_set, **options)


def submit(
    scheduler: SlotScheduler, ask_id: int, rank: int = 0, **options: t.Any
) -> list[Decision]:
    deadline = options.pop("deadline", NO_DEADLINE)
    return scheduler.submit(SlotRequest("e", ask_id, rank, deadline, **options), 0.0)


class ReferenceScheduler:
    """Scans lists of all requests and targets; has no reserve and no quotas."""

    def __init__(self, slots: dict[str, int]) -> None:
        self.free = dict(slots)
        self.waiting: list[tuple[int, int]] = []
        self.held: dict[int, str] = {}

    def submit(self, ask_id: int, rank: int) -> list[int]:
        self.waiting.append((rank, ask_id))
        return self._grant()

    def release(self, ask_id: int) -> list[int]:
        self.free[self.held.pop(ask_id)] += 1
        return self._grant()

    def _grant(self) -> list[int]:
        granted = []
        while self.waiting and max(self.free.values()) > 0:
            self.waiting.sort()
            _, ask_id = self.waiting.pop(0)
            vm = max(self.free, key=lambda name: self.free[name])
            self.free[vm] -= 1
            self.held[ask_id] = vm
            granted.append(ask_id)
        return granted


@pytest.mark.parametrize("seed", range(20))
def test_same_grants_as_the_reference_scheduler(seed: int) -> None:
    rng = random.Random(seed)
    scheduler = build_scheduler(reserve_share=0.0, queue_per_slot=1000)
    reference = ReferenceScheduler({f"vm-{n}": 2 for n in range(4)})
    held: list[int] = []
    for ask_id in range(300):
        if held and rng.random() < 0.5:
            released = held.pop(rng.randrange(len(held)))
            decisions = scheduler.release("e", released, Outcome.SERVED, 0.05, 0.0)
            expected = reference.release(released)
        else:
            rank = rng.choice((0, 1, 1, 2))
            # the reference has no starvation protection: keep it from taking effect
            scheduler._urgent_streak = 0
            decisions = submit(scheduler, ask_id, rank)
            expected = reference.submit(ask_id, rank)
        granted = [d.request.ask for d in decisions if isinstance(d, Granted)]
        assert granted == expected
        held.extend(granted)
        total, free = scheduler.targets.count_slots(0.0)
        assert (total, free) == (8, sum(reference.free.values()))


def test_slots_are_spread_evenly_over_targets() -> None:
    scheduler = build_scheduler(targets=4, slots=4, reserve_share=0.0)
    for ask_id in range(8):
        submit(scheduler, ask_id)
    assert [target.in_use for target in scheduler.targets.by_vm.values()] == [2] * 4


def test_reserve_is_kept_for_urgent_requests() -> None:
    scheduler = build_scheduler(reserve_share=0.2)
    granted = [bool(submit(scheduler, ask_id, rank=1)) for ask_id in range(8)]
    assert granted == [True] * 6 + [False] * 2
    assert isinstance(submit(scheduler, 9, rank=0)[0], Granted)


def test_urgent_requests_do_not_starve_others() -> None:
    scheduler = build_scheduler(targets=1, slots=1, queue_per_slot=1000)
    submit(scheduler, 0)
    submit(scheduler, 1, rank=1)
    for ask_id in range(2, 40):
        submit(scheduler, ask_id)
    order = []
    current = 0
    for _ in range(30):
        current = scheduler.release("e", current, Outcome.SERVED, 0.01, 0.0)[
            0
        ].request.ask
        order.append(current)
    assert order.index(1) == 16


def test_team_at_its_quota_does_not_block_another_team() -> None:
    scheduler = build_scheduler(quotas={"a": 2}, reserve_share=0.0)
    decisions = [submit(scheduler, ask_id, rank=1, team="a") for ask_id in range(4)]
    assert [len(items) for items in decisions] == [1, 1, 0, 0]
    assert len(submit(scheduler, 9, rank=1, team="b")) == 1
    released = scheduler.release("e", 0, Outcome.SERVED, 0.01, 0.0)
    assert [decision.request.ask for decision in released] == [2]


def test_request_that_cannot_meet_its_deadline_is_refused_with_the_drain_time() -> None:
    scheduler = build_scheduler(targets=1, slots=1)
    scheduler.mean_s = 2.0
    submit(scheduler, 0)
    submit(scheduler, 1)
    (refused,) = submit(scheduler, 2, deadline=1.0)
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.OVERLOADED
    assert refused.retry_after_s == pytest.approx(4.0)


def test_queued_request_past_its_deadline_is_refused() -> None:
    scheduler = build_scheduler(targets=1, slots=1)
    submit(scheduler, 0)
    submit(scheduler, 1, deadline=3.0)
    assert scheduler.expire(2.0) == []
    (refused,) = scheduler.expire(3.0)
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.DEADLINE


def test_retry_avoids_failed_vm_and_zone() -> None:
    scheduler = build_scheduler()
    for ask_id in range(3):
        (granted,) = submit(scheduler, ask_id, avoid=("vm-0", "zone-0"))
        assert isinstance(granted, Granted)
        assert granted.vm in ("vm-1", "vm-3")


def test_at_most_half_of_failing_targets_are_ejected() -> None:
    scheduler = build_scheduler(targets=4, slots=100, reserve_share=0.0)
    for ask_id in range(200):
        (granted,) = submit(scheduler, ask_id)
        scheduler.release("e", ask_id, Outcome.FAILED, 0.01, 0.0)
    total, _ = scheduler.targets.count_slots(0.0)
    assert total == 200
    total, _ = scheduler.targets.count_slots(1000.0)
    assert total == 400


def test_slow_target_gets_fewer_slots_and_recovers() -> None:
    scheduler = build_scheduler(targets=4, slots=8, reserve_share=0.0)
    ask_id = 0
    for slow_s in (1.0, 0.05):
        for _ in range(800):
            ask_id += 1
            (granted,) = submit(scheduler, ask_id)
            assert isinstance(granted, Granted)
            took_s = slow_s if granted.vm == "vm-0" else 0.05
            scheduler.release("e", ask_id, Outcome.SERVED, took_s, 0.0)
        limit = scheduler.targets.by_vm["vm-0"].limit
        assert limit < 8 if slow_s == 1.0 else limit == 8


def test_removed_member_frees_its_slots_and_queued_requests() -> None:
    scheduler = build_scheduler(targets=1, slots=2)
    scheduler.submit(SlotRequest("dead", 1, 0, NO_DEADLINE), 0.0)
    scheduler.submit(SlotRequest("dead", 2, 0, NO_DEADLINE), 0.0)
    scheduler.submit(SlotRequest("dead", 3, 0, NO_DEADLINE), 0.0)
    scheduler.submit(SlotRequest("live", 4, 0, NO_DEADLINE), 0.0)
    decisions = scheduler.remove_member("dead", 0.0)
    assert [decision.request.ask for decision in decisions] == [4]


def test_adopted_slot_counts_as_used() -> None:
    scheduler = build_scheduler(targets=1, slots=1)
    scheduler.adopt("old", 7, "vm-0", None)
    assert submit(scheduler, 1) == []
    (granted,) = scheduler.release("old", 7, Outcome.SERVED, 0.01, 0.0)
    assert isinstance(granted, Granted)


def test_slot_adopted_on_a_draining_target_leaves_the_count_of_others() -> None:
    scheduler = build_scheduler(targets=2)
    scheduler.adopt("old", 1, "vm-0", None)
    scheduler.targets.replace([("vm-1", "zone-1", "r", 2)])
    assert scheduler.targets.count_slots(0.0) == (2, 2)
    scheduler.adopt("old", 2, "vm-0", None)
    assert scheduler.targets.count_slots(0.0) == (2, 2)


def test_slot_adopted_on_an_ejected_target_leaves_the_count_of_others() -> None:
    scheduler = build_scheduler(targets=4, slots=8)
    for ask_id in range(EJECT_AFTER_FAILURES):
        scheduler.adopt("e", ask_id, "vm-0", None)
    for ask_id in range(EJECT_AFTER_FAILURES):
        scheduler.release("e", ask_id, Outcome.FAILED, 0.1, 0.0)
    assert scheduler.targets.count_slots(0.0) == (24, 24)
    scheduler.adopt("old", 9, "vm-0", None)
    assert scheduler.targets.count_slots(0.0) == (24, 24)
    assert scheduler.targets.count_slots(EJECT_MAX_S) == (32, 31)


def test_slot_adopted_on_an_unknown_vm_counts_once_the_vm_is_known() -> None:
    scheduler = build_scheduler(targets=1, slots=2)
    scheduler.adopt("old", 7, "vm-9", None)
    assert scheduler.targets.count_slots(0.0) == (2, 2)
    known = [("vm-0", "zone-0", "r", 2), ("vm-9", "zone-1", "r", 1)]
    scheduler.targets.replace(known)
    assert scheduler.targets.count_slots(0.0) == (3, 2)
    submit(scheduler, 1)
    submit(scheduler, 2)
    assert scheduler.targets.by_vm["vm-9"].in_use == 1
    assert scheduler.targets.by_vm["vm-9"].zone == "zone-1"
    scheduler.release("old", 7, Outcome.SERVED, 0.01, 0.0)
    assert scheduler.targets.count_slots(0.0) == (3, 1)


@pytest.mark.parametrize("outcome", Outcome)
def test_slots_adopted_on_an_unknown_vm_are_released(outcome: Outcome) -> None:
    scheduler = build_scheduler(targets=1, slots=2)
    for ask_id in range(3):
        scheduler.adopt("old", ask_id, "vm-9", None)
    for ask_id in range(3):
        scheduler.release("old", ask_id, outcome, 0.01, 0.0)
    assert list(scheduler.targets.by_vm) == ["vm-0"]
    assert scheduler.targets.count_slots(0.0) == (2, 2)


def test_targets_that_drain_do_not_let_all_serving_ones_be_ejected() -> None:
    targets = TargetSet(random.Random(1))
    shape = ("z", "r", 4)
    targets.replace([(name, *shape) for name in ("a", "b", "c", "d")])
    for name in ("c", "d"):
        targets.acquire_slot(name)
    targets.replace([(name, *shape) for name in ("a", "b")])
    for name in ("a", "b"):
        for _ in range(10):
            targets.acquire_slot(name)
            targets.release_slot(name, Outcome.FAILED, 1.0, 1.0)
    assert targets.choose(2.0) is not None
