"""Checks of the promises on what really ran, once a scenario is over."""

import collections
import typing as t

import attrs

from ..shared.events import VmDraining
from ..shared.events import VmJoined
from ..shared.events import VmReturned
from ..shared.events import decode_entry
from ..shared.journal import PREFIX as JOURNAL_PREFIX
from ..verdict import Verdict
from .deployment import WALL_START_S
from .deployment import CallRecord
from .deployment import Deployment
from .memory_targets import build_body

LEAVING_LIMIT_S = 4.0
JOURNAL_MARK_LIMIT_S = 2.0


@attrs.frozen
class Breach:
    """A promise that was broken.

    :param promise: its name.
    :param detail: what happened.
    """

    promise: str
    detail: str


def check_promises(
    deployment: Deployment,
    leaving: t.Mapping[str, float],
    planned: t.Mapping[str, t.Sequence[float]],
) -> list[Breach]:
    """Compare what callers were told with what the targets ran.

    :param deployment: the deployment, after the scenario.
    :param leaving: when the platform marked each leaving VM.
    :param planned: when the system restarted each live VM.
    """
    return _Checks(deployment, leaving, planned).run()


@attrs.define
class _Checks:
    deployment: Deployment
    _leaving: t.Mapping[str, float]
    _planned: t.Mapping[str, t.Sequence[float]]
    breaches: list[Breach] = attrs.field(factory=list)

    def run(self) -> list[Breach]:
        self._check_calls()
        self._check_leaving()
        self._check_journal_marks()
        self._check_cut()
        self._check_accepted()
        return self.breaches

    def _add(self, promise: str, detail: str) -> None:
        self.breaches.append(Breach(promise, detail))

    def _check_accepted(self) -> None:
        versions = [version for _, version in self.deployment.accepted]
        if len(set(versions)) != len(versions):
            self._add("config", "two operators were told of the same version")

    def _check_calls(self) -> None:
        bodies: dict[str, set[bytes]] = collections.defaultdict(set)
        by_key: collections.Counter[str] = collections.Counter()
        for execution in self.deployment.targets.executions:
            body = build_body(execution.vm, execution.request_id)
            bodies[execution.request_id].add(body)
            if execution.key:
                # an answer may be given again under its key
                bodies[execution.key].add(body)
                by_key[execution.key] += 1
        for key, count in by_key.items():
            if count > 1:
                self._add("at-most-once", f"{key} ran {count} times")
        for call in self.deployment.calls:
            self._check_call(call, bodies)

    def _check_call(self, call: CallRecord, bodies: t.Mapping[str, set[bytes]]) -> None:
        request = call.request
        ran = bodies.get(request.request_id, set())
        if call.answer is None:
            return
        if call.answer.verdict is Verdict.NOT_RUN and ran:
            self._add("not-run", f"{request.request_id} ran all the same")
        own = ran | bodies.get(request.key or "", set())
        if call.answer.verdict is Verdict.RAN and call.answer.body not in own:
            self._add("whole-answer", f"{request.request_id} got a part")

    def _check_leaving(self) -> None:
        for execution in self.deployment.targets.executions:
            marked_at = self._leaving.get(execution.vm)
            if marked_at is None:
                continue
            late = execution.started_at - marked_at
            if late > LEAVING_LIMIT_S:
                detail = f"{execution.vm} got work {late:.1f} s after the mark"
                self._add("leaving", detail)

    def _check_journal_marks(self) -> None:
        """Check that a VM marked in the journal gets no work 2 s later."""
        for vm, start, end in self._list_marks():
            for execution in self.deployment.targets.executions:
                late = execution.started_at - start
                within = execution.vm == vm and execution.started_at < end
                if within and late > JOURNAL_MARK_LIMIT_S:
                    detail = f"{vm} got work {late:.1f} s after its entry"
                    self._add("leaving", detail)

    def _list_marks(self) -> list[tuple[str, float, float]]:
        """List each VM's spans from its mark until it serves again."""
        marked: dict[str, float] = {}
        spans: list[tuple[str, float, float]] = []
        for key in self.deployment.platform.list_keys(JOURNAL_PREFIX):
            entry = decode_entry(self.deployment.platform.peek(key).value)
            if entry is None:
                continue
            at = entry.at - WALL_START_S
            for event in entry.events:
                if isinstance(event, VmDraining):
                    marked[event.vm] = at
                elif isinstance(event, VmReturned | VmJoined) and event.vm in marked:
                    spans.append((event.vm, marked.pop(event.vm), at))
        return spans + [(vm, at, float("inf")) for vm, at in marked.items()]

    def _check_cut(self) -> None:
        for execution in self.deployment.targets.executions:
            planned = self._planned.get(execution.vm, ())
            if execution.cut and any(at >= execution.started_at for at in planned):
                self._add("graceful", f"{execution.request_id} was cut off")
