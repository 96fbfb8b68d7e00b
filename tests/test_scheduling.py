"""The slot scheduler, beside a naive one that looks at everything."""

import random
import typing as t

import pytest

from onyxgap.request.messages import Outcome
from onyxgap.request.messages import Reason
from onyxgap.request.queue import Ask
from onyxgap.request.scheduling import Decision
from onyxgap.request.scheduling import Granted
from onyxgap.request.scheduling import Refused
from onyxgap.request.scheduling import SlotScheduler
from onyxgap.request.targets import TargetSet

FAR = 1e9


def build_scheduler(
    targets: int = 4, slots: int = 2, **options: t.Any
) -> SlotScheduler:
    chosen = TargetSet(random.Random(1))
    chosen.replace((f"vm-{n}", f"zone-{n % 2}", "r", slots) for n in range(targets))
    return SlotScheduler(chosen, **options)


def submit(
    scheduler: SlotScheduler, ask: int, rank: int = 0, **options: t.Any
) -> list[Decision]:
    deadline = options.pop("deadline", FAR)
    return scheduler.submit(Ask("e", ask, rank, deadline, **options), 0.0)


class NaiveScheduler:
    """Keeps lists and looks at all of them each time; no reserve, no quotas."""

    def __init__(self, slots: dict[str, int]) -> None:
        self.free = dict(slots)
        self.waiting: list[tuple[int, int]] = []
        self.held: dict[int, str] = {}

    def submit(self, ask: int, rank: int) -> list[int]:
        self.waiting.append((rank, ask))
        return self._grant()

    def release(self, ask: int) -> list[int]:
        self.free[self.held.pop(ask)] += 1
        return self._grant()

    def _grant(self) -> list[int]:
        granted = []
        while self.waiting and max(self.free.values()) > 0:
            self.waiting.sort()
            _, ask = self.waiting.pop(0)
            vm = max(self.free, key=lambda name: self.free[name])
            self.free[vm] -= 1
            self.held[ask] = vm
            granted.append(ask)
        return granted


@pytest.mark.parametrize("seed", range(20))
def test_same_grants_as_the_naive_scheduler(seed: int) -> None:
    rng = random.Random(seed)
    ours = build_scheduler(reserve_share=0.0, queue_per_slot=1000)
    naive = NaiveScheduler({f"vm-{n}": 2 for n in range(4)})
    held: list[int] = []
    for ask in range(300):
        if held and rng.random() < 0.5:
            old = held.pop(rng.randrange(len(held)))
            mine = ours.release("e", old, Outcome.SERVED, 0.05, 0.0)
            theirs = naive.release(old)
        else:
            rank = rng.choice((0, 1, 1, 2))
            # starvation protection is a difference on purpose
            ours._urgent_run = 0
            mine = submit(ours, ask, rank)
            theirs = naive.submit(ask, rank)
        granted = [d.ask.ask for d in mine if isinstance(d, Granted)]
        assert granted == theirs
        held.extend(granted)
        total, free = ours.targets.count_slots(0.0)
        assert (total, free) == (8, sum(naive.free.values()))


def test_targets_are_used_evenly() -> None:
    scheduler = build_scheduler(targets=4, slots=4, reserve_share=0.0)
    for ask in range(8):
        submit(scheduler, ask)
    assert [target.in_use for target in scheduler.targets.by_vm.values()] == [2] * 4


def test_reserve_is_kept_for_urgent_asks() -> None:
    scheduler = build_scheduler(reserve_share=0.2)
    granted = [bool(submit(scheduler, ask, rank=1)) for ask in range(8)]
    assert granted == [True] * 6 + [False] * 2
    assert isinstance(submit(scheduler, 9, rank=0)[0], Granted)


