"""Tests of slot brokers: failed owners, late grants, cancelled and refused requests."""

import random
import typing as t

import attrs
import pytest

from bench.capacity import build_state
from onyxgap import defaults
from onyxgap.request.allocation import SlotBroker
from onyxgap.request.link import SlotRequestMessage
from onyxgap.request.messages import Outcome
from onyxgap.request.messages import Reason
from onyxgap.request.messages import Refusal
from onyxgap.request.messages import Slot
from onyxgap.request.scheduling import Decision
from onyxgap.request.scheduling import Granted

NAMES = ("entry-1", "entry-2", "entry-3")
SERVICE = "service-0"
NO_DEADLINE = 1e6


@attrs.define
class InProcessLink:
    """Delivers messages immediately; drops those from or to entries that are down."""

    own_name: str
    brokers: dict[str, SlotBroker]
    down: set[str]
    probes: list[str] = attrs.field(factory=list)

    def _find(self, member: str) -> SlotBroker | None:
        if member in self.down or self.own_name in self.down:
            return None
        return self.brokers[member]

    def send_request(self, owner: str, message: SlotRequestMessage) -> None:
        if broker := self._find(owner):
            broker.handle_request(self.own_name, message, 0.0)

    def send_release(
        self, owner: str, ask_id: int, outcome: Outcome, took_s: float
    ) -> None:
        if broker := self._find(owner):
            broker.handle_release(self.own_name, ask_id, outcome, took_s, 0.0)

    def send_held(self, owner: str, slot: Slot) -> None:
        if broker := self._find(owner):
            broker.handle_held(self.own_name, slot, 0.0)

    def send_decision(self, decision: Decision) -> None:
        broker = self._find(decision.request.member)
        if broker is None:
            return
        ask_id = decision.request.ask
        result: Slot | Refusal
        if isinstance(decision, Granted):
            result = Slot(ask_id, "", decision.vm, self.own_name)
        else:
            result = Refusal(decision.reason, decision.retry_after_s)
        broker.handle_decision(self.own_name, ask_id, result)

    def send_probe(self, owner: str) -> None:
        self.probes.append(owner)


@attrs.define
class Entries:
    """Brokers of three entries with the same replicated state, and their results."""

    brokers: dict[str, SlotBroker] = attrs.field(factory=dict)
    down: set[str] = attrs.field(factory=set)
    results: list[Slot | Refusal] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        state = build_state(100)
        for name in NAMES:
            link = InProcessLink(name, self.brokers, self.down)
            broker = SlotBroker(name, link, random.Random(1), reserve_share=0.0)
            self.brokers[name] = broker
            broker.refresh(state, 0.0)
        for broker in self.brokers.values():
            broker.set_entries(NAMES, 0.0)

    @property
    def owner(self) -> str:
        return self.brokers["entry-1"].find_owner(SERVICE)

    def pick_non_owner(self) -> SlotBroker:
        return next(b for name, b in self.brokers.items() if name != self.owner)

    def acquire(self, broker: SlotBroker, count: int = 1) -> list[int]:
        return [
            broker.acquire(SERVICE, 0, None, (), NO_DEADLINE, 0.0, self.results.append)
            for _ in range(count)
        ]

    def count_in_use(self, name: str) -> int:
        scheduler = self.brokers[name]._schedulers[SERVICE]
        return len(list(scheduler.list_held()))


@pytest.fixture
def entries() -> Entries:
    """Three connected entries, all up."""
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
    granted = [item for item in entries.results if isinstance(item, Slot)]
    assert len(granted) == total
    assert entries.count_in_use(entries.owner) == total


def test_released_slot_is_granted_to_the_next_request(entries: Entries) -> None:
    broker = entries.pick_non_owner()
    total = count_slots(entries)
    entries.acquire(broker, total + 1)
    assert len(entries.results) == total
    slot = entries.results[0]
    assert isinstance(slot, Slot)
    broker.release(slot, Outcome.SERVED, 0.01, 0.0)
    assert len(entries.results) == total + 1


def test_cancelled_request_is_not_granted(entries: Entries) -> None:
    broker = entries.pick_non_owner()
    total = count_slots(entries)
    ask_ids = entries.acquire(broker, total + 1)
    broker.cancel(ask_ids[-1], 0.0)
    slot = entries.results[0]
    assert isinstance(slot, Slot)
    broker.release(slot, Outcome.SERVED, 0.01, 0.0)
    assert len(entries.results) == total
    assert entries.count_in_use(entries.owner) == total - 1


