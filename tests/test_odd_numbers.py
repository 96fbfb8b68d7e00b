"""Guards against numbers of others that can't be stored or sent on."""

import typing as t

import anyio
import orjson
import pytest

from onyxgap.bounds import MAX_AMOUNT
from onyxgap.exceptions import DocumentError
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs.workers import HoldOrder
from onyxgap.jobs.workers import Reply
from onyxgap.platform.cloud import PlatformCloudClient
from onyxgap.platform.connections import encode_request
from onyxgap.platform.http import Answer
from onyxgap.platform.registry import decode_configuration
from onyxgap.platform.registry import decode_wave
from onyxgap.platform.registry import decode_worker
from onyxgap.platform.workers import decode_reply
from onyxgap.platform.workers import decode_report
from onyxgap.standins.odd_values import TOO_LARGE
from tests.odd_documents import CONFIGURATION
from tests.odd_documents import REPORT
from tests.odd_documents import ROUTE
from tests.odd_documents import RUN
from tests.odd_documents import VM
from tests.odd_documents import WAVE
from tests.odd_documents import FixedAnswer

WORKER: t.Mapping[str, t.Any] = {"service": "ring", "address": "127.0.0.1:9"}
LATEST_CLOCK_MS = 2.0**53 - 1


@pytest.fixture(params=[1e300, -1e300, TOO_LARGE], ids=str)
def large(request: pytest.FixtureRequest) -> t.Any:
    return request.param


def test_clock_of_a_registration_can_be_sent_back_in_a_hold_request(
    large: t.Any,
) -> None:
    entry = decode_worker("w", orjson.dumps({**WORKER, "clock_ms": LATEST_CLOCK_MS}))
    order = HoldOrder("w", entry.address, 1, 0, entry.clock_ms + 10_000.0, 0, 0.3)
    assert order.deadline_ms is not None
    body = {"deadline_ms": int(order.deadline_ms)}
    assert encode_request(order.address, "POST", "/hold", body, [])
    with pytest.raises(DocumentError):
        decode_worker("w", orjson.dumps({**WORKER, "clock_ms": large}))


def test_sum_of_the_capacities_of_many_workers_can_be_stored(large: t.Any) -> None:
    capacity = {"cpu": MAX_AMOUNT, "mem_mb": MAX_AMOUNT}
    entry = decode_worker("w", orjson.dumps({**WORKER, "capacity": capacity}))
    assert orjson.dumps(entry.cpu * 1_000_000)
    with pytest.raises(DocumentError):
        decode_worker("w", orjson.dumps({**WORKER, "capacity": {"cpu": large}}))


def change_report(value: t.Any) -> tuple[dict[str, t.Any], ...]:
    return (
        {"clock_ms": value},
        {"running": [[RUN[0], value, "", 41]]},
        {"running": [[RUN[0], 2, "", value]]},
        {"ended": [[value, RUN[0], 2, "done", ""]]},
        {"ended": [[1, RUN[0], value, "done", ""]]},
        {"born": value},
    )


@pytest.mark.parametrize("number", range(len(change_report(0))))
def test_report_with_a_large_number_counts_as_no_answer(
    number: int, large: t.Any
) -> None:
    body = orjson.dumps({**REPORT, **change_report(large)[number]})
    assert isinstance(decode_report(Answer(200, body)), Reply)


def test_reply_with_a_large_clock_is_an_outcome_without_a_clock(large: t.Any) -> None:
    body = orjson.dumps({"clock_ms": large, "reason": "room"})
    assert decode_reply(Answer(409, body)).clock_ms is None


@pytest.mark.parametrize("field", ["slo_ms", "timeout_ms", "priority", "max_attempts"])
def test_route_with_a_large_number_is_a_fault(field: str, large: t.Any) -> None:
    routes = [{**ROUTE, field: large}]
    with pytest.raises(DocumentError):
        decode_configuration(orjson.dumps({**CONFIGURATION, "routes": routes}))


@pytest.mark.parametrize("limits", [False, True])
def test_configuration_with_a_large_number_is_a_fault(
    limits: bool, large: t.Any
) -> None:
    change = {"limits": {"max_body_bytes": large}} if limits else {"version": large}
    with pytest.raises(DocumentError):
        decode_configuration(orjson.dumps({**CONFIGURATION, **change}))


@pytest.mark.parametrize("field", ["wave", "cap", "duration_s"])
def test_wave_with_a_large_number_is_a_fault(field: str, large: t.Any) -> None:
    with pytest.raises(DocumentError):
        decode_wave("wave/3", orjson.dumps({**WAVE, field: large}))


def test_wave_whose_key_has_a_large_number_is_a_fault() -> None:
    with pytest.raises(DocumentError):
        decode_wave("wave/" + "9" * 30, b"{}")


@pytest.mark.parametrize("field", ["cpu", "mem_mb"])
def test_list_with_a_large_vm_counts_as_no_answer(field: str, large: t.Any) -> None:
    async def read_list() -> None:
        body = orjson.dumps({"machines": [{**VM, "capacity": {field: large}}]})
        with pytest.raises(PlatformUnavailableError):
            await PlatformCloudClient(FixedAnswer(Answer(200, body))).list_vms()

    anyio.run(read_list)
