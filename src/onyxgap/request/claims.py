"""Claims on idempotency keys, stored in the platform's table in batched writes.

A claim is inserted before a non-idempotent request is sent to a target. No other
request takes over a claim in status ``claimed``, however old it is (rows are removed
only after the retention period). An entry that was paused while it held a claim
therefore cannot cause a second run.
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
RESULT_RETRY_S = 0.5
KEY_IN_USE_RETRY_AFTER_S = 1.0
CLAIMED = "claimed"
RELEASED = "released"
RAN = "ran"


@attrs.frozen(slots=True)
class Claim:
    """Claim of one request on an idempotency key.

    :param key: key of the row in the table.
    :param token: random token that identifies the request that wrote the row.
    :param digest: SHA-256 hash of the request's body, in hexadecimal.
    :param at: wall-clock time of the claim in seconds, from which its retention counts.
    """

    key: str
    token: str
    digest: str
    at: float

    def build_value(self, status: str, **extra: t.Any) -> dict[str, t.Any]:
        """Build the value of the row.

        :param status: ``claimed``, ``released`` or ``ran``.
        :param extra: additional fields of the row.
        """
        return {
            "token": self.token,
            "digest": self.digest,
            "status": status,
            "at": self.at,
            **extra,
        }


@attrs.define
class _PendingWrite:
    put: Put
    done: anyio.Event = attrs.field(factory=anyio.Event)
    outcome: WriteOutcome = WriteOutcome.UNKNOWN


@attrs.define
class BatchWriter:
    """Batches conditional writes of independent rows into transactions.

    :param store: the platform's table.
    :param window_s: time for which writes are collected into a batch, in seconds.
    :param writes: number of transactions sent.
    """

    store: Store
    window_s: float = defaults.CLAIM_BATCH_WINDOW_S
    writes: int = 0
    _queue: list[_PendingWrite] = attrs.field(factory=list)
    _wake: anyio.Event = attrs.field(factory=anyio.Event)

    async def write(self, put: Put) -> WriteOutcome:
        """Add a write to a batch and wait for its outcome.

        :param put: the conditional write.
        """
        write = _PendingWrite(put)
        self._queue.append(write)
        self._wake.set()
        await write.done.wait()
        return write.outcome

    async def run(self) -> None:
        """Send batches until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._wake.wait()
                await anyio.sleep(self.window_s)
                batch = self._take_batch()
                group.start_soon(self._send, batch)

    def _take_batch(self) -> list[_PendingWrite]:
        batch: list[_PendingWrite] = []
        remaining: list[_PendingWrite] = []
        keys: set[str] = set()
        for write in self._queue:
            fits = len(batch) < defaults.CLAIM_BATCH_MAX and write.put.key not in keys
            (batch if fits else remaining).append(write)
            keys.add(write.put.key)
        self._queue = remaining
        if not remaining:
            self._wake = anyio.Event()
        return batch

    async def _send(self, batch: list[_PendingWrite]) -> None:
        while batch:
            self.writes += 1
            result = await self.store.transact([write.put for write in batch])
            conflicts = set(result.conflicts)
            if result.outcome is WriteOutcome.NOT_APPLIED and conflicts:
                # one conflict fails the whole transaction; the other rows do not
                # depend on it, so they are sent again without it
                _finish(
                    [write for write in batch if write.put.key in conflicts],
                    result.outcome,
                )
                batch = [write for write in batch if write.put.key not in conflicts]
                continue
            _finish(batch, result.outcome)
            return


def _finish(writes: t.Iterable[_PendingWrite], outcome: WriteOutcome) -> None:
    for write in writes:
        write.outcome = outcome
        write.done.set()


