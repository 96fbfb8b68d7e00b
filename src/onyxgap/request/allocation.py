"""Slot allocation in an entry: requests slots from owners and detects failed owners.

:class:`SlotBroker` also runs the schedulers of the services that this entry owns. It
does no input or output: frames are sent through a :class:`SlotLink`.
"""

import random
import typing as t

import attrs

from .. import defaults
from ..shared.membership import pick_owner
from ..shared.state import FleetState
from .catalogue import find_quotas
from .catalogue import list_targets
from .link import SlotLink
from .link import SlotRequestMessage
from .messages import Outcome
from .messages import Reason
from .messages import Refusal
from .messages import Slot
from .queue import SlotRequest
from .scheduling import Decision
from .scheduling import Granted
from .scheduling import Refused
from .scheduling import SlotScheduler
from .targets import TargetSet

OnDone = t.Callable[[Slot | Refusal], None]


@attrs.define(slots=True)
class _PendingRequest:
    message: SlotRequestMessage
    deadline: float
    owner: str
    requested_at: float
    on_done: OnDone


@attrs.define(slots=True)
class _Probe:
    sent_at: float


@attrs.define
class SlotBroker:
    """Requests slots for this entry and grants the slots of the services it owns.

    :param own_name: name of this entry.
    :param link: carries messages to other entries.
    :param rng: seeded generator.
    :param reserve_share: share of the slots that only urgent requests may use.
    :param on_request_added: called when a slot request is added; from then on
        :meth:`tick` has to be called periodically.
    """

    own_name: str
    link: SlotLink
    rng: random.Random
    reserve_share: float = defaults.URGENT_RESERVE_SHARE
    on_request_added: t.Callable[[], None] = lambda: None
    _entries: tuple[str, ...] = ()
    _suspects: set[str] = attrs.field(factory=set)
    _owners: dict[str, str] = attrs.field(factory=dict)
    _schedulers: dict[str, SlotScheduler] = attrs.field(factory=dict)
    # service of each slot request and slot in a scheduler here, by member and ask ID
    _services: dict[tuple[str, int], str] = attrs.field(factory=dict)
    _pending: dict[int, _PendingRequest] = attrs.field(factory=dict)
    _held: dict[int, Slot] = attrs.field(factory=dict)
    _last_contact_at: dict[str, float] = attrs.field(factory=dict)
    _probes: dict[str, _Probe] = attrs.field(factory=dict)
    _state: FleetState = attrs.field(factory=FleetState)
    _next_ask_id: int = 1

    # slot requests of this entry

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
        """Request a slot from the owner of a service.

        :param service: the service.
        :param rank: priority; 0 is the most urgent.
        :param team: team whose quota is charged, or ``None``.
        :param avoid: VMs and zones in which earlier attempts failed.
        :param deadline: monotonic seconds.
        :param now: monotonic seconds.
        :param on_done: called once, with the slot or the refusal, unless the request
            is cancelled first.
        :returns: ID of the slot request, with which it can be cancelled.
        """
        ask_id = self._next_ask_id
        self._next_ask_id += 1
        message = SlotRequestMessage(ask_id, service, rank, deadline - now, team, avoid)
        owner = self.find_owner(service)
        self._pending[ask_id] = _PendingRequest(message, deadline, owner, now, on_done)
        self._send_request(owner, message, now)
        self.on_request_added()
        return ask_id

    def _send_request(
        self, owner: str, message: SlotRequestMessage, now: float
    ) -> None:
        if owner == self.own_name:
            self.handle_request(self.own_name, message, now)
        else:
            self.link.send_request(owner, message)

    def cancel(self, ask_id: int, now: float) -> None:
        """Cancel a slot request; without effect if it is not pending.

        :param ask_id: ID of the slot request.
        :param now: monotonic seconds.
        """
        pending = self._pending.pop(ask_id, None)
        if pending is not None:
            self._send_release(pending.owner, ask_id, Outcome.UNUSED, 0.0, now)

    def release(self, slot: Slot, outcome: Outcome, took_s: float, now: float) -> None:
        """Release a slot.

        :param slot: the slot.
        :param outcome: how it was used.
        :param took_s: run time in seconds.
        :param now: monotonic seconds.
        """
        held = self._held.pop(slot.ask, slot)
        self._send_release(held.owner, slot.ask, outcome, took_s, now)

    def _send_release(
        self, owner: str, ask_id: int, outcome: Outcome, took_s: float, now: float
    ) -> None:
        if owner == self.own_name:
            self.handle_release(self.own_name, ask_id, outcome, took_s, now)
        else:
            self.link.send_release(owner, ask_id, outcome, took_s)

    def count_in_flight(self, vm: str) -> int:
        """Count this entry's slots in use on a VM.

        :param vm: the VM.
        """
        return sum(slot.vm == vm for slot in self._held.values())

    # ownership of services

    def find_owner(self, service: str) -> str:
        """Find the entry that grants the slots of a service.

        :param service: the service.
        """
        owner = self._owners.get(service)
        if owner is None:
            candidates = [name for name in self._entries if self._is_usable(name)]
            owner = pick_owner(service, candidates) or self.own_name
            self._owners[service] = owner
        return owner

    def _is_usable(self, name: str) -> bool:
        return name == self.own_name or name not in self._suspects

    def set_entries(self, names: t.Iterable[str], now: float) -> None:
        """Set the live entries and reassign the ownership of services.

        :param names: entries that have not timed out and are not stopping.
        :param now: monotonic seconds.
        """
        entries = tuple(sorted({*names}))
        if entries == self._entries:
            return
        gone = set(self._entries) - set(entries)
        self._entries = entries
        for name in gone:
            self._remove_member(name, now)
        self._reassign_owners(now)

    def _remove_member(self, name: str, now: float) -> None:
        for key in [key for key in self._services if key[0] == name]:
            del self._services[key]
        for scheduler in self._schedulers.values():
            self._send_decisions(scheduler.remove_member(name, now))

    def record_contact(self, name: str, now: float) -> None:
        """Record that a frame of another entry has arrived.

        A suspected entry becomes usable as an owner again.

        :param name: the sender.
        :param now: monotonic seconds.
        """
        self._last_contact_at[name] = now
        self._probes.pop(name, None)
        if name in self._suspects:
            self._suspects.discard(name)
            self._reassign_owners(now)

    def suspect(self, name: str, now: float) -> None:
        """Assign no services to an entry until a frame of it arrives.

        :param name: the entry that does not answer.
        :param now: monotonic seconds.
        """
        self._suspects.add(name)
        self._probes.pop(name, None)
        self._reassign_owners(now)

    def _reassign_owners(self, now: float) -> None:
        self._owners.clear()
        for ask_id, slot in list(self._held.items()):
            owner = self.find_owner(slot.service)
            if owner != slot.owner:
                self._transfer_slot(ask_id, slot, owner, now)
        for pending in list(self._pending.values()):
            owner = self.find_owner(pending.message.service)
            if owner != pending.owner:
                self._resend_request(pending, owner, now)

    def _transfer_slot(self, ask_id: int, slot: Slot, owner: str, now: float) -> None:
        self._send_release(slot.owner, ask_id, Outcome.UNUSED, 0.0, now)
        moved = attrs.evolve(slot, owner=owner)
        self._held[ask_id] = moved
        if owner == self.own_name:
            self.handle_held(self.own_name, moved, now)
        else:
            self.link.send_held(owner, moved)

    def _resend_request(self, pending: _PendingRequest, owner: str, now: float) -> None:
        ask_id = pending.message.ask
        self._send_release(pending.owner, ask_id, Outcome.UNUSED, 0.0, now)
        remaining = pending.deadline - now
        pending.message = attrs.evolve(pending.message, remaining_s=remaining)
        pending.owner = owner
        pending.requested_at = now
        self._send_request(owner, pending.message, now)

    def has_waiting_requests(self) -> bool:
        """Tell whether slot requests are pending or queued here.

        While they are, :meth:`tick` has to be called periodically.
        """
        return bool(self._pending) or any(
            scheduler.queue.count_all() for scheduler in self._schedulers.values()
        )

    def tick(self, now: float) -> None:
        """Probe owners that do not answer and refuse requests past their deadline.

        An owner that does not answer the probe in time is suspected.

        :param now: monotonic seconds.
        """
        waiting = {item.owner: item.requested_at for item in self._pending.values()}
        waiting.pop(self.own_name, None)
        for owner, requested_at in waiting.items():
            self._check_owner(owner, requested_at, now)
        for scheduler in self._schedulers.values():
            self._send_decisions(scheduler.expire(now))

    def _check_owner(self, owner: str, requested_at: float, now: float) -> None:
        contact_at = max(self._last_contact_at.get(owner, float("-inf")), requested_at)
        if now - contact_at < defaults.PROBE_AFTER_S:
            return
        probe = self._probes.get(owner)
        if probe is None:
            self._probes[owner] = _Probe(now)
            self.link.send_probe(owner)
        elif now - probe.sent_at >= defaults.PROBE_TIMEOUT_S:
            self.suspect(owner, now)

    # messages from other entries

    def handle_decision(
        self, member: str, ask_id: int, decision: Slot | Refusal
    ) -> None:
        """Complete a pending request; release a slot that no pending request needs.

        :param member: the owner that decided.
        :param ask_id: ID of the slot request.
        :param decision: the slot or the refusal.
        """
        pending = self._pending.get(ask_id)
        if pending is None or pending.owner != member:
            if isinstance(decision, Slot) and ask_id not in self._held:
                self.link.send_release(member, ask_id, Outcome.UNUSED, 0.0)
            return
        del self._pending[ask_id]
        if isinstance(decision, Slot):
            decision = attrs.evolve(
                decision,
                service=pending.message.service,
                team=pending.message.team,
            )
            self._held[ask_id] = decision
        pending.on_done(decision)

    def handle_request(
        self, member: str, message: SlotRequestMessage, now: float
    ) -> None:
        """Schedule a slot request of an entry that takes this one for the owner.

        :param member: the entry.
        :param message: its slot request.
        :param now: monotonic seconds.
        """
        scheduler = self._find_scheduler(message.service)
        request = SlotRequest(
            member=member,
            ask=message.ask,
            rank=message.rank,
            deadline=now + message.remaining_s,
            team=message.team,
            avoid=message.avoid,
        )
        self._services[member, message.ask] = message.service
        self._send_decisions(scheduler.submit(request, now))
        self.on_request_added()

    def handle_held(self, member: str, slot: Slot, now: float) -> None:
        """Count a slot that a previous owner granted to an entry as in use.

        :param member: the entry.
        :param slot: its slot.
        :param now: monotonic seconds.
        """
        scheduler = self._find_scheduler(slot.service)
        self._services[member, slot.ask] = slot.service
        scheduler.adopt(member, slot.ask, slot.vm, slot.team)

    def handle_release(
        self, member: str, ask_id: int, outcome: Outcome, took_s: float, now: float
    ) -> None:
        """Free a slot or cancel a queued request of an entry.

        :param member: the entry that held the slot or sent the request.
        :param ask_id: ID of the slot request.
        :param outcome: how the slot was used.
        :param took_s: run time in seconds.
        :param now: monotonic seconds.
        """
        service = self._services.pop((member, ask_id), None)
        if service is not None:
            scheduler = self._schedulers[service]
            self._send_decisions(
                scheduler.release(member, ask_id, outcome, took_s, now)
            )

    def _send_decisions(self, decisions: t.Iterable[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Refused):
                self._services.pop(
                    (decision.request.member, decision.request.ask), None
                )
            if decision.request.member != self.own_name:
                self.link.send_decision(decision)
            else:
                self._handle_own_decision(decision)

    def _handle_own_decision(self, decision: Decision) -> None:
        ask_id = decision.request.ask
        if isinstance(decision, Granted):
            slot = Slot(ask_id, "", decision.vm, self.own_name)
            self.handle_decision(self.own_name, ask_id, slot)
        else:
            refusal = Refusal(decision.reason, decision.retry_after_s)
            self.handle_decision(self.own_name, ask_id, refusal)

    # fleet state of the schedulers

    def _find_scheduler(self, service: str) -> SlotScheduler:
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            targets = TargetSet(random.Random(self.rng.getrandbits(64)))
            scheduler = SlotScheduler(targets, reserve_share=self.reserve_share)
            self._schedulers[service] = scheduler
            self._update_scheduler(service, scheduler)
        return scheduler

    def refresh(self, state: FleetState, now: float) -> None:
        """Update targets and quotas from a newer fleet state; grant free slots.

        :param state: the replicated state.
        :param now: monotonic seconds.
        """
        self._state = state
        for service, scheduler in self._schedulers.items():
            self._update_scheduler(service, scheduler)
            self._send_decisions(scheduler.grant_free_slots(now))

    def _update_scheduler(self, service: str, scheduler: SlotScheduler) -> None:
        scheduler.targets.replace(list_targets(self._state, service))
        scheduler.quotas = find_quotas(self._state, service)

    def refuse_all(self, now: float) -> None:
        """Cancel and refuse all pending requests, as this process may not serve.

        :param now: monotonic seconds.
        """
        for ask_id, pending in list(self._pending.items()):
            self.cancel(ask_id, now)
            pending.on_done(Refusal(Reason.NOT_FRESH, defaults.FRESHNESS_LIMIT_S))
