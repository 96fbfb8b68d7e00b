"""Brokers of several entries: owners that die, late grants, withdrawn asks."""

import random
import typing as t

import attrs
import pytest

from bench.capacity import build_state
from onyxgap import defaults
from onyxgap.request.allocation import SlotBroker
from onyxgap.request.link import AskMessage
from onyxgap.request.messages import Outcome
from onyxgap.request.messages import Reason
from onyxgap.request.messages import Refusal
from onyxgap.request.messages import Slot
from onyxgap.request.scheduling import Decision
from onyxgap.request.scheduling import Granted

NAMES = ("entry-1", "entry-2", "entry-3")
SERVICE = "service-0"
FAR = 1e6


@attrs.define
class Link:
    """Carries messages between brokers at once, or not to those that are down."""

    me: str
    brokers: dict[str, SlotBroker]
    down: set[str]
    probes: list[str] = attrs.field(factory=list)

    def _find(self, member: str) -> SlotBroker | None:
        if member in self.down or self.me in self.down:
            return None
        return self.brokers[member]

    def send_ask(self, owner: str, message: AskMessage) -> None:
        if broker := self._find(owner):
            broker.handle_ask(self.me, message, 0.0)

    def send_release(
        self, owner: str, ask: int, outcome: Outcome, took_s: float
    ) -> None:
        if broker := self._find(owner):
            broker.handle_release(self.me, ask, outcome, took_s, 0.0)

    def send_held(self, owner: str, slot: Slot) -> None:
        if broker := self._find(owner):
            broker.handle_held(self.me, slot, 0.0)

    def send_decision(self, decision: Decision) -> None:
        broker = self._find(decision.ask.member)
        if broker is None:
            return
        ask = decision.ask.ask
        made: Slot | Refusal
        if isinstance(decision, Granted):
            made = Slot(ask, "", decision.vm, self.me)
        else:
            made = Refusal(decision.reason, decision.retry_after_s)
        broker.handle_decision(self.me, ask, made)

    def send_probe(self, owner: str) -> None:
        self.probes.append(owner)


@attrs.define
class Entries:
    """Three brokers that know the same fleet."""

    brokers: dict[str, SlotBroker] = attrs.field(factory=dict)
    down: set[str] = attrs.field(factory=set)
    done: list[Slot | Refusal] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        state = build_state(100)
        for name in NAMES:
            link = Link(name, self.brokers, self.down)
            broker = SlotBroker(name, link, random.Random(1), reserve_share=0.0)
            self.brokers[name] = broker
            broker.refresh(state, 0.0)
        for broker in self.brokers.values():
            broker.set_entries(NAMES, 0.0)

    @property
    def owner(self) -> str:
        return self.brokers["entry-1"].find_owner(SERVICE)

    def pick_other(self) -> SlotBroker:
        return next(b for name, b in self.brokers.items() if name != self.owner)

    def acquire(self, broker: SlotBroker, count: int = 1) -> list[int]:
        return [
            broker.acquire(SERVICE, 0, None, (), FAR, 0.0, self.done.append)
            for _ in range(count)
        ]

    def count_used(self, name: str) -> int:
        scheduler = self.brokers[name]._schedulers[SERVICE]
        return len(list(scheduler.list_held()))


@pytest.fixture
def entries() -> Entries:
    """Three entries."""
    return Entries()


def count_slots(entries: Entries) -> int:
    scheduler = entries.brokers[entries.owner]._find_scheduler(SERVICE)
    return scheduler.targets.count_slots(0.0)[0]


def test_entries_agree_on_the_owner_and_never_exceed_the_slots(
    entries: Entries,
) -> None:
    owners = {broker.find_owner(SERVICE) for broker in entries.brokers.values()}
    assert len(owners) == 1
    total = count_slots(entries)
    for broker in entries.brokers.values():
        entries.acquire(broker, total)
    granted = [item for item in entries.done if isinstance(item, Slot)]
    assert len(granted) == total
    assert entries.count_used(entries.owner) == total


def test_released_slot_goes_to_the_next(entries: Entries) -> None:
    broker = entries.pick_other()
    total = count_slots(entries)
    entries.acquire(broker, total + 1)
    assert len(entries.done) == total
    slot = entries.done[0]
    assert isinstance(slot, Slot)
    broker.release(slot, Outcome.SERVED, 0.01, 0.0)
    assert len(entries.done) == total + 1


