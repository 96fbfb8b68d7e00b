"""Bounds the orders that an owner has on their way; answers bursts of starts."""

import contextlib
import typing as t

import anyio
import attrs

SENT_AT_ONCE = 64
"""Orders on their way in all: of more that an owner with half a core sends at once,
most arrive after the time that they are valid, and sending them again leaves no time
for reports."""
SENT_TO_ONE = 8
"""Orders on their way to one worker, so that some that are silent do not hold up the
others: four silent ones take half of the places."""


@attrs.define(eq=False)
class OrderLanes:
    """Places for orders on their way; an order gets its deadline once it has one."""

    _all: anyio.Semaphore = attrs.field(factory=lambda: anyio.Semaphore(SENT_AT_ONCE))
    _by_worker: dict[str, anyio.Semaphore] = attrs.field(factory=dict)

    @contextlib.asynccontextmanager
    async def enter(self, worker_id: str) -> t.AsyncIterator[None]:
        """Wait for a place and hold it.

        :param worker_id: the worker that the order is for.
        """
        lane = self._by_worker.setdefault(worker_id, anyio.Semaphore(SENT_TO_ONE))
        async with lane, self._all:
            yield

    def forget(self, worker_id: str) -> None:
        """Drop the places of a worker that is gone."""
        self._by_worker.pop(worker_id, None)
