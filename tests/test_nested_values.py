"""Guards against deeply nested values in bytes of others that end their reader."""

import typing as t

import anyio
import orjson
import pytest

from onyxgap.exceptions import DocumentError
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs.workers import HoldReport
from onyxgap.jobs.workers import Reply
from onyxgap.platform.advice import decode_advice
from onyxgap.platform.cloud import PlatformCloudClient
from onyxgap.platform.cloud import decode_vm_reply
from onyxgap.platform.http import Answer
from onyxgap.platform.registry import decode_configuration
from onyxgap.platform.registry import decode_wave
from onyxgap.platform.workers import decode_reply
from onyxgap.platform.workers import decode_report
from onyxgap.pools.messages import VmReply
from onyxgap.standins.odd_values import encode_with
from onyxgap.standins.odd_values import nest
from tests.odd_documents import CONFIGURATION
from tests.odd_documents import REPORT
from tests.odd_documents import VM
from tests.odd_documents import WAVE
from tests.odd_documents import FixedAnswer

DEPTHS = (900, 1_000, 1_024, 100_000)


@pytest.fixture(params=DEPTHS, ids=str)
def nested(request: pytest.FixtureRequest) -> t.Any:
    return nest(request.param)


@pytest.mark.parametrize("name", ["clock_ms", "running", "ended", "born"])
def test_nested_report_of_a_worker_counts_as_no_answer(
    name: str, nested: t.Any
) -> None:
    assert isinstance(decode_report(Answer(200, orjson.dumps(REPORT))), HoldReport)
    answer = Answer(200, encode_with(REPORT, {name: nested}))
    assert isinstance(decode_report(answer), Reply)


def test_nested_reason_of_a_worker_is_no_reason(nested: t.Any) -> None:
    body = encode_with({}, {"clock_ms": nested, "reason": nested})
    assert decode_reply(Answer(409, body)).clock_ms is None


@pytest.mark.parametrize("name", ["version", "routes", "services", "tenants"])
def test_nested_configuration_is_a_fault(name: str, nested: t.Any) -> None:
    decode_configuration(orjson.dumps(CONFIGURATION))
    with pytest.raises(DocumentError):
        decode_configuration(encode_with(CONFIGURATION, {name: nested}))


@pytest.mark.parametrize("name", ["wave", "machines", "duration_s", "cap"])
def test_nested_wave_is_a_fault(name: str, nested: t.Any) -> None:
    decode_wave("wave/3", orjson.dumps(WAVE))
    with pytest.raises(DocumentError):
        decode_wave("wave/3", encode_with(WAVE, {name: nested}))


@pytest.mark.parametrize("name", ["machine", "pool", "labels", "capacity", "id"])
def test_nested_list_of_vms_counts_as_no_answer(name: str, nested: t.Any) -> None:
    async def read_list() -> None:
        body = b'{"machines":[' + encode_with(VM, {name: nested}) + b"]}"
        with pytest.raises(PlatformUnavailableError):
            await PlatformCloudClient(FixedAnswer(Answer(200, body))).list_vms()

    anyio.run(read_list)


def test_nested_reply_about_a_vm_leaves_the_outcome_unknown(nested: t.Any) -> None:
    answer = Answer(409, encode_with({}, {"reason": nested}))
    assert decode_vm_reply(answer) is VmReply.UNKNOWN


def test_nested_advice_is_none(nested: t.Any) -> None:
    row = b"[" * nested.depth + b"]" * nested.depth
    body = b'{"valid_ms":1000,"good":[[' + row + b',"ticket"]]}'
    assert decode_advice(Answer(200, body)) is None