def test_owner_that_does_not_answer_is_probed_then_replaced(entries: Entries) -> None:
    broker = entries.pick_non_owner()
    failed_owner = entries.owner
    entries.acquire(broker, 3)
    entries.down.add(failed_owner)
    entries.acquire(broker, 2)
    assert len(entries.results) == 3
    broker.tick(defaults.PROBE_AFTER_S + 0.01)
    assert broker.find_owner(SERVICE) == failed_owner
    broker.tick(defaults.PROBE_AFTER_S + defaults.PROBE_TIMEOUT_S + 0.02)
    successor = broker.find_owner(SERVICE)
    assert successor != failed_owner
    assert len(entries.results) == 5
    # the new owner counts the slots that the previous one granted
    assert entries.count_in_use(successor) == 5


def test_recovered_owner_gets_its_slots_back(entries: Entries) -> None:
    broker = entries.pick_non_owner()
    failed_owner = entries.owner
    broker.suspect(failed_owner, 0.0)
    entries.acquire(broker, 2)
    successor = broker.find_owner(SERVICE)
    broker.record_contact(failed_owner, 1.0)
    assert broker.find_owner(SERVICE) == failed_owner
    assert entries.count_in_use(failed_owner) == 2
    assert entries.count_in_use(successor) == 0


def test_grant_without_a_pending_request_is_released(entries: Entries) -> None:
    broker = entries.pick_non_owner()
    (ask_id,) = entries.acquire(broker, 1)
    slot = entries.results[0]
    assert isinstance(slot, Slot)
    broker.release(slot, Outcome.SERVED, 0.01, 0.0)
    owner = entries.brokers[entries.owner]
    message = SlotRequestMessage(ask_id + 100, SERVICE, 0, NO_DEADLINE, None, ())
    owner.handle_request(broker.own_name, message, 0.0)
    assert entries.count_in_use(entries.owner) == 0


def test_slots_of_a_timed_out_entry_are_freed(entries: Entries) -> None:
    broker = entries.pick_non_owner()
    entries.acquire(broker, 4)
    owner = entries.brokers[entries.owner]
    owner.set_entries([name for name in NAMES if name != broker.own_name], 0.0)
    assert entries.count_in_use(entries.owner) == 0
    assert not owner._services


def test_tick_refuses_requests_past_their_deadline(entries: Entries) -> None:
    owner = entries.brokers[entries.owner]
    total = count_slots(entries)
    entries.acquire(owner, total)
    owner.acquire(SERVICE, 0, None, (), 5.0, 0.0, entries.results.append)
    owner.tick(5.1)
    refusal = entries.results[-1]
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.DEADLINE
    assert len(owner._services) == total


def test_same_grants_for_one_entry_as_for_three(entries: Entries) -> None:
    rng = random.Random(4)
    single_entry = Entries()
    single_entry.down |= set(NAMES[1:])
    single_broker = single_entry.brokers["entry-1"]
    single_broker.set_entries(["entry-1"], 0.0)
    for _ in range(400):
        broker = entries.brokers[rng.choice(NAMES)]
        entries.acquire(broker)
        single_entry.acquire(single_broker)
        _release_some(rng, entries, single_entry)
        assert len(entries.results) == len(single_entry.results)


def _release_some(rng: random.Random, entries: Entries, single_entry: Entries) -> None:
    held = [
        (broker, slot)
        for broker in entries.brokers.values()
        for slot in broker._held.values()
    ]
    if not held or rng.random() < 0.4:
        return
    broker, slot = rng.choice(held)
    broker.release(slot, Outcome.SERVED, 0.01, 0.0)
    single_broker = single_entry.brokers["entry-1"]
    other: t.Any = rng.choice(list(single_broker._held.values()))
    single_broker.release(other, Outcome.SERVED, 0.01, 0.0)


def test_process_that_may_not_serve_refuses_pending_requests(entries: Entries) -> None:
    broker = entries.pick_non_owner()
    total = count_slots(entries)
    entries.acquire(broker, total + 5)
    broker.refuse_all(1.0)
    refusals = entries.results[total:]
    assert [item.reason for item in refusals if isinstance(item, Refusal)] == (
        [Reason.NOT_FRESH] * 5
    )
    owner = entries.brokers[entries.owner]
    assert owner._schedulers[SERVICE].queue.count_all() == 0
