"""Workers that leave a shard as ordered, as against those that are lost.

The fleet controller moves or maintains a VM once the owner has reported its worker as
drained. Such a worker ends without a word, like one that crashes.
"""

import typing as t

import attrs
import structlog

from .placing import WorkerRecord

MAX_NAMED_WORKERS = 30
"""Most workers named in a line."""

_LOG = structlog.get_logger()


@attrs.define
class Departures:
    """Workers of one shard that were reported as drained, and have left since.

    :param service: name of the shard.
    :param drained: cordon IDs under which workers were reported as drained, by worker.
    :param left: workers that have left since and are not removed yet.
    :param unlogged: those that no line has named yet.
    """

    service: str
    drained: dict[str, str] = attrs.field(factory=dict)
    left: set[str] = attrs.field(factory=set)
    unlogged: list[str] = attrs.field(factory=list)

    def note_drained(self, drained: t.Mapping[str, str]) -> None:
        """Record a stored report.

        :param drained: cordon IDs of the workers that it tells to be drained.
        """
        self.drained.update(drained)

    def is_ordered(self, record: WorkerRecord, cordon_id: str | None) -> bool:
        """Return whether an order may be why a worker has gone.

        :param record: the worker.
        :param cordon_id: its cordon, ``None`` if it is not cordoned.
        """
        worker_id = record.entry.worker_id
        if worker_id in self.left:
            return True
        reported = self.drained.get(worker_id)
        return reported is not None and reported == cordon_id and not record.present

    def note_left(self, worker_id: str) -> None:
        """Record that a worker has left as ordered."""
        if worker_id not in self.left:
            self.left.add(worker_id)
            self.unlogged.append(worker_id)

    def note_answer(self, worker_id: str) -> None:
        """Record that a worker has answered, so that it has not left."""
        if worker_id in self.left:
            self.left.discard(worker_id)
            self.unlogged = [item for item in self.unlogged if item != worker_id]

    def forget(self, worker_id: str) -> None:
        """Forget a worker that was removed from the shard."""
        self.left.discard(worker_id)
        self.drained.pop(worker_id, None)

    def log(self) -> None:
        """Log the workers that have left since the last call, in one line."""
        if not self.unlogged:
            return
        _LOG.info(
            "workers left as ordered",
            service=self.service,
            count=len(self.unlogged),
            workers=self.unlogged[:MAX_NAMED_WORKERS],
        )
        self.unlogged.clear()


def choose_log(record: WorkerRecord, ordered: bool) -> t.Callable[..., t.Any]:
    """Choose the level at which the end or the silence of a worker is logged.

    :param record: the worker.
    :param ordered: whether it left as ordered.
    :returns: the method of the log.
    """
    if ordered:
        return t.cast(t.Callable[..., t.Any], _LOG.debug)
    is_lost = not record.cordoned or record.present
    return t.cast(t.Callable[..., t.Any], _LOG.warning if is_lost else _LOG.info)
