"""Cordons of workers: why and since when, and the log lines that tell it."""

import enum
import math
import typing as t

import attrs
import structlog

from .messages import FleetRow

MS_PER_S = 1000
MAX_REPORTED_CORDONS = 8
"""Most cordons in a log line, the oldest first."""
REPORT_AFTER_S = 3.0
"""Age of a cordon from which it is reported; most workers are drained sooner."""
REPORT_INTERVAL_S = 2.0
"""Least time between two reports of the cordons in force."""

_LOG = structlog.get_logger()


class CordonReason(enum.Enum):
    """Why a worker is drained."""

    UPKEEP = "upkeep"
    MOVE = "move"


def parse_reason(cordon_id: str) -> CordonReason | None:
    """Return the reason that a cordon ID begins with, ``None`` if it is not known."""
    name, separator, _ = cordon_id.partition("#")
    reasons = {reason.value: reason for reason in CordonReason}
    return reasons.get(name) if separator else None


@attrs.frozen(slots=True)
class Moment:
    """A time on the clock of the process, and on that of the store.

    :param at: monotonic seconds.
    :param store_ms: milliseconds of the store's clock, ``None`` if it is not known.
    """

    at: float
    store_ms: int | None = None

    def get_age_s(self, since_ms: int | None) -> float | None:
        """Return the seconds since a time of the store's clock, if both are known."""
        if since_ms is None or self.store_ms is None:
            return None
        return max(0.0, (self.store_ms - since_ms) / MS_PER_S)


@attrs.frozen(slots=True)
class Cordon:
    """Mark that no task is started on a worker, so that its VM can be ordered about.

    :param cordon_id: reason, epoch of the fleet controller and number.
    :param reason: the reason, ``None`` if this version does not know it.
    :param wave: maintenance wave, 0 for a move or if it is not known.
    :param set_at: monotonic seconds of this process when it was set, ``None`` if that
        is not known.
    :param set_at_ms: the same time on the store's clock, ``None`` if it is not known.
    """

    cordon_id: str
    reason: CordonReason | None
    wave: int = 0
    set_at: float | None = None
    set_at_ms: int | None = None

    def get_age_s(self, now: float) -> float | None:
        """Return the seconds since it was set, ``None`` if that is not known.

        :param now: monotonic seconds.
        """
        return None if self.set_at is None else round(now - self.set_at, 3)


def read_cordons(row: FleetRow, moment: Moment) -> dict[str, Cordon]:
    """Return the cordons in a row of the fleet controller, by worker.

    :param row: the row, which lacks times and waves if an earlier version wrote it.
    :param moment: the present time.
    """
    cordons = {}
    for worker_id, cordon_id in row.cordons.items():
        set_at_ms = row.cordon_set_ms.get(worker_id)
        age_s = moment.get_age_s(set_at_ms)
        cordons[worker_id] = Cordon(
            cordon_id,
            parse_reason(cordon_id),
            row.cordon_waves.get(worker_id, 0),
            None if age_s is None else moment.at - age_s,
            set_at_ms,
        )
    return cordons


@attrs.frozen(slots=True)
class ReceivedCordons:
    """What a shard's owner knows from the latest row of the fleet controller.

    :param cordons: cordons by worker.
    :param ordered_workers: cordoned workers about whose VMs an order may be in flight.
    :param epoch: fencing token of the fleet controller, 0 if it is not known.
    :param received_at: monotonic seconds when the row was read or delivered.
    :param vm_list_age_s: age of the controller's VM list when it wrote the row,
        ``None`` if that is not known.
    """

    cordons: t.Mapping[str, Cordon]
    ordered_workers: frozenset[str]
    epoch: int
    received_at: float
    vm_list_age_s: float | None


def receive_cordons(row: FleetRow, moment: Moment) -> ReceivedCordons:
    """Return what a row of the fleet controller tells about cordons.

    :param row: the row.
    :param moment: time when it was read or delivered.
    """
    return ReceivedCordons(
        read_cordons(row, moment),
        row.ordered_workers,
        row.epoch,
        moment.at,
        Moment(moment.at, row.written_at_ms).get_age_s(row.listed_at_ms),
    )


