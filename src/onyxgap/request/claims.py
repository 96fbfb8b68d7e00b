"""Claims on idempotency keys in the platform's table, written in batches.

A claim is inserted before a non-idempotent request is sent. It is never
taken over while it stands, however old, so a paused holder can do no harm.
"""

import base64
import typing as t

import anyio
import attrs

from .. import defaults
from ..exceptions import PlatformUnavailableError
from ..exceptions import UnknownOutcomeError
from ..ports import ABSENT
from ..ports import Put
from ..ports import Row
from ..ports import WriteOutcome
from ..shared.journal import Store
from ..verdict import Verdict
from .messages import Answer
from .messages import Reason

PREFIX = "claim/"
SETTLE_RETRY_S = 0.5
IN_USE_RETRY_S = 1.0
CLAIMED = "claimed"
RELEASED = "released"
RAN = "ran"


@attrs.frozen(slots=True)
class Claim:
    """A claim to write.

    :param key: row key.
    :param token: unique token of this writer.
    :param digest: hash of the request's body.
    :param at: wall clock in seconds, for the retention sweep.
    """

    key: str
    token: str
    digest: str
    at: float

    def build_value(self, status: str, **extra: t.Any) -> dict[str, t.Any]:
        """Build the row's value.

        :param status: ``claimed``, ``released`` or ``ran``.
        :param extra: further fields.
        """
        return {
            "token": self.token,
            "digest": self.digest,
            "status": status,
            "at": self.at,
            **extra,
        }


@attrs.define
class _Waiter:
    put: Put
    done: anyio.Event = attrs.field(factory=anyio.Event)
    outcome: WriteOutcome = WriteOutcome.UNKNOWN


