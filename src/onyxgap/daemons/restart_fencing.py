"""Calls removed workers until their next incarnations answer.

A worker registers up to a heartbeat interval after it has started again. Before its
owner has called it, it carries out late orders for its former incarnation. Its address
is known, and a refused connection costs little.
"""

import typing as t

import anyio
import attrs
import structlog

from ..jobs.shard import Shard
from ..jobs.workers import HoldReport
from ..jobs.workers import ReplyKind
from ..jobs.workers import WorkerClient

FENCING_PAUSE_S = 0.05
"""Pause between two calls: how long a restarted worker may run before it is called."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class RestartFencing:
    """Makes restarted workers of a shard reject the orders from before.

    :param state: state of the shard.
    :param workers: client for calls to workers.
    :param read_monotonic: reads the monotonic clock, in seconds.
    :param on_restarted: called with the id of a worker that has answered as a new
        incarnation.
    """

    state: Shard
    workers: WorkerClient
    read_monotonic: t.Callable[[], float]
    on_restarted: t.Callable[[str], None]
    _called: set[str] = attrs.field(factory=set)

    def list_due(self) -> list[str]:
        """List the workers that are to be called and are not yet."""
        unfenced = self.state.list_unfenced(self.read_monotonic())
        return [worker_id for worker_id in unfenced if worker_id not in self._called]

    async def fence(self, worker_id: str) -> None:
        """Call a worker until it answers, or no order can reach it any more.

        :param worker_id: a worker of :meth:`list_due`.
        """
        if worker_id in self._called:
            return
        self._called.add(worker_id)
        try:
            while await self._call(worker_id):
                await anyio.sleep(FENCING_PAUSE_S)
        finally:
            self._called.discard(worker_id)
            if worker_id not in self.state.workers:
                with anyio.CancelScope(shield=True):
                    await self.workers.forget(worker_id)

    async def _call(self, worker_id: str) -> bool:
        """Call a worker once; return whether it is to be called again."""
        sent_at = self.read_monotonic()
        call = self.state.build_fencing_call(worker_id, sent_at)
        if call is None:
            return False
        answer = await self.workers.hold(call)
        if isinstance(answer, HoldReport):
            now = self.read_monotonic()
            if self.state.apply_fencing_report(call, answer, sent_at, now):
                self.on_restarted(worker_id)
            return False
        if answer.kind in (ReplyKind.OTHER_WORKER, ReplyKind.STALE_OWNER):
            _LOG.info(
                "removed worker not fenced",
                worker=worker_id,
                reason=answer.kind.value,
            )
            self.state.end_fencing(worker_id)
            return False
        return True
