"""Limits the start orders that an owner has in flight, in all and to one worker."""

import contextlib
import typing as t

import anyio
import attrs

MAX_IN_FLIGHT = 64
"""Most start orders in flight to all workers. If an owner with half a core sends more
at once, most arrive after their deadline, and sending them again leaves no time to
process reports."""
MAX_IN_FLIGHT_PER_WORKER = 8
"""Most start orders in flight to one worker, so that unresponsive workers do not delay
orders to the others: four of them take half of the slots."""


@attrs.define(eq=False)
class StartLimiter:
    """Slots for start orders in flight, in all and for each worker.

    The caller sets the deadline of an order once it has a slot.
    """

    _slots: anyio.Semaphore = attrs.field(
        factory=lambda: anyio.Semaphore(MAX_IN_FLIGHT)
    )
    _slots_by_worker: dict[str, anyio.Semaphore] = attrs.field(factory=dict)

    @contextlib.asynccontextmanager
    async def acquire(self, worker_id: str) -> t.AsyncIterator[None]:
        """Wait for a slot and hold it while the context is open.

        :param worker_id: the worker that the order is for.
        """
        worker_slots = self._slots_by_worker.setdefault(
            worker_id, anyio.Semaphore(MAX_IN_FLIGHT_PER_WORKER)
        )
        async with worker_slots, self._slots:
            yield

    def forget(self, worker_id: str) -> None:
        """Drop the slots of a worker that was removed."""
        self._slots_by_worker.pop(worker_id, None)