def test_others_are_not_starved() -> None:
    scheduler = build_scheduler(targets=1, slots=1, queue_per_slot=1000)
    submit(scheduler, 0)
    submit(scheduler, 1, rank=1)
    for ask in range(2, 40):
        submit(scheduler, ask)
    order = []
    current = 0
    for _ in range(30):
        current = scheduler.release("e", current, Outcome.SERVED, 0.01, 0.0)[0].ask.ask
        order.append(current)
    assert order.index(1) == 16


def test_quota_holds_and_teams_take_turns() -> None:
    scheduler = build_scheduler(quotas={"a": 2}, reserve_share=0.0)
    decisions = [submit(scheduler, ask, rank=1, team="a") for ask in range(4)]
    assert [len(made) for made in decisions] == [1, 1, 0, 0]
    assert len(submit(scheduler, 9, rank=1, team="b")) == 1
    released = scheduler.release("e", 0, Outcome.SERVED, 0.01, 0.0)
    assert [decision.ask.ask for decision in released] == [2]


def test_hopeless_ask_is_refused_at_once_with_the_drain_time() -> None:
    scheduler = build_scheduler(targets=1, slots=1)
    scheduler.mean_s = 2.0
    submit(scheduler, 0)
    submit(scheduler, 1)
    (refused,) = submit(scheduler, 2, deadline=1.0)
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.OVERLOADED
    assert refused.retry_after_s == pytest.approx(4.0)


def test_late_ask_is_refused_in_the_queue() -> None:
    scheduler = build_scheduler(targets=1, slots=1)
    submit(scheduler, 0)
    submit(scheduler, 1, deadline=3.0)
    assert scheduler.expire(2.0) == []
    (refused,) = scheduler.expire(3.0)
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.DEADLINE


def test_retry_goes_to_another_zone() -> None:
    scheduler = build_scheduler()
    for ask in range(3):
        (granted,) = submit(scheduler, ask, avoid=("vm-0", "zone-0"))
        assert isinstance(granted, Granted)
        assert granted.vm in ("vm-1", "vm-3")


def test_failing_targets_are_ejected_up_to_half() -> None:
    scheduler = build_scheduler(targets=4, slots=100, reserve_share=0.0)
    for ask in range(200):
        (granted,) = submit(scheduler, ask)
        scheduler.release("e", ask, Outcome.FAILED, 0.01, 0.0)
    total, _ = scheduler.targets.count_slots(0.0)
    assert total == 200
    total, _ = scheduler.targets.count_slots(1000.0)
    assert total == 400


def test_slow_target_gets_fewer_slots_and_recovers() -> None:
    scheduler = build_scheduler(targets=4, slots=8, reserve_share=0.0)
    ask = 0
    for slow_s in (1.0, 0.05):
        for _ in range(800):
            ask += 1
            (granted,) = submit(scheduler, ask)
            assert isinstance(granted, Granted)
            took = slow_s if granted.vm == "vm-0" else 0.05
            scheduler.release("e", ask, Outcome.SERVED, took, 0.0)
        limit = scheduler.targets.by_vm["vm-0"].limit
        assert limit < 8 if slow_s == 1.0 else limit == 8


def test_dropped_member_frees_its_slots_and_asks() -> None:
    scheduler = build_scheduler(targets=1, slots=2)
    scheduler.submit(Ask("dead", 1, 0, FAR), 0.0)
    scheduler.submit(Ask("dead", 2, 0, FAR), 0.0)
    scheduler.submit(Ask("dead", 3, 0, FAR), 0.0)
    scheduler.submit(Ask("live", 4, 0, FAR), 0.0)
    decisions = scheduler.drop_member("dead", 0.0)
    assert [decision.ask.ask for decision in decisions] == [4]


def test_adopted_slot_counts_as_used() -> None:
    scheduler = build_scheduler(targets=1, slots=1)
    scheduler.adopt("old", 7, "vm-0", None)
    assert submit(scheduler, 1) == []
    (granted,) = scheduler.release("old", 7, Outcome.SERVED, 0.01, 0.0)
    assert isinstance(granted, Granted)