@attrs.frozen(slots=True)
class CordonedWorker:
    """A cordoned worker, as the log line of its shard's owner shows it.

    :param worker: ID of the worker.
    :param id: ID of the cordon.
    :param since_s: age of the cordon, ``None`` if it is not known.
    :param ordered: whether an order about the VM may be in flight.
    :param drained: whether the owner reports the worker as drained.
    """

    worker: str
    id: str
    since_s: float | None
    ordered: bool
    drained: bool


@attrs.frozen(slots=True)
class CordonSummary:
    """Cordoned workers of a shard, and the age of what its owner knows of them.

    :param cordons: the oldest cordons, those of unknown age first.
    :param fleet_row_age_s: seconds since the row of the fleet controller was received.
    :param fleet_epoch: fencing token of the fleet controller.
    :param vm_list_age_s: age of its VM list when it wrote the row.
    """

    cordons: tuple[CordonedWorker, ...]
    fleet_row_age_s: float | None
    fleet_epoch: int | None
    vm_list_age_s: float | None


def summarize_cordons(
    cordon_ids: t.Mapping[str, str],
    drained: t.Collection[str],
    received: ReceivedCordons | None,
    now: float,
) -> CordonSummary:
    """Summarize the cordons of a shard for the log.

    :param cordon_ids: cordon ID by cordoned worker of the shard.
    :param drained: workers that the owner reports as drained.
    :param received: what the row of the fleet controller tells, if it was read.
    :param now: monotonic seconds.
    """
    known = received.cordons if received is not None else {}
    ordered = received.ordered_workers if received is not None else frozenset()
    workers = []
    for worker_id, cordon_id in cordon_ids.items():
        cordon = known.get(worker_id)
        since_s = cordon.get_age_s(now) if cordon is not None else None
        workers.append(
            CordonedWorker(
                worker_id,
                cordon_id,
                since_s,
                worker_id in ordered,
                worker_id in drained,
            )
        )
    workers.sort(key=lambda item: _get_age_key(item.since_s))
    shown = tuple(workers[:MAX_REPORTED_CORDONS])
    if received is None:
        return CordonSummary(shown, None, None, None)
    row_age_s = round(now - received.received_at, 3)
    return CordonSummary(shown, row_age_s, received.epoch, received.vm_list_age_s)


def _get_age_key(since_s: float | None) -> float:
    return -math.inf if since_s is None else -since_s


@attrs.frozen(slots=True)
class OrderProgress:
    """Progress of a pending order, as the fleet controller logs it.

    :param kind: what is ordered.
    :param answered: whether the platform replied that the order was carried out.
    :param sent_s: seconds since it was last sent, ``None`` before.
    """

    kind: str
    answered: bool
    sent_s: float | None


@attrs.frozen(slots=True)
class CordonInForce:
    """A cordon, as the fleet controller logs it.

    :param worker: ID of the worker.
    :param vm: name of its VM, or empty if no VM list shows it.
    :param pool: pool of the VM, or empty.
    :param id: ID of the cordon.
    :param reason: reason of the cordon, or empty if it is not known.
    :param wave: maintenance wave, or 0.
    :param since_s: age of the cordon, ``None`` if it is not known.
    :param order: pending order about the VM.
    :param drained: whether the shard's owner reported the worker as drained.
    """

    worker: str
    vm: str
    pool: str
    id: str
    reason: str
    wave: int
    since_s: float | None
    order: OrderProgress | None
    drained: bool


@attrs.define
class CordonReporter:
    """Logs the cordons that have been in force for some time."""

    _reported_at: float = -math.inf

    def report(
        self,
        list_cordons: t.Callable[[], t.Sequence[CordonInForce]],
        vm_list_age_s: float | None,
        now: float,
    ) -> None:
        """Log the cordons that are old, or of unknown age.

        :param list_cordons: returns the cordons in force.
        :param vm_list_age_s: age of the VM list, ``None`` before the first.
        :param now: monotonic seconds.
        """
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        old = [
            cordon
            for cordon in list_cordons()
            if cordon.since_s is None or cordon.since_s > REPORT_AFTER_S
        ]
        if not old:
            return
        self._reported_at = now
        old.sort(key=lambda cordon: _get_age_key(cordon.since_s))
        _LOG.info(
            "cordons in force",
            count=len(old),
            cordons=[attrs.asdict(item) for item in old[:MAX_REPORTED_CORDONS]],
            vm_list_age_s=vm_list_age_s,
        )
