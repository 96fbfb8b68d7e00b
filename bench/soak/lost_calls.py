"""Calls of callers that a planned stop of a node left without a whole answer."""

import signal
import typing as t

import anyio
import anyio.abc
import attrs

MIN_SENT_S = 0.2
"""A request that was sent this long before its connection ended needs an answer."""
_REQUEST_SENT = "http11.send_request_body.complete"


@attrs.define
class CallTrace:
    """Notes when the request of a call was sent completely.

    :param sent_at: monotonic seconds, ``None`` until then.
    """

    sent_at: float | None = None

    async def note(self, event: str, info: t.Mapping[str, t.Any]) -> None:
        """Take in an event of the HTTP client.

        :param event: its name.
        :param info: its details.
        """
        if event == _REQUEST_SENT:
            self.sent_at = anyio.current_time()


@attrs.define
class LostCall:
    """A request without a whole answer, of a process that was asked to stop.

    :param process: the process.
    :param what: method and path.
    :param at: monotonic seconds of the end of the connection.
    :param waited_s: seconds since the request was sent completely.
    """

    process: anyio.abc.Process
    what: str
    at: float
    waited_s: float

    def is_breach(self) -> bool:
        """Tell whether the process ended by itself, not by SIGKILL."""
        return self.process.returncode != -signal.SIGKILL


@attrs.define(eq=False)
class LostCalls:
    """Broken calls of one place for nodes, around the planned stops of its processes.

    :param stopping: the process that was last asked to stop.
    :param calls: calls that broke while it stopped.
    """

    stopping: anyio.abc.Process | None = None
    calls: list[LostCall] = attrs.field(factory=list)

    def note(
        self, process: anyio.abc.Process | None, what: str, trace: CallTrace
    ) -> None:
        """Note that the connection of a call has ended before a whole answer.

        :param process: the process that was called.
        :param what: method and path.
        :param trace: when its request was sent.
        """
        if process is None or process is not self.stopping or trace.sent_at is None:
            return
        now = anyio.current_time()
        waited_s = now - trace.sent_at
        if waited_s > MIN_SENT_S:
            self.calls.append(LostCall(process, what, now, waited_s))

    def list_lost(self) -> list[LostCall]:
        """List the calls that a planned stop must not have lost."""
        return [call for call in self.calls if call.is_breach()]
