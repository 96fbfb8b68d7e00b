"""Health of the store, so that calls can fail fast while it does not answer."""

import typing as t

import attrs
import structlog

from ..clocks import Clocks
from ..exceptions import PlatformUnavailableError
from .call_timeouts import LATE_S
from .store import WRITE_TIMEOUT_S
from .store import Applied
from .store import Batch
from .store import Conflict
from .store import Invalid
from .store import OutcomeUnknown
from .store import Page
from .store import Store
from .store import WriteOutcome
from .store_clock import ClockReading
from .store_clock import StoreClock
from .timeouts import WriteTimeout

OUTAGE_S = 0.6
"""Failures for this long count as an outage. It is longer than the 300 ms that a call
to a slow store takes."""
SUSPECT_S = 0.1
"""Failures for this long make the store suspect, and a call may be forwarded to another
node. A normal call takes about 5 ms."""
MAX_LAG_S = 1.0
"""Most seconds by which the timeouts of calls grow with the lag of the event loop."""
MAX_IGNORED_S = 2.0
"""Time since the last answer of the store for which a failure that a late process
noticed counts as none. After it, the store counts as failing however late the process
is."""
LATENCY_WEIGHT = 0.5
"""Weight of the newest call; two calls are enough to notice that the store is slow."""

_LOG = structlog.get_logger()


@attrs.define
class StoreHealth:
    """Last answer of the store, time of the first failure after it, latency and clock.

    :param answered_at: monotonic seconds of the last answer.
    :param failing_since: monotonic seconds of the first failure after the last answer,
        or ``None``.
    :param latency_s: smoothed latency of calls that do not wait for changes.
    :param store_clock: estimate of the store's clock.
    :param read_lag: returns the lag of the process's event loop in seconds.
    """

    answered_at: float = 0.0
    failing_since: float | None = None
    latency_s: float = 0.0
    store_clock: StoreClock = attrs.field(factory=StoreClock)
    read_lag: t.Callable[[], float] = float

    def get_lag(self) -> float:
        """Return the seconds to add to the timeout of a call, 0 without lag."""
        lag_s = self.read_lag()
        return min(lag_s, MAX_LAG_S) if lag_s >= LATE_S else 0.0

    def note_latency(self, took_s: float) -> None:
        """Record the duration of a call that did not wait for changes."""
        self.latency_s += LATENCY_WEIGHT * (took_s - self.latency_s)

    def note_answer(self, now: float) -> None:
        """Record an answer."""
        if self.failing_since is not None and now - self.failing_since > OUTAGE_S:
            _LOG.info("store regained", away_s=now - self.failing_since)
        self.answered_at = now
        self.failing_since = None

    def note_failure(self, now: float, reason: str) -> None:
        """Record a call that got no answer or was refused.

        A late process may have missed the answer, so that its failures do not count for
        some time.

        :param now: monotonic seconds.
        :param reason: reason of the failure, for the log.
        """
        is_late = self.read_lag() >= LATE_S
        if is_late and now - self.answered_at < MAX_IGNORED_S:
            return
        if self.failing_since is None:
            self.failing_since = now
            _LOG.info("store call failed", reason=reason)

    def is_suspect(self, now: float) -> bool:
        """Return whether calls fail, but another node may still reach the store."""
        return self.failing_since is not None and now - self.failing_since >= SUSPECT_S

    def is_down(self, now: float) -> bool:
        """Return whether calls have failed for :data:`OUTAGE_S` without an answer."""
        return self.failing_since is not None and now - self.failing_since >= OUTAGE_S


@attrs.define
class MonitoredStore:
    """A store that records its answers and failures in a :class:`StoreHealth`.

    :param store: the store.
    :param health: health of the store, updated by each call but :meth:`list_parts`.
    :param clocks: clocks of the process.
    :param timeout: adaptive timeout of writes.
    """

    store: Store
    health: StoreHealth
    clocks: Clocks
    timeout: WriteTimeout = attrs.field(factory=WriteTimeout)

    async def write(
        self, batch: Batch, timeout_s: float = WRITE_TIMEOUT_S
    ) -> WriteOutcome:
        """Try to write a batch once.

        :param batch: the batch.
        :param timeout_s: upper limit for the adaptive timeout, in seconds.
        :returns: the outcome; a failed call does not raise.
        """
        started = self.clocks.read_monotonic()
        timeout_s = min(timeout_s, self.timeout.get()) + self.health.get_lag()
        outcome = await self.store.write(batch, timeout_s)
        now = self.clocks.read_monotonic()
        if isinstance(outcome, OutcomeUnknown):
            self.timeout.record_timeout()
        if isinstance(outcome, Applied | Conflict | Invalid):
            self.timeout.note_answer(now - started)
            self.health.note_answer(now)
        else:
            self.health.note_failure(now, f"write: {outcome.reason}")
        return outcome

    async def read(self, table: str, part: str, key: str = "") -> Page:
        """Read a partition, or a single row of it.

        :raises PlatformUnavailableError: if the store does not answer.
        """
        sent_at = self.clocks.read_boot()
        try:
            page = await self.store.read(table, part, key)
        except PlatformUnavailableError as error:
            self.health.note_failure(self.clocks.read_monotonic(), f"read: {error}")
            raise
        self._observe_clock(page, sent_at)
        self.health.note_answer(self.clocks.read_monotonic())
        return page

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """List the partitions of a table.

        :raises PlatformUnavailableError: if the store does not answer.
        """
        return await self.store.list_parts(table)

    async def follow(self, table: str, after: int, wait_s: float) -> Page:
        """Wait for changes to a table after a version.

        :raises HistoryTruncatedError: if the store no longer has the changes.
        :raises PlatformUnavailableError: if the store does not answer.
        """
        started = self.clocks.read_monotonic()
        sent_at = self.clocks.read_boot()
        try:
            page = await self.store.follow(table, after, wait_s)
        except PlatformUnavailableError as error:
            self.health.note_failure(self.clocks.read_monotonic(), f"follow: {error}")
            raise
        self._observe_clock(page, sent_at)
        now = self.clocks.read_monotonic()
        if not wait_s:
            self.health.note_latency(now - started)
        self.health.note_answer(now)
        return page

    def _observe_clock(self, page: Page, sent_at: float) -> None:
        reading = ClockReading(page.now_ms, sent_at, self.clocks.read_boot())
        self.health.store_clock.observe(reading)