@attrs.define
class BatchWriter:
    """Collects conditional writes of independent rows into transactions.

    :param store: the platform's table.
    :param window_s: how long writes are collected, in seconds.
    """

    store: Store
    window_s: float = defaults.CLAIM_BATCH_WINDOW_S
    writes: int = 0
    _queue: list[_Waiter] = attrs.field(factory=list)
    _wake: anyio.Event = attrs.field(factory=anyio.Event)

    async def write(self, put: Put) -> WriteOutcome:
        """Write one row with others and wait for its outcome.

        :param put: the conditional write.
        """
        waiter = _Waiter(put)
        self._queue.append(waiter)
        self._wake.set()
        await waiter.done.wait()
        return waiter.outcome

    async def run(self) -> None:
        """Send batches until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._wake.wait()
                await anyio.sleep(self.window_s)
                batch = self._take_batch()
                group.start_soon(self._send, batch)

    def _take_batch(self) -> list[_Waiter]:
        batch: list[_Waiter] = []
        rest: list[_Waiter] = []
        keys: set[str] = set()
        for waiter in self._queue:
            fits = len(batch) < defaults.CLAIM_BATCH_MAX and waiter.put.key not in keys
            (batch if fits else rest).append(waiter)
            keys.add(waiter.put.key)
        self._queue = rest
        if not rest:
            self._wake = anyio.Event()
        return batch

    async def _send(self, batch: list[_Waiter]) -> None:
        while batch:
            self.writes += 1
            result = await self.store.transact([waiter.put for waiter in batch])
            refused = set(result.conflicts)
            if result.outcome is WriteOutcome.NOT_APPLIED and refused:
                # the others are independent: send them again without these
                _finish([w for w in batch if w.put.key in refused], result.outcome)
                batch = [w for w in batch if w.put.key not in refused]
                continue
            _finish(batch, result.outcome)
            return


def _finish(waiters: t.Iterable[_Waiter], outcome: WriteOutcome) -> None:
    for waiter in waiters:
        waiter.outcome = outcome
        waiter.done.set()


@attrs.define
class ClaimKeeper:
    """Claims keys before a request runs and settles them afterwards.

    :param store: the platform's table and object store.
    """

    store: Store
    writer: BatchWriter = attrs.field(init=False)
    unsettled: dict[str, tuple[Claim, dict[str, t.Any]]] = attrs.field(factory=dict)
    _wake: anyio.Event = attrs.field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        self.writer = BatchWriter(self.store)

    async def claim(self, claim: Claim) -> Answer | None:
        """Claim a key; only then may the request be sent.

        :param claim: the claim.
        :returns: ``None`` when it is ours, else the final answer.
        """
        with anyio.move_on_after(defaults.CLAIM_TIMEOUT_S):
            try:
                return await self._claim(claim)
            except (PlatformUnavailableError, UnknownOutcomeError):
                pass
        # nothing has been sent, so whatever became of the row is undone
        self._settle_later(claim, RELEASED)
        return _refuse_store_out()

    async def _claim(self, claim: Claim) -> Answer | None:
        put = Put(claim.key, claim.build_value(CLAIMED), ABSENT)
        outcome = await self.writer.write(put)
        if outcome is WriteOutcome.UNKNOWN:
            # the same insert again either applies or meets our own row
            outcome = await self.writer.write(put)
        if outcome is WriteOutcome.APPLIED:
            return None
        if outcome is WriteOutcome.UNKNOWN:
            raise UnknownOutcomeError(claim.key)
        return await self._meet_row(claim)

    async def _meet_row(self, claim: Claim) -> Answer | None:
        row = await self.store.get(claim.key)
        if not row:
            return _refuse_in_use()
        if row.value["token"] == claim.token:
            return None
        if row.value["digest"] != claim.digest:
            return Answer(Verdict.NOT_RUN, 422, reason=Reason.KEY_REUSED)
        return await _MEET[row.value["status"]](self, claim, row)

    async def _meet_claimed(self, claim: Claim, row: Row) -> Answer | None:
        return _refuse_in_use()

    async def _meet_ran(self, claim: Claim, row: Row) -> Answer | None:
        try:
            return await self._load_answer(row.value)
        except PlatformUnavailableError:
            return _refuse_in_use()

    async def _meet_released(self, claim: Claim, row: Row) -> Answer | None:
        put = Put(claim.key, claim.build_value(CLAIMED), row.version)
        outcome = await self.writer.write(put)
        if outcome is WriteOutcome.APPLIED:
            return None
        if outcome is WriteOutcome.UNKNOWN:
            raise UnknownOutcomeError(claim.key)
        return await self._recheck(claim)

    async def _recheck(self, claim: Claim) -> Answer | None:
        row = await self.store.get(claim.key)
        if row and row.value["token"] == claim.token:
            return None
        return _refuse_in_use()

    async def _load_answer(self, value: dict[str, t.Any]) -> Answer:
        body = base64.b64decode(value.get("body", ""))
        if "object" in value:
            body = await self.store.get_object(value["object"])
        headers = tuple((name, text) for name, text in value["headers"])
        return Answer(Verdict.RAN, value["http"], headers, body, vm=value["vm"])

    def settle(self, claim: Claim, answer: Answer) -> None:
        """Record how a claimed request ended, in the background.

        :param claim: the claim.
        :param answer: the final answer.
        """
        if answer.verdict is Verdict.NOT_RUN:
            self._settle_later(claim, RELEASED)
        elif answer.verdict is Verdict.RAN:
            self._settle_later(claim, RAN, answer)

    def _settle_later(
        self, claim: Claim, status: str, answer: Answer | None = None
    ) -> None:
        extra: dict[str, t.Any] = {}
        if answer is not None:
            extra = {
                "http": answer.status,
                "headers": [list(pair) for pair in answer.headers],
                "body": answer.body,
                "vm": answer.vm,
            }
        self.unsettled[claim.token] = (claim, claim.build_value(status, **extra))
        self._wake.set()

    async def run(self) -> None:
        """Write batches and settle ended claims until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.writer.run)
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                await self.settle_once()
                if self.unsettled:
                    await anyio.sleep(SETTLE_RETRY_S)
                    self._wake.set()

    async def settle_once(self) -> None:
        """Try to settle each ended claim once."""
        async with anyio.create_task_group() as group:
            for token, (claim, value) in list(self.unsettled.items()):
                group.start_soon(self._settle, token, claim, value)

    async def _settle(self, token: str, claim: Claim, value: dict[str, t.Any]) -> None:
        try:
            row = await self.store.get(claim.key)
            value = await self._pack_body(value)
        except PlatformUnavailableError:
            return
        if not row:
            # a lost insert may still arrive: fill its place so that it cannot
            expect = ABSENT
        elif row.value["token"] != token or row.value["status"] != CLAIMED:
            self.unsettled.pop(token, None)
            return
        else:
            expect = row.version
        outcome = await self.writer.write(Put(claim.key, value, expect))
        if outcome is WriteOutcome.APPLIED:
            self.unsettled.pop(token, None)

    async def _pack_body(self, value: dict[str, t.Any]) -> dict[str, t.Any]:
        body = value.get("body")
        if not isinstance(body, bytes):
            return value
        packed = {key: item for key, item in value.items() if key != "body"}
        if len(body) > defaults.CLAIM_ANSWER_BYTES:
            packed["object"] = await self.store.put_object(body)
        else:
            packed["body"] = base64.b64encode(body).decode()
        return packed


_MEET: dict[str, t.Callable[[ClaimKeeper, Claim, Row], t.Awaitable[Answer | None]]] = {
    CLAIMED: ClaimKeeper._meet_claimed,
    RELEASED: ClaimKeeper._meet_released,
    RAN: ClaimKeeper._meet_ran,
}


def _refuse_store_out() -> Answer:
    return Answer(
        Verdict.NOT_RUN,
        503,
        reason=Reason.STORE_OUT,
        retry_after_s=defaults.PLATFORM_TIMEOUT_S,
    )


def _refuse_in_use() -> Answer:
    return Answer(
        Verdict.MAY_HAVE_RUN,
        409,
        reason=Reason.KEY_IN_USE,
        retry_after_s=IN_USE_RETRY_S,
    )
