"""Decodes what the platform and the operator write to the store."""

import typing as t

import attrs
import orjson

from ..documents import decode_document
from ..exceptions import MALFORMED_ERRORS
from ..exceptions import DocumentError
from ..exceptions import Fault
from ..jobs.amounts import NO_LIMIT
from ..jobs.amounts import Amount
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


def _check_address(_: object, attribute: t.Any, value: str) -> None:
    host, _separator, port = value.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
        raise ValueError(f"{attribute.name} must be host:port, not {value[:40]!r}")


@attrs.frozen(slots=True)
class _Capacity:
    """Capacity of a worker, with the field names of the platform."""

    cpu: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    mem_mb: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    gpu: int = attrs.field(default=0, validator=attrs.validators.ge(0))


@attrs.frozen(slots=True)
class _Registration:
    """Row of a worker, with the field names of the platform."""

    service: str
    address: str = attrs.field(validator=_check_address)
    zone: str = ""
    state: WorkerState = WorkerState.READY
    capacity: _Capacity = _Capacity()
    labels: tuple[str, ...] = ()
    clock_ms: float = 0.0
    born: int = 0


@attrs.frozen(slots=True)
class _WaveRequest:
    """Row of a maintenance wave, with the field names of the platform."""

    wave: int | None = None
    machines: tuple[str, ...] = ()
    duration_s: float = 0.0
    cap: int = 1


def _parse(value: bytes) -> dict[str, t.Any]:
    try:
        raw = orjson.loads(value)
    except ValueError as error:
        raise DocumentError([Fault("$", f"not JSON: {error}")]) from None
    if not isinstance(raw, dict):
        raise DocumentError([Fault("$", "expected an object")])
    return raw


def decode_start(value: t.Any) -> int:
    """Read the moment of a worker's start, in Unix milliseconds.

    :param value: what the worker says; 0 where it says nothing.
    :raises TypeError: when it is no whole number.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"no start of a worker: {value!r}")
    return value


def decode_worker(key: str, value: bytes) -> WorkerEntry:
    """Read a worker's registration.

    :param key: key of the row, the worker's id.
    :param value: the row.
    :raises DocumentError: when it has another form.
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


def _decode_route(raw: t.Mapping[str, t.Any]) -> Route:
    policy = QueuePolicy(
        queue=str(raw["name"]),
        service=str(raw["service"]),
        priority=int(raw.get("priority", 0)),
        max_attempts=int(raw.get("max_attempts", 1)),
        stretch=float(raw.get("stretch", 1.0)),
        slo_ms=int(raw.get("slo_ms", 0)),
        advised=bool(raw.get("advice")),
    )
    return Route(
        host=str(raw["host"]),
        prefix=str(raw["path_prefix"]),
        policy=policy,
        timeout_ms=int(raw.get("timeout_ms", 3_000)),
        public=bool(raw.get("public", False)),
    )


def _decode_service(raw: t.Mapping[str, t.Any]) -> Service:
    return Service(
        name=str(raw["name"]),
        guarded=bool(raw.get("admission_check", False)),
        spare=bool(raw.get("spare", False)),
    )


def _decode_cap(raw: t.Mapping[str, t.Any]) -> Amount:
    # 0 stands for no limit, as does a field that is left out
    return Amount(*(int(raw.get(name) or NO_LIMIT) for name in _CAP_FIELDS))


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
    """Read the operator's configuration.

    :param value: the row.
    :raises DocumentError: when it has another form.
    """
    raw = _parse(value)
    try:
        services = [_decode_service(item) for item in raw.get("services", ())]
        limits = raw.get("limits") or {}
        return Configuration(
            version=int(raw["version"]),
            routes=tuple(map(_decode_route, raw.get("routes", ()))),
            services={service.name: service for service in services},
            max_body_bytes=int(limits.get("max_body_bytes", DEFAULT_BODY_BYTES)),
            tenants=tuple(map(_decode_tenant, raw.get("tenants") or ())),
        )
    except MALFORMED_ERRORS as error:
        raise DocumentError([Fault("$", f"no configuration: {error!r}")]) from None


def decode_wave(key: str, value: bytes) -> Wave:
    """Read the operator's request for a wave of maintenance.

    :param key: key of the row.
    :param value: the row.
    :raises DocumentError: when it has another form.
    """
    request = decode_document(value, _WaveRequest)
    try:
        number = (
            int(key.removeprefix(WAVE_PREFIX)) if request.wave is None else request.wave
        )
    except ValueError as error:
        raise DocumentError([Fault("$", f"no wave: {error}")]) from None
    return Wave(number, request.machines, request.duration_s, request.cap)


def encode_wave_status(number: int, complete: bool) -> tuple[RowId, bytes]:
    """Encode what the operator reads of a wave.

    :param number: number of the wave.
    :param complete: whether each of its VMs has begun or left.
    """
    state = "succeeded" if complete else "running"
    row = RowId(STATUS_TABLE, "", f"{WAVE_PREFIX}{number}")
    return row, orjson.dumps({"wave": number, "state": state})
