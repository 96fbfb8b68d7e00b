"""An entry's half of slot allocation: whom to ask, and what if it is silent.

:class:`SlotBroker` also hosts the schedulers of the services that this entry
owns. It does no input or output: frames go out through :class:`SlotLink`.
"""

import random
import typing as t

import attrs

from .. import defaults
from ..shared.membership import pick_owner
from ..shared.state import FleetState
from .catalogue import find_quotas
from .catalogue import list_targets
from .link import AskMessage
from .link import SlotLink
from .messages import Outcome
from .messages import Reason
from .messages import Refusal
from .messages import Slot
from .queue import Ask
from .scheduling import Decision
from .scheduling import Granted
from .scheduling import Refused
from .scheduling import SlotScheduler
from .targets import TargetSet

OnDone = t.Callable[[Slot | Refusal], None]


@attrs.define(slots=True)
class _Pending:
    message: AskMessage
    deadline: float
    owner: str
    asked_at: float
    on_done: OnDone


@attrs.define(slots=True)
class _Probe:
    sent_at: float


@attrs.define
class SlotBroker:
    """Gets slots for this entry's requests and grants those it owns.

    :param me: name of this entry.
    :param link: carries messages to other entries.
    :param rng: seeded generator.
    :param reserve_share: share of slots kept for urgent asks.
    """

    me: str
    link: SlotLink
    rng: random.Random
    reserve_share: float = defaults.URGENT_RESERVE_SHARE
    on_busy: t.Callable[[], None] = lambda: None
    _entries: tuple[str, ...] = ()
    _suspects: set[str] = attrs.field(factory=set)
    _owners: dict[str, str] = attrs.field(factory=dict)
    _schedulers: dict[str, SlotScheduler] = attrs.field(factory=dict)
    # service of every ask and slot that a scheduler here knows of
    _known: dict[tuple[str, int], str] = attrs.field(factory=dict)
    _pending: dict[int, _Pending] = attrs.field(factory=dict)
    _held: dict[int, Slot] = attrs.field(factory=dict)
    _heard_at: dict[str, float] = attrs.field(factory=dict)
    _probes: dict[str, _Probe] = attrs.field(factory=dict)
    _state: FleetState = attrs.field(factory=FleetState)
    _next_ask: int = 1

    # the entry's own requests

    def acquire(
        self,
        service: str,
        rank: int,
        team: str | None,
        avoid: tuple[str, ...],
        deadline: float,
        now: float,
        on_done: OnDone,
    ) -> int:
        """Ask for a slot.

        :param service: the service.
        :param rank: priority, 0 first.
        :param team: whose quota it uses, or ``None``.
        :param avoid: VMs and zones that earlier attempts failed in.
        :param deadline: monotonic seconds.
        :param now: monotonic seconds.
        :param on_done: called once, with the slot or the refusal.
        :returns: id of the ask, to withdraw it.
        """
        ask = self._next_ask
        self._next_ask += 1
        message = AskMessage(ask, service, rank, deadline - now, team, avoid)
        owner = self.find_owner(service)
        self._pending[ask] = _Pending(message, deadline, owner, now, on_done)
        self._ask(owner, message, now)
        self.on_busy()
        return ask

    def _ask(self, owner: str, message: AskMessage, now: float) -> None:
        if owner == self.me:
            self.handle_ask(self.me, message, now)
        else:
            self.link.send_ask(owner, message)

    def withdraw(self, ask: int, now: float) -> None:
        """Withdraw an ask that nobody waits for any more.

        :param ask: its id.
        :param now: monotonic seconds.
        """
        pending = self._pending.pop(ask, None)
        if pending is not None:
            self._send_release(pending.owner, ask, Outcome.UNUSED, 0.0, now)

    def release(self, slot: Slot, outcome: Outcome, took_s: float, now: float) -> None:
        """Give a slot back.

        :param slot: the slot.
        :param outcome: how it was used.
        :param took_s: how long, in seconds.
        :param now: monotonic seconds.
        """
        held = self._held.pop(slot.ask, slot)
        self._send_release(held.owner, slot.ask, outcome, took_s, now)

    def _send_release(
        self, owner: str, ask: int, outcome: Outcome, took_s: float, now: float
    ) -> None:
        if owner == self.me:
            self.handle_release(self.me, ask, outcome, took_s, now)
        else:
            self.link.send_release(owner, ask, outcome, took_s)

    def count_in_flight(self, vm: str) -> int:
        """Count this entry's slots in use on a VM.

        :param vm: the VM.
        """
        return sum(slot.vm == vm for slot in self._held.values())

    # who owns what

    def find_owner(self, service: str) -> str:
        """Find the entry that grants the slots of a service.

        :param service: the service.
        """
        owner = self._owners.get(service)
        if owner is None:
            candidates = [name for name in self._entries if self._is_usable(name)]
            owner = pick_owner(service, candidates) or self.me
            self._owners[service] = owner
        return owner

    def _is_usable(self, name: str) -> bool:
        return name == self.me or name not in self._suspects

    def set_entries(self, names: t.Iterable[str], now: float) -> None:
        """Set the live entries; ownership follows.

        :param names: entries that have not lapsed and are not stopping.
        :param now: monotonic seconds.
        """
        entries = tuple(sorted({*names}))
        if entries == self._entries:
            return
        gone = set(self._entries) - set(entries)
        self._entries = entries
        for name in gone:
            self._drop_member(name, now)
        self._move_ownership(now)

    def _drop_member(self, name: str, now: float) -> None:
        for key in [key for key in self._known if key[0] == name]:
            del self._known[key]
        for scheduler in self._schedulers.values():
            self._tell(scheduler.drop_member(name, now))

    def hear(self, name: str, now: float) -> None:
        """Note that a frame of another entry has arrived.

        :param name: the sender.
        :param now: monotonic seconds.
        """
        self._heard_at[name] = now
        self._probes.pop(name, None)
        if name in self._suspects:
            self._suspects.discard(name)
            self._move_ownership(now)

    def suspect(self, name: str, now: float) -> None:
        """Stop counting on an entry until it is heard again.

        :param name: the silent entry.
        :param now: monotonic seconds.
        """
        self._suspects.add(name)
        self._probes.pop(name, None)
        self._move_ownership(now)

    def _move_ownership(self, now: float) -> None:
        self._owners.clear()
        for ask, slot in list(self._held.items()):
            owner = self.find_owner(slot.service)
            if owner != slot.owner:
                self._move_held(ask, slot, owner, now)
        for pending in list(self._pending.values()):
            owner = self.find_owner(pending.message.service)
            if owner != pending.owner:
                self._move_pending(pending, owner, now)

    def _move_held(self, ask: int, slot: Slot, owner: str, now: float) -> None:
        self._send_release(slot.owner, ask, Outcome.UNUSED, 0.0, now)
        moved = attrs.evolve(slot, owner=owner)
        self._held[ask] = moved
        if owner == self.me:
            self.handle_held(self.me, moved, now)
        else:
            self.link.send_held(owner, moved)

    def _move_pending(self, pending: _Pending, owner: str, now: float) -> None:
        ask = pending.message.ask
        self._send_release(pending.owner, ask, Outcome.UNUSED, 0.0, now)
        remaining = pending.deadline - now
        pending.message = attrs.evolve(pending.message, remaining_s=remaining)
        pending.owner = owner
        pending.asked_at = now
        self._ask(owner, pending.message, now)

    def is_busy(self) -> bool:
        """Tell whether anything waits for time to pass."""
        return bool(self._pending) or any(
            scheduler.queue.count_all() for scheduler in self._schedulers.values()
        )

    def tick(self, now: float) -> None:
        """Probe silent owners, suspect mute ones, refuse late asks.

        :param now: monotonic seconds.
        """
        waiting = {item.owner: item.asked_at for item in self._pending.values()}
        waiting.pop(self.me, None)
        for owner, asked_at in waiting.items():
            self._watch(owner, asked_at, now)
        for scheduler in self._schedulers.values():
            self._tell(scheduler.expire(now))

    def _watch(self, owner: str, asked_at: float, now: float) -> None:
        heard_at = max(self._heard_at.get(owner, float("-inf")), asked_at)
        if now - heard_at < defaults.PROBE_AFTER_S:
            return
        probe = self._probes.get(owner)
        if probe is None:
            self._probes[owner] = _Probe(now)
            self.link.send_probe(owner)
        elif now - probe.sent_at >= defaults.PROBE_TIMEOUT_S:
            self.suspect(owner, now)

    # messages from other entries

    def handle_decision(self, member: str, ask: int, decision: Slot | Refusal) -> None:
        """Take an owner's decision; a slot nobody waits for goes back.

        :param member: the owner.
        :param ask: id of the ask.
        :param decision: the slot or the refusal.
        """
        pending = self._pending.get(ask)
        if pending is None or pending.owner != member:
            if isinstance(decision, Slot) and ask not in self._held:
                self.link.send_release(member, ask, Outcome.UNUSED, 0.0)
            return
        del self._pending[ask]
        if isinstance(decision, Slot):
            decision = attrs.evolve(
                decision,
                service=pending.message.service,
                team=pending.message.team,
            )
            self._held[ask] = decision
        pending.on_done(decision)

    def handle_ask(self, member: str, message: AskMessage, now: float) -> None:
        """Take in another entry's ask for a service that it thinks we own.

        :param member: the entry.
        :param message: its ask.
        :param now: monotonic seconds.
        """
        scheduler = self._find_scheduler(message.service)
        ask = Ask(
            member=member,
            ask=message.ask,
            rank=message.rank,
            deadline=now + message.remaining_s,
            team=message.team,
            avoid=message.avoid,
        )
        self._known[member, message.ask] = message.service
        self._tell(scheduler.submit(ask, now))
        self.on_busy()

    def handle_held(self, member: str, slot: Slot, now: float) -> None:
        """Count a slot that an entry holds from an earlier owner.

        :param member: the entry.
        :param slot: its slot.
        :param now: monotonic seconds.
        """
        scheduler = self._find_scheduler(slot.service)
        self._known[member, slot.ask] = slot.service
        scheduler.adopt(member, slot.ask, slot.vm, slot.team)

    def handle_release(
        self, member: str, ask: int, outcome: Outcome, took_s: float, now: float
    ) -> None:
        """Take a slot back.

        :param member: the entry that held it.
        :param ask: id of its ask.
        :param outcome: how it was used.
        :param took_s: how long, in seconds.
        :param now: monotonic seconds.
        """
        service = self._known.pop((member, ask), None)
        if service is not None:
            scheduler = self._schedulers[service]
            self._tell(scheduler.release(member, ask, outcome, took_s, now))

    def _tell(self, decisions: t.Iterable[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Refused):
                self._known.pop((decision.ask.member, decision.ask.ask), None)
            if decision.ask.member != self.me:
                self.link.send_decision(decision)
            else:
                self._tell_me(decision)

    def _tell_me(self, decision: Decision) -> None:
        ask = decision.ask.ask
        if isinstance(decision, Granted):
            slot = Slot(ask, "", decision.vm, self.me)
            self.handle_decision(self.me, ask, slot)
        else:
            refusal = Refusal(decision.reason, decision.retry_after_s)
            self.handle_decision(self.me, ask, refusal)

    # what the schedulers know of the fleet

    def _find_scheduler(self, service: str) -> SlotScheduler:
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            targets = TargetSet(random.Random(self.rng.getrandbits(64)))
            scheduler = SlotScheduler(targets, reserve_share=self.reserve_share)
            self._schedulers[service] = scheduler
            self._refresh(service, scheduler)
        return scheduler

    def refresh(self, state: FleetState, now: float) -> None:
        """Take over a newer state of the fleet.

        :param state: the agreed state.
        :param now: monotonic seconds.
        """
        self._state = state
        for service, scheduler in self._schedulers.items():
            self._refresh(service, scheduler)
            self._tell(scheduler.grant_free(now))

    def _refresh(self, service: str, scheduler: SlotScheduler) -> None:
        scheduler.targets.replace(list_targets(self._state, service))
        scheduler.quotas = find_quotas(self._state, service)

    def refuse_all(self, now: float) -> None:
        """End every waiting ask at once, since this process may not serve.

        :param now: monotonic seconds.
        """
        for ask, pending in list(self._pending.items()):
            self.withdraw(ask, now)
            pending.on_done(Refusal(Reason.NOT_FRESH, defaults.FRESHNESS_LIMIT_S))
