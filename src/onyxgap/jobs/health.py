"""Whether the store answers; refuses at once what would only wait for it."""

import attrs
import structlog

from ..clocks import Clocks
from ..exceptions import PlatformUnavailableError
from .store import WRITE_TIMEOUT_S
from .store import Applied
from .store import Batch
from .store import Conflict
from .store import OutcomeUnknown
from .store import Page
from .store import Store
from .store import WriteOutcome
from .timeouts import WriteTimeout

OUTAGE_S = 0.6
"""Failing for this long counts as an outage: longer than a slow store's 300 ms."""
SUSPECT_S = 0.1
"""Failing for this long, other ways are tried; in calm a call takes some 5 ms."""
LATENCY_WEIGHT = 0.5
"""Weight of the newest call: a store that turns slow is known after two looks."""

_LOG = structlog.get_logger()


@attrs.define
class StoreHealth:
    """When the store answered last, and since when it does not.

    :param answered_at: monotonic seconds of the last answer.
    :param failing_since: monotonic seconds of the first failure after it.
    :param latency_s: smoothed time of calls that need not wait for anything.
    """

    answered_at: float = 0.0
    failing_since: float | None = None
    latency_s: float = 0.0

    def note_latency(self, took_s: float) -> None:
        """Take in how long a call took that need not wait for anything."""
        self.latency_s += LATENCY_WEIGHT * (took_s - self.latency_s)

    def note_answer(self, now: float) -> None:
        """Take in an answer."""
        if self.failing_since is not None and now - self.failing_since > OUTAGE_S:
            _LOG.info("store regained", away_s=now - self.failing_since)
        self.answered_at = now
        self.failing_since = None

    def note_failure(self, now: float, reason: str) -> None:
        """Take in that a call got no answer or was refused.

        :param now: monotonic seconds.
        :param reason: for the log.
        """
        if self.failing_since is None:
            self.failing_since = now
            _LOG.info("store call failed", reason=reason)

    def is_suspect(self, now: float) -> bool:
        """Tell whether calls fail, and another node may hear the store better."""
        return self.failing_since is not None and now - self.failing_since >= SUSPECT_S

    def is_down(self, now: float) -> bool:
        """Tell whether calls fail without an answer between them."""
        return self.failing_since is not None and now - self.failing_since >= OUTAGE_S


@attrs.define
class WatchedStore:
    """A store whose answers and failures are noted.

    :param store: the store.
    :param health: takes the notes.
    :param clocks: the process's clocks.
    :param timeout: adapts the timeout of writes.
    """

    store: Store
    health: StoreHealth
    clocks: Clocks
    timeout: WriteTimeout = attrs.field(factory=WriteTimeout)

    async def write(
        self, batch: Batch, timeout_s: float = WRITE_TIMEOUT_S
    ) -> WriteOutcome:
        """Try a batch once; never raises for a failed call."""
        started = self.clocks.read_monotonic()
        timeout_s = min(timeout_s, self.timeout.get())
        outcome = await self.store.write(batch, timeout_s)
        now = self.clocks.read_monotonic()
        if isinstance(outcome, OutcomeUnknown):
            self.timeout.note_silence()
        if isinstance(outcome, Applied | Conflict):
            self.timeout.note_answer(now - started)
            self.health.note_answer(now)
        else:
            self.health.note_failure(now, f"write: {outcome.reason}")
        return outcome

    async def read(self, table: str, part: str, key: str = "") -> Page:
        """Read a partition, or one row of it.

        :raises PlatformUnavailableError: when no answer came.
        """
        try:
            page = await self.store.read(table, part, key)
        except PlatformUnavailableError as error:
            self.health.note_failure(self.clocks.read_monotonic(), f"read: {error}")
            raise
        self.health.note_answer(self.clocks.read_monotonic())
        return page

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """List the partitions of a table.

        :raises PlatformUnavailableError: when no answer came.
        """
        return await self.store.list_parts(table)

    async def follow(self, table: str, after: int, wait_s: float) -> Page:
        """Wait for changes of a table after a version.

        :raises HistoryTruncatedError: when the store no longer has the changes.
        :raises PlatformUnavailableError: when no answer came.
        """
        started = self.clocks.read_monotonic()
        try:
            page = await self.store.follow(table, after, wait_s)
        except PlatformUnavailableError as error:
            self.health.note_failure(self.clocks.read_monotonic(), f"follow: {error}")
            raise
        now = self.clocks.read_monotonic()
        if not wait_s:
            self.health.note_latency(now - started)
        self.health.note_answer(now)
        return page
