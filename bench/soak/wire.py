"""Translates between the emulator's rows and what the platform speaks."""

import base64
import typing as t

import orjson

from onyxgap.jobs.messages import EndedTask
from onyxgap.jobs.messages import RunningTask
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.messages import parse_task_id
from onyxgap.jobs.store import Batch
from onyxgap.jobs.store import RowId
from onyxgap.jobs.store import StoredRow
from onyxgap.jobs.workers import HoldOrder
from onyxgap.jobs.workers import HoldReport
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import StartOrder
from onyxgap.jobs.workers import StopOrder
from onyxgap.platform import registry
from onyxgap.pools.messages import Vm
from onyxgap.pools.messages import VmActionKind
from onyxgap.pools.messages import VmOrder
from onyxgap.standins.emulator.cloud import WORKER_TABLE
from onyxgap.standins.emulator.route_history import build_route
from onyxgap.standins.emulator.rows import OPERATOR_TABLE
from onyxgap.standins.emulator.rows import SPARE_POOL

Json = dict[str, t.Any]

TABLES = {
    registry.WORKER_TABLE: WORKER_TABLE,
    registry.OPERATOR_TABLE: OPERATOR_TABLE,
}
"""Tables of the platform, and what the emulator calls them."""
REPLIES = {
    ReplyKind.DONE: (200, ""),
    ReplyKind.STALE_OWNER: (409, "fence"),
    ReplyKind.STALE_RUN: (409, "old"),
    ReplyKind.TOO_LATE: (409, "late"),
    ReplyKind.NO_ROOM: (409, "room"),
    ReplyKind.NO_TICKET: (409, "ticket"),
    ReplyKind.OTHER_WORKER: (421, ""),
}
"""Status and reason of a worker's reply; any other has none."""
STEP_FIELDS = {"memory_mb": "mem_mb", "accelerators": "gpu"}
"""Fields of a step that the platform calls otherwise."""


def read_table(name: str) -> str:
    """Read the name of a table of the platform as the emulator calls it."""
    return TABLES.get(name, name)


def read_row_id(raw: Json) -> RowId:
    """Read the identity of a row."""
    return RowId(read_table(raw["table"]), raw.get("part", ""), raw["key"])


def read_batch(raw: Json) -> Batch:
    """Read a transaction."""
    return Batch(
        {read_row_id(item): item["ver"] for item in raw.get("expected", ())},
        {
            read_row_id(item): base64.b64decode(item["value"])
            for item in raw.get("puts", ())
        },
        tuple(read_row_id(item) for item in raw.get("remove", ())),
        bool(raw.get("across", False)),
    )


def is_written_by_emulator(value: bytes) -> bool:
    """Tell whether a registration is in the format of the emulator.

    Others are passed on unchanged.

    :param value: the registration.
    """
    return b'"worker_id"' in value


def write_row(row: StoredRow, table: str, worker_address: str) -> Json:
    """Write a row as the platform does.

    :param row: the row.
    :param table: name of its table as it was asked for.
    :param worker_address: where all workers listen.
    """
    key, value = row.row_id.key, row.value
    if table == registry.OPERATOR_TABLE and key == "configuration":
        key, value = registry.CONFIGURATION_KEY, _write_configuration(value)
    elif table == registry.OPERATOR_TABLE and value:
        value = _write_wave(value)
    elif table == registry.WORKER_TABLE and is_written_by_emulator(value):
        value = _write_worker(value, worker_address)
    return {
        "table": table,
        "part": row.row_id.part,
        "key": key,
        "value": base64.b64encode(value).decode(),
        "ver": row.version,
        "deleted": row.removed,
    }


def _write_worker(value: bytes, address: str) -> bytes:
    raw = orjson.loads(value)
    return orjson.dumps(
        {
            "service": raw["service"],
            "address": address,
            "zone": raw["zone"],
            "state": raw["state"],
            "capacity": {"cpu": raw["cpu"], "mem_mb": raw["memory_mb"]},
            "labels": raw["labels"],
            "clock_ms": raw["clock_ms"],
            "born": raw["born"],
        }
    )


def _write_wave(value: bytes) -> bytes:
    raw = orjson.loads(value)
    return orjson.dumps(
        {
            "wave": raw["number"],
            "machines": raw["vms"],
            "duration_s": raw["duration_s"],
            "cap": raw["cap"],
        }
    )


