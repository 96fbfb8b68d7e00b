"""Tracks the newest version of the configuration that a process knows to exist."""

import enum

import attrs
import structlog

from ..jobs.routing import RouteTable

_LOG = structlog.get_logger()


class VersionSource(enum.Enum):
    """Where a process learned that a version exists."""

    OWNED_JOB = "owned-job"
    STORED_JOB = "stored-job"
    FORWARDED_CALL = "forwarded-call"
    FORWARDED_ANSWER = "forwarded-answer"
    PEER_QUERY = "peer-query"
    PEER_ANSWER = "peer-answer"


@attrs.define(eq=False)
class VersionObserver:
    """Records versions of which a process learns before it has adopted them.

    :param routes: the configuration in force.
    :param newest: newest version that is known to exist, 0 if none is.
    """

    routes: RouteTable = attrs.field(factory=RouteTable)
    newest: int = 0

    def observe(self, version: int, source: VersionSource) -> None:
        """Record that a version exists; no older one counts as current from now on.

        :param version: number of the version.
        :param source: where the process learned of it.
        """
        if version <= self.newest:
            return
        self.newest = version
        if self.is_outdated():
            _LOG.info(
                "newer configuration known",
                version=version,
                configuration=self.routes.get_version(),
                source=source.value,
            )

    def get_newest(self) -> int:
        """Return the newest version that is known to exist."""
        return max(self.newest, self.routes.get_version())

    def is_outdated(self) -> bool:
        """Return whether a newer version than that in force is known to exist."""
        return self.routes.get_version() < self.newest