@attrs.define
class ClaimStore:
    """Claims idempotency keys and records the results of the requests.

    :param store: the platform's table and object store.
    :param pending_results: claims whose results are not yet stored, by token,
        each with the new value of its row.
    """

    store: Store
    writer: BatchWriter = attrs.field(init=False)
    pending_results: dict[str, tuple[Claim, dict[str, t.Any]]] = attrs.field(
        factory=dict
    )
    _wake: anyio.Event = attrs.field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        self.writer = BatchWriter(self.store)

    async def claim(self, claim: Claim) -> Answer | None:
        """Claim a key. The request may be sent only if this returns ``None``.

        :param claim: the claim.
        :returns: ``None`` if the key was claimed, else the final answer.
        """
        with anyio.move_on_after(defaults.CLAIM_TIMEOUT_S):
            try:
                return await self._claim(claim)
            except (PlatformUnavailableError, UnknownOutcomeError):
                pass
        # the request was not sent, so the row is released in case it was written
        self._queue_result(claim, RELEASED)
        return _refuse_store_unavailable()

    async def _claim(self, claim: Claim) -> Answer | None:
        put = Put(claim.key, claim.build_value(CLAIMED), ABSENT)
        outcome = await self.writer.write(put)
        if outcome is WriteOutcome.UNKNOWN:
            # the repeated insert either applies or conflicts with the row that the
            # first one wrote, which is recognized by its token
            outcome = await self.writer.write(put)
        if outcome is WriteOutcome.APPLIED:
            return None
        if outcome is WriteOutcome.UNKNOWN:
            raise UnknownOutcomeError(claim.key)
        return await self._check_existing(claim)

    async def _check_existing(self, claim: Claim) -> Answer | None:
        row = await self.store.get(claim.key)
        if not row:
            return _refuse_key_in_use()
        if row.value["token"] == claim.token:
            return None
        if row.value["digest"] != claim.digest:
            return Answer(Verdict.NOT_RUN, 422, reason=Reason.KEY_REUSED)
        return await _ROW_HANDLERS[row.value["status"]](self, claim, row)

    async def _handle_claimed(self, claim: Claim, row: Row) -> Answer | None:
        return _refuse_key_in_use()

    async def _handle_ran(self, claim: Claim, row: Row) -> Answer | None:
        try:
            return await self._load_answer(row.value)
        except PlatformUnavailableError:
            return _refuse_key_in_use()

    async def _handle_released(self, claim: Claim, row: Row) -> Answer | None:
        put = Put(claim.key, claim.build_value(CLAIMED), row.version)
        outcome = await self.writer.write(put)
        if outcome is WriteOutcome.APPLIED:
            return None
        if outcome is WriteOutcome.UNKNOWN:
            raise UnknownOutcomeError(claim.key)
        return await self._check_token(claim)

    async def _check_token(self, claim: Claim) -> Answer | None:
        row = await self.store.get(claim.key)
        if row and row.value["token"] == claim.token:
            return None
        return _refuse_key_in_use()

    async def _load_answer(self, value: dict[str, t.Any]) -> Answer:
        body = base64.b64decode(value.get("body", ""))
        if "object" in value:
            body = await self.store.get_object(value["object"])
        headers = tuple((name, text) for name, text in value["headers"])
        return Answer(Verdict.RAN, value["http"], headers, body, vm=value["vm"])

    def record_result(self, claim: Claim, answer: Answer) -> None:
        """Queue the result of a request with a claim, to be stored in the background.

        A request that may have run keeps its claim, so that its key is not used again.

        :param claim: the claim.
        :param answer: the final answer.
        """
        if answer.verdict is Verdict.NOT_RUN:
            self._queue_result(claim, RELEASED)
        elif answer.verdict is Verdict.RAN:
            self._queue_result(claim, RAN, answer)

    def _queue_result(
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
        self.pending_results[claim.token] = (claim, claim.build_value(status, **extra))
        self._wake.set()

    async def run(self) -> None:
        """Write batches and store results until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.writer.run)
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                await self.store_pending_results()
                if self.pending_results:
                    await anyio.sleep(RESULT_RETRY_S)
                    self._wake.set()

    async def store_pending_results(self) -> None:
        """Try once to store each pending result."""
        async with anyio.create_task_group() as group:
            for token, (claim, value) in list(self.pending_results.items()):
                group.start_soon(self._store_result, token, claim, value)

    async def _store_result(
        self, token: str, claim: Claim, value: dict[str, t.Any]
    ) -> None:
        try:
            row = await self.store.get(claim.key)
            value = await self._encode_body(value)
        except PlatformUnavailableError:
            return
        if not row:
            # an insert with an unknown outcome may still arrive; it cannot apply
            # once this row exists
            expected_version = ABSENT
        elif _may_be_taken_over(row, claim, value):
            # a take-over with an unknown outcome may still arrive; it cannot apply
            # once the row has another version
            expected_version = row.version
        elif row.value["token"] != token or row.value["status"] != CLAIMED:
            self.pending_results.pop(token, None)
            return
        else:
            expected_version = row.version
        outcome = await self.writer.write(Put(claim.key, value, expected_version))
        if outcome is WriteOutcome.APPLIED:
            self.pending_results.pop(token, None)

    async def _encode_body(self, value: dict[str, t.Any]) -> dict[str, t.Any]:
        body = value.get("body")
        if not isinstance(body, bytes):
            return value
        encoded = {key: item for key, item in value.items() if key != "body"}
        if len(body) > defaults.CLAIM_INLINE_LIMIT_BYTES:
            encoded["object"] = await self.store.put_object(body)
        else:
            encoded["body"] = base64.b64encode(body).decode()
        return encoded


_ROW_HANDLERS: dict[
    str, t.Callable[[ClaimStore, Claim, Row], t.Awaitable[Answer | None]]
] = {
    CLAIMED: ClaimStore._handle_claimed,
    RELEASED: ClaimStore._handle_released,
    RAN: ClaimStore._handle_ran,
}


def _may_be_taken_over(
    row: Row, claim: Claim, pending_value: t.Mapping[str, t.Any]
) -> bool:
    """Return whether a claim to be released may still take over a released row."""
    if pending_value["status"] != RELEASED or row.value["status"] != RELEASED:
        return False
    if row.value["token"] == claim.token:
        return False
    same_request: bool = row.value["digest"] == claim.digest
    return same_request


def _refuse_store_unavailable() -> Answer:
    return Answer(
        Verdict.NOT_RUN,
        503,
        reason=Reason.STORE_OUT,
        retry_after_s=defaults.PLATFORM_TIMEOUT_S,
    )


def _refuse_key_in_use() -> Answer:
    return Answer(
        Verdict.MAY_HAVE_RUN,
        409,
        reason=Reason.KEY_IN_USE,
        retry_after_s=KEY_IN_USE_RETRY_AFTER_S,
    )