def test_withdrawn_ask_gets_nothing(entries: Entries) -> None:
    broker = entries.pick_other()
    total = count_slots(entries)
    asks = entries.acquire(broker, total + 1)
    broker.withdraw(asks[-1], 0.0)
    slot = entries.done[0]
    assert isinstance(slot, Slot)
    broker.release(slot, Outcome.SERVED, 0.01, 0.0)
    assert len(entries.done) == total
    assert entries.count_used(entries.owner) == total - 1


def test_silent_owner_is_probed_then_replaced(entries: Entries) -> None:
    broker = entries.pick_other()
    dead = entries.owner
    entries.acquire(broker, 3)
    entries.down.add(dead)
    entries.acquire(broker, 2)
    assert len(entries.done) == 3
    broker.tick(defaults.PROBE_AFTER_S + 0.01)
    assert broker.find_owner(SERVICE) == dead
    broker.tick(defaults.PROBE_AFTER_S + defaults.PROBE_TIMEOUT_S + 0.02)
    heir = broker.find_owner(SERVICE)
    assert heir != dead
    assert len(entries.done) == 5
    # the new owner counts the slots that the old one had granted
    assert entries.count_used(heir) == 5


def test_owner_that_is_heard_again_gets_its_slots_back(entries: Entries) -> None:
    broker = entries.pick_other()
    dead = entries.owner
    broker.suspect(dead, 0.0)
    entries.acquire(broker, 2)
    heir = broker.find_owner(SERVICE)
    broker.hear(dead, 1.0)
    assert broker.find_owner(SERVICE) == dead
    assert entries.count_used(dead) == 2
    assert entries.count_used(heir) == 0


def test_slot_that_nobody_waits_for_goes_back(entries: Entries) -> None:
    broker = entries.pick_other()
    (ask,) = entries.acquire(broker, 1)
    slot = entries.done[0]
    assert isinstance(slot, Slot)
    broker.release(slot, Outcome.SERVED, 0.01, 0.0)
    owner = entries.brokers[entries.owner]
    message = AskMessage(ask + 100, SERVICE, 0, FAR, None, ())
    owner.handle_ask(broker.me, message, 0.0)
    assert entries.count_used(entries.owner) == 0


def test_lapsed_entry_frees_what_it_held(entries: Entries) -> None:
    broker = entries.pick_other()
    entries.acquire(broker, 4)
    owner = entries.brokers[entries.owner]
    owner.set_entries([name for name in NAMES if name != broker.me], 0.0)
    assert entries.count_used(entries.owner) == 0
    assert not owner._known


def test_late_asks_are_refused_by_the_tick(entries: Entries) -> None:
    owner = entries.brokers[entries.owner]
    total = count_slots(entries)
    entries.acquire(owner, total)
    owner.acquire(SERVICE, 0, None, (), 5.0, 0.0, entries.done.append)
    owner.tick(5.1)
    refusal = entries.done[-1]
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.DEADLINE
    assert len(owner._known) == total


def test_same_grants_for_one_entry_as_for_three(entries: Entries) -> None:
    rng = random.Random(4)
    alone = Entries()
    alone.down |= set(NAMES[1:])
    single = alone.brokers["entry-1"]
    single.set_entries(["entry-1"], 0.0)
    for _ in range(400):
        broker = entries.brokers[rng.choice(NAMES)]
        entries.acquire(broker)
        alone.acquire(single)
        _release_some(rng, entries, alone)
        assert len(entries.done) == len(alone.done)


def _release_some(rng: random.Random, entries: Entries, alone: Entries) -> None:
    held = [
        (broker, slot)
        for broker in entries.brokers.values()
        for slot in broker._held.values()
    ]
    if not held or rng.random() < 0.4:
        return
    broker, slot = rng.choice(held)
    broker.release(slot, Outcome.SERVED, 0.01, 0.0)
    single = alone.brokers["entry-1"]
    kept: t.Any = rng.choice(list(single._held.values()))
    single.release(kept, Outcome.SERVED, 0.01, 0.0)


def test_process_that_may_not_serve_refuses_what_waits(entries: Entries) -> None:
    broker = entries.pick_other()
    total = count_slots(entries)
    entries.acquire(broker, total + 5)
    broker.refuse_all(1.0)
    refusals = entries.done[total:]
    assert [item.reason for item in refusals if isinstance(item, Refusal)] == (
        [Reason.NOT_FRESH] * 5
    )
    owner = entries.brokers[entries.owner]
    assert owner._schedulers[SERVICE].queue.count_all() == 0
