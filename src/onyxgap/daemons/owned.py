"""Base class of shard owners and of the holder of the fleet controller role."""

import typing as t

import anyio
import anyio.abc
import attrs

from ..exceptions import OwnershipLostError
from .fence import FencedWriter

RENEWAL_CHECK_S = 0.2
"""Interval of checking whether the owner row has to be renewed apart."""


@attrs.define(eq=False)
class OwnedShard:
    """A shard that this node owns, from its claim to its loss or release.

    :param writer: writes the rows of the shard, fenced by its fence row.
    :param releasing: set when the node wants to release the shard.
    :param released: set once this owner has ended, by release, loss or failure.
    """

    writer: FencedWriter
    releasing: bool = attrs.field(default=False, init=False)
    released: anyio.Event = attrs.field(factory=anyio.Event, init=False)
    _wake: anyio.Event = attrs.field(factory=anyio.Event, init=False)
    _group: anyio.abc.TaskGroup | None = attrs.field(default=None, init=False)

    @property
    def shard(self) -> str:
        """Name of the shard."""
        return self.writer.shard

    @property
    def epoch(self) -> int:
        """Fencing token of this owner."""
        return self.writer.owner.epoch

    def wake(self) -> None:
        """Wake the loop of the owner before its next interval ends."""
        self._wake.set()

    async def _wait_for_wake(self, longest_s: float) -> None:
        with anyio.move_on_after(longest_s):
            await self._wake.wait()
        self._wake = anyio.Event()

    async def _run_until_released(
        self,
        load: t.Callable[[], t.Awaitable[None]],
        work: t.Callable[[anyio.abc.TaskGroup], t.Awaitable[None]],
    ) -> None:
        """Load the shard, then run its work until that returns.

        :param load: reads the rows of the shard.
        :param work: starts background tasks in the group that it is given, and returns
            once the shard is released; the tasks are then cancelled.
        :raises OwnershipLostError: when another node has claimed it.
        """
        try:
            await load()
            async with anyio.create_task_group() as group:
                self._group = group
                group.start_soon(self._renew_if_overdue_forever)
                await work(group)
                group.cancel_scope.cancel()
        except* OwnershipLostError as errors:
            raise OwnershipLostError(str(errors.exceptions[0])) from None
        finally:
            self._group = None
            self.released.set()

    async def _renew_if_overdue_forever(self) -> None:
        while True:
            await anyio.sleep(RENEWAL_CHECK_S)
            await self.writer.renew_if_overdue()
