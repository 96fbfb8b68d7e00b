"""Decodes worker registrations, configuration and maintenance waves from store rows.

The platform and the operator write these rows; the status of a wave is encoded for
the operator.
"""

import ipaddress
import math
import typing as t

import attrs
import orjson

from ..bounds import MAX_AMOUNT
from ..bounds import MAX_COUNT
from ..bounds import read_count
from ..bounds import read_time_ms
from ..documents import decode_document
from ..documents import in_range
from ..exceptions import MALFORMED_ERRORS
from ..exceptions import DocumentError
from ..exceptions import Fault
from ..jobs.amounts import NO_LIMIT
from ..jobs.amounts import Amount
from ..jobs.messages import AdviceTerms
from ..jobs.messages import QueuePolicy
from ..jobs.messages import WorkerEntry
from ..jobs.messages import WorkerState
from ..jobs.routing import DEFAULT_BODY_BYTES
from ..jobs.routing import Configuration
from ..jobs.routing import Route
from ..jobs.routing import Service
from ..jobs.store import RowId
from ..jobs.tenants import Tenant
from ..jobs.tenants import digest_key
from ..pools.messages import Wave

WORKER_TABLE = "servers"
OPERATOR_TABLE = "op"
STATUS_TABLE = "status"
CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"

_CAP_FIELDS = ("cpu", "mem_mb", "gpu")


_MAX_PORT = 65_535
_MAX_PORT_DIGITS = len(str(_MAX_PORT))


def _is_port(text: str) -> bool:
    # digits are counted first: int() accepts no text of thousands of digits
    return (
        0 < len(text) <= _MAX_PORT_DIGITS
        and text.isascii()
        and text.isdigit()
        and 0 < int(text) <= _MAX_PORT
    )


def _check_address(_: object, attribute: t.Any, value: str) -> None:
    host, _separator, port = value.rpartition(":")
    try:
        # names are not looked up
        ipaddress.IPv4Address(host)
    except ValueError:
        host = ""
    if not (host and _is_port(port)):
        raise ValueError(f"{attribute.name} must be IP:port, not {value[:40]!r}")


@attrs.frozen(slots=True)
class _Capacity:
    """Capacity of a worker; the field names are those of the platform."""

    cpu: int = attrs.field(default=0, validator=in_range(0, MAX_AMOUNT))
    mem_mb: int = attrs.field(default=0, validator=in_range(0, MAX_AMOUNT))
    gpu: int = attrs.field(default=0, validator=in_range(0, MAX_AMOUNT))


@attrs.frozen(slots=True)
class _Registration:
    """Registration row of a worker; the field names are those of the platform."""

    service: str
    address: str = attrs.field(validator=_check_address)
    zone: str = ""
    state: WorkerState = WorkerState.READY
    capacity: _Capacity = _Capacity()
    labels: tuple[str, ...] = ()
    clock_ms: float = attrs.field(
        default=0.0, validator=in_range(-MAX_COUNT, MAX_COUNT)
    )
    born: int = attrs.field(default=0, validator=in_range(-MAX_COUNT, MAX_COUNT))


@attrs.frozen(slots=True)
class _WaveRequest:
    """Row of a maintenance wave; the field names are those of the platform."""

    wave: int | None = attrs.field(
        default=None, validator=in_range(-MAX_COUNT, MAX_COUNT)
    )
    machines: tuple[str, ...] = ()
    duration_s: float = attrs.field(
        default=0.0, validator=in_range(-MAX_COUNT, MAX_COUNT)
    )
    cap: int = attrs.field(default=1, validator=in_range(-MAX_COUNT, MAX_COUNT))


def _parse(value: bytes) -> dict[str, t.Any]:
    try:
        raw = orjson.loads(value)
    except ValueError as error:
        raise DocumentError([Fault("$", f"not JSON: {error}")]) from None
    if not isinstance(raw, dict):
        raise DocumentError([Fault("$", "expected an object")])
    return raw