def _write_configuration(value: bytes) -> bytes:
    raw = orjson.loads(value)
    routes = []
    for prefix, service in raw["routes"].items():
        route = build_route(prefix, service, raw.get("names", {}).get(prefix, ""))
        policy = route.policy
        routes.append(
            {
                "name": policy.queue,
                "host": route.host,
                "path_prefix": prefix,
                "service": service,
                "max_attempts": policy.max_attempts,
                "stretch": policy.stretch,
                "slo_ms": policy.slo_ms,
                "public": route.public,
                "advice": raw.get("advice", {}).get(service),
            }
        )
    services: list[Json] = [
        {"name": pool, "admission_check": guarded}
        for pool, guarded in raw["pools"].items()
    ]
    services.append({"name": SPARE_POOL, "spare": True})
    tenants = [
        {
            "name": item["name"],
            "api_keys": item["keys"],
            "weight": item["weight"],
            "cap": {"cpu": item["cap"]["cpu"], "mem_mb": item["cap"]["memory_mb"]},
        }
        for item in raw["tenants"]
    ]
    return orjson.dumps(
        {
            "version": raw["version"],
            "routes": routes,
            "services": services,
            "tenants": tenants,
        }
    )


def write_job(submission: Submission) -> Json:
    """Write a submission's body."""
    steps = []
    for step in submission.steps:
        raw = {
            "count": step.count,
            "cpu": step.cpu,
            "memory_mb": step.memory_mb,
            "estimate_ms": step.estimate_ms,
            "after": list(step.after),
            "checkpointing": step.checkpointing,
            "anti_affinity": step.anti_affinity,
            "long_running": step.long_running,
            "may_miss": step.may_miss,
        }
        steps.append(
            {STEP_FIELDS.get(name, name): item for name, item in raw.items() if item}
        )
    schedule = {
        "times": submission.times,
        "start_at_ms": submission.start_at_ms,
        "interval_ms": submission.interval_ms,
    }
    timed = {name: value for name, value in schedule.items() if value}
    return {"spec": submission.spec, "steps": steps, **timed}


def read_start(worker_id: str, raw: Json) -> StartOrder:
    """Read an order to start."""
    return StartOrder(
        worker_id,
        "",
        parse_task_id(raw["task"]),
        raw["run"],
        raw["spec"],
        raw["deadline_ms"],
        raw["fencing_token"],
        raw.get("checkpoint", ""),
        raw.get("ticket", ""),
    )


def read_stop(worker_id: str, raw: Json) -> StopOrder:
    """Read an order to stop."""
    task = parse_task_id(raw["task"])
    return StopOrder(worker_id, "", task, raw["run"], raw["fencing_token"])


def read_hold(worker_id: str, raw: Json) -> HoldOrder:
    """Read an order to hold."""
    return HoldOrder(
        worker_id,
        "",
        raw["fencing_token"],
        raw["acked_upto"],
        raw.get("deadline_ms"),
        raw.get("wait_ms", 0),
    )


def write_reply(reply: Reply) -> tuple[int, Json] | None:
    """Write a worker's reply; ``None`` where it gives none."""
    if reply.kind not in REPLIES:
        return None
    status, reason = REPLIES[reply.kind]
    return status, {"clock_ms": round(reply.clock_ms or 0), "reason": reason}


def write_report(report: HoldReport) -> Json:
    """Write a worker's lists."""
    return {
        "clock_ms": round(report.clock_ms),
        "running": list(map(_write_running, report.running)),
        "ended": list(map(_write_ended, report.ended)),
        "born": report.born,
    }


def _write_running(item: RunningTask) -> list[t.Any]:
    return [str(item.task), item.run, item.checkpoint, item.percent, item.measurement]


def _write_ended(item: EndedTask) -> list[t.Any]:
    return [item.sequence, str(item.task), item.run, item.kind.value, item.checkpoint]


def write_vm(vm: Vm) -> Json:
    """Write a VM of the list."""
    return {
        "machine": vm.name,
        "pool": vm.pool,
        "state": vm.state.value,
        "zone": vm.zone,
        "labels": ["a", vm.rack],
        "capacity": {"cpu": vm.cpu, "mem_mb": vm.memory_mb},
        "id": vm.worker_id,
    }


def read_vm_order(path: str, raw: Json) -> VmOrder:
    """Read an order about a VM."""
    if path == "/machine-upkeep":
        return VmOrder(raw["machine"], VmActionKind.UPKEEP, wave=int(raw["wave"]))
    return VmOrder(raw["machine"], VmActionKind.MOVE, pool=raw["pool"])
