"""Rows that the emulated operator and workers write."""

import attrs
import orjson

from ...bounds import MAX_AMOUNT
from ...bounds import MAX_COUNT
from ...daemons.node_base import Decoders
from ...documents import decode_document
from ...documents import in_range
from ...jobs.amounts import Amount
from ...jobs.messages import WorkerEntry
from ...jobs.messages import WorkerState
from ...jobs.routing import Configuration
from ...jobs.routing import Service
from ...jobs.store import RowId
from ...jobs.tenants import Tenant
from ...jobs.tenants import digest_key
from ...pools.messages import Wave
from .cloud import WORKER_TABLE
from .route_history import add_advice
from .route_history import build_route

OPERATOR_TABLE = "operator"
STATUS_TABLE = "waves"
SPARE_POOL = "spare"


@attrs.frozen(slots=True)
class _Registration:
    """Registration row of an emulated worker, with the fields of its entry."""

    worker_id: str
    service: str
    address: str
    zone: str
    state: WorkerState
    cpu: int = attrs.field(validator=in_range(0, MAX_AMOUNT))
    memory_mb: int = attrs.field(validator=in_range(0, MAX_AMOUNT))
    accelerators: int = attrs.field(validator=in_range(0, MAX_AMOUNT))
    labels: tuple[str, ...]
    clock_ms: float = attrs.field(validator=in_range(-MAX_COUNT, MAX_COUNT))
    born: int = attrs.field(default=0, validator=in_range(-MAX_COUNT, MAX_COUNT))


def _decode_worker(key: str, value: bytes) -> WorkerEntry:
    registration = decode_document(value, _Registration)
    return WorkerEntry(**attrs.asdict(registration))


def _decode_configuration(value: bytes) -> Configuration:
    raw = orjson.loads(value)
    names, advice = raw.get("names", {}), raw.get("advice", {})
    routes = tuple(
        add_advice(build_route(prefix, service, names.get(prefix, "")), advice)
        for prefix, service in raw["routes"].items()
    )
    services = {pool: Service(pool, guarded) for pool, guarded in raw["pools"].items()}
    services[SPARE_POOL] = Service(SPARE_POOL, spare=True)
    tenants = tuple(
        Tenant(
            item["name"],
            tuple(digest_key(key.encode()) for key in item["keys"]),
            item["weight"],
            Amount(**item["cap"]),
        )
        for item in raw["tenants"]
    )
    return Configuration(raw["version"], routes, services, tenants=tenants)


def _decode_wave(key: str, value: bytes) -> Wave:
    raw = orjson.loads(value)
    return Wave(raw["number"], tuple(raw["vms"]), raw["duration_s"], raw["cap"])


def _encode_wave_status(number: int, complete: bool) -> tuple[RowId, bytes]:
    return RowId(STATUS_TABLE, "", str(number)), b"done" if complete else b"running"


DECODERS = Decoders(
    WORKER_TABLE,
    OPERATOR_TABLE,
    "configuration",
    "wave/",
    _decode_worker,
    _decode_configuration,
    _decode_wave,
    _encode_wave_status,
)
