"""Guards against malformed worker registrations that end the shard reading them."""

import orjson
import pytest
import structlog.testing
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bench.soak.malformed import list_malformed_registrations
from onyxgap.exceptions import DocumentError
from onyxgap.jobs.messages import WorkerEntry
from onyxgap.platform.registry import decode_worker
from onyxgap.standins.emulator import malformed as emulated
from onyxgap.standins.emulator.rows import DECODERS
from tests.emulated import extend_day
from tests.emulated import play

MALFORMED = list_malformed_registrations("ring")
EMULATED = emulated.list_malformed_registrations("ring")
FIELDS = (
    "service",
    "address",
    "zone",
    "state",
    "capacity",
    "labels",
    "clock_ms",
    "born",
)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
    | st.sampled_from(["ready", "draining", "10.0.0.1:80", "cpu", "gpu"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["cpu", "mem_mb", "gpu"]), inner)
    ),
    max_leaves=5,
)


@pytest.mark.parametrize("number", range(len(MALFORMED)))
def test_malformed_registration_is_not_decoded(number: int) -> None:
    with pytest.raises(DocumentError):
        decode_worker("w", MALFORMED[number])


@pytest.mark.parametrize("number", range(len(EMULATED)))
def test_malformed_registration_is_not_decoded_by_the_emulator(number: int) -> None:
    with pytest.raises(DocumentError):
        DECODERS.decode_worker("w", EMULATED[number])


@settings(max_examples=2_000, deadline=None, derandomize=True)
@given(st.dictionaries(st.sampled_from(FIELDS), VALUES))
def test_registration_of_any_form_gives_a_worker_or_a_fault(
    raw: dict[str, object],
) -> None:
    try:
        entry = decode_worker("w", orjson.dumps(raw))
    except DocumentError:
        return
    assert isinstance(entry, WorkerEntry)
    host, _, port = entry.address.rpartition(":")
    assert host
    assert 0 < int(port) < 65_536
    assert entry.service == raw["service"]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_malformed_registrations_leave_the_shard_running(seed: int) -> None:
    script = extend_day("backlog", "at 6 malform rows ring for 8")
    with structlog.testing.capture_logs() as lines:
        result = play(script, seed)
    assert "shard failed" not in {line["event"] for line in lines}
    assert result.breaches == []