def decode_start_time(value: t.Any) -> int:
    """Check a worker's start time.

    :param value: start time in Unix milliseconds; 0 where the worker sends none.
    :returns: the same value.
    :raises TypeError: when it is not an integer.
    :raises ValueError: when it is out of bounds.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"worker start time is no integer but {type(value).__name__}")
    return read_count(value)


def decode_worker(key: str, value: bytes) -> WorkerEntry:
    """Decode a worker's registration.

    :param key: key of the row, which is the worker's ID.
    :param value: value of the row.
    :raises DocumentError: when the value is malformed.
    """
    registration = decode_document(value, _Registration)
    return WorkerEntry(
        worker_id=key,
        service=registration.service,
        address=registration.address,
        zone=registration.zone,
        state=registration.state,
        cpu=registration.capacity.cpu,
        memory_mb=registration.capacity.mem_mb,
        accelerators=registration.capacity.gpu,
        labels=registration.labels,
        clock_ms=registration.clock_ms,
        born=registration.born,
    )


def _decode_advice_terms(raw: t.Any) -> AdviceTerms:
    """Decode the terms of a queue's advice; malformed ones count as not known."""
    if not isinstance(raw, dict):
        return AdviceTerms()
    names = ("decide_ms", "each_ms", "valid_ms")
    try:
        terms = [math.ceil(read_time_ms(raw.get(name) or 0)) for name in names]
    except MALFORMED_ERRORS:
        return AdviceTerms()
    return AdviceTerms(*terms) if min(terms) >= 0 else AdviceTerms()


def _decode_route(raw: t.Mapping[str, t.Any]) -> Route:
    terms = _decode_advice_terms(raw.get("advice"))
    policy = QueuePolicy(
        queue=str(raw["name"]),
        service=str(raw["service"]),
        priority=read_count(raw.get("priority", 0)),
        max_attempts=read_count(raw.get("max_attempts", 1)),
        stretch=float(raw.get("stretch", 1.0)),
        slo_ms=read_count(raw.get("slo_ms", 0)),
        advised=bool(raw.get("advice")),
        advice_decide_ms=terms.decide_ms,
        advice_each_ms=terms.each_ms,
        advice_valid_ms=terms.valid_ms,
    )
    return Route(
        host=str(raw["host"]),
        prefix=str(raw["path_prefix"]),
        policy=policy,
        timeout_ms=read_count(raw.get("timeout_ms", 3_000)),
        public=bool(raw.get("public", False)),
    )


def _decode_service(raw: t.Mapping[str, t.Any]) -> Service:
    return Service(
        name=str(raw["name"]),
        guarded=bool(raw.get("admission_check", False)),
        spare=bool(raw.get("spare", False)),
    )


def _decode_limit(value: t.Any) -> int:
    return read_count(value) if value else NO_LIMIT


def _decode_cap(raw: t.Mapping[str, t.Any]) -> Amount:
    # 0 means no limit, as does a missing field
    return Amount(*(_decode_limit(raw.get(name)) for name in _CAP_FIELDS))


def _decode_tenant(raw: t.Mapping[str, t.Any]) -> Tenant:
    return Tenant(
        name=str(raw["name"]),
        key_digests=tuple(
            digest_key(str(key).encode()) for key in raw.get("api_keys") or ()
        ),
        weight=float(raw.get("weight") or 1.0),
        cap=_decode_cap(raw.get("cap") or {}),
    )


def decode_configuration(value: bytes) -> Configuration:
    """Decode the operator's configuration.

    :param value: value of the row.
    :raises DocumentError: when the value is malformed.
    """
    raw = _parse(value)
    try:
        services = [_decode_service(item) for item in raw.get("services", ())]
        limits = raw.get("limits") or {}
        return Configuration(
            version=read_count(raw["version"]),
            routes=tuple(map(_decode_route, raw.get("routes", ()))),
            services={service.name: service for service in services},
            max_body_bytes=read_count(limits.get("max_body_bytes", DEFAULT_BODY_BYTES)),
            tenants=tuple(map(_decode_tenant, raw.get("tenants") or ())),
        )
    except MALFORMED_ERRORS as error:
        raise DocumentError(
            [Fault("$", f"malformed configuration: {error!r}")]
        ) from None


def decode_wave(key: str, value: bytes) -> Wave:
    """Decode the operator's request for a maintenance wave.

    :param key: key of the row; its number is used when the value has none.
    :param value: value of the row.
    :raises DocumentError: when the value is malformed, or neither it nor the key has
        the number of the wave.
    """
    request = decode_document(value, _WaveRequest)
    try:
        number = (
            read_count(key.removeprefix(WAVE_PREFIX))
            if request.wave is None
            else request.wave
        )
    except ValueError as error:
        raise DocumentError(
            [Fault("$", f"no number of the maintenance wave: {error}")]
        ) from None
    return Wave(number, request.machines, request.duration_s, request.cap)


def encode_wave_status(number: int, complete: bool) -> tuple[RowId, bytes]:
    """Encode the status row of a maintenance wave, which the operator reads.

    :param number: number of the wave.
    :param complete: whether each VM of the wave has begun its maintenance or is no
        longer in the VM list.
    :returns: name and value of the row.
    """
    state = "succeeded" if complete else "running"
    row = RowId(STATUS_TABLE, "", f"{WAVE_PREFIX}{number}")
    return row, orjson.dumps({"wave": number, "state": state})
