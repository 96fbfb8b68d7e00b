"""Operators' commands, which print tables or JSON."""

import argparse
import contextlib
import json
import pathlib
import sys
import typing as t

import anyio
import attrs

from .. import operations
from ..adapters.platform_client import PlatformClient
from ..clocks import SystemClocks
from ..exceptions import DocumentError
from ..exceptions import Fault
from ..fleet.messages import PassInput
from ..fleet.messages import get_declared_pool
from ..fleet.observation import Observer
from ..fleet.pipe import list_pools
from ..fleet.pipe import plan_pass
from ..fleet.report import summarize_plan
from ..manifest import Manifest
from ..manifest import parse_manifest
from ..shared.events import encode_entry
from ..shared.state import FleetState

WAIT_POLL_S = 0.2


@contextlib.asynccontextmanager
async def connect(arguments: argparse.Namespace) -> t.AsyncIterator[PlatformClient]:
    """Connect to the platform for the duration of one command.

    :param arguments: parsed arguments.
    """
    client = PlatformClient(arguments.platform)
    try:
        yield client
    finally:
        await client.aclose()


def print_table(
    headings: t.Sequence[str], rows: t.Iterable[t.Sequence[object]]
) -> None:
    """Print a table with aligned columns.

    :param headings: headings of the columns.
    :param rows: cells of each row.
    """
    cells = [list(map(str, row)) for row in (headings, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip())


def _print_json(value: t.Any) -> None:
    print(json.dumps(value, indent=2, default=str))


def read_manifest(path: str) -> Manifest:
    """Read and check a manifest file.

    :param path: path of the file.
    :raises DocumentError: if it cannot be read or is invalid; lists every problem
        with its JSON path.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise DocumentError([Fault("$", f"cannot be read: {error.strerror}")]) from None
    return parse_manifest(text)


async def run_check(arguments: argparse.Namespace) -> int:
    """Check a manifest offline.

    :param arguments: parsed arguments.
    :returns: 0, or 2 if ``--json`` is given and the manifest is invalid.
    :raises DocumentError: if the manifest is invalid and ``--json`` is not given.
    """
    try:
        manifest = read_manifest(arguments.manifest)
    except DocumentError as error:
        if not arguments.json:
            raise
        _print_json({"faults": [attrs.asdict(fault) for fault in error.faults]})
        return 2
    if arguments.json:
        _print_json({"faults": []})
    else:
        pools, services = len(manifest.pools), len(manifest.services)
        print(f"{manifest.deployment}: {pools} pools, {services} services, no faults")
    return 0


async def run_apply(arguments: argparse.Namespace) -> int:
    """Apply a manifest; with ``--wait``, also wait for its roll-out.

    :param arguments: parsed arguments.
    :returns: 0, or 1 if no process is running or the roll-out does not end within
        ``--timeout-s``.
    :raises DocumentError: if the manifest is invalid.
    :raises ConflictError: if another version is current.
    """
    manifest = read_manifest(arguments.manifest)
    async with connect(arguments) as platform:
        version = await operations.apply_manifest(
            platform, manifest, arguments.author, arguments.if_version
        )
        if arguments.json:
            _print_json({"version": version})
        else:
            print(f"version {version} accepted")
        if not arguments.wait:
            return 0
        return await _wait_for_roll_out(platform, arguments.timeout_s)


async def _wait_for_roll_out(platform: PlatformClient, timeout_s: float) -> int:
    sequence = (await operations.load_state(platform)).sequence
    if not await operations.list_members(platform, sequence):
        print("no entry or control process is running", file=sys.stderr)
        return 1
    reported: set[str] | None = None
    with anyio.move_on_after(timeout_s):
        while True:
            lagging = await operations.list_lagging(platform, sequence)
            names = {item.name for item in lagging}
            if not names:
                print("applied by all entry processes")
                return 0
            if names != reported:
                print(f"waiting for {', '.join(sorted(names))}")
                reported = names
            await anyio.sleep(WAIT_POLL_S)
    for item in await operations.list_lagging(platform, sequence):
        reason = (
            f"{item.name} is {item.behind} journal entries behind"
            " and its member row has not expired"
        )
        print(reason, file=sys.stderr)
    return 1


async def run_status(arguments: argparse.Namespace) -> int:
    """Print the current version, the pools and how far each process is.

    :param arguments: parsed arguments.
    :returns: the exit code.
    """
    async with connect(arguments) as platform:
        state = await operations.load_state(platform)
        members = await operations.list_members(platform, state.sequence)
    pools = operations.summarize_pools(state)
    if arguments.json:
        _print_json(
            {
                "version": state.version,
                "sequence": state.sequence,
                "members": [attrs.asdict(member) for member in members],
                "pools": [attrs.asdict(pool) for pool in pools],
            }
        )
        return 0
    print(f"version {state.version} by {state.version_author}, entry {state.sequence}")
    print_table(
        ("POOL", "WANTED", "SERVING", "OUT", "BUDGET"),
        ((p.pool, p.wanted, p.serving, p.out, p.max_out) for p in pools),
    )
    print()
    print_table(
        ("MEMBER", "ROLE", "ZONE", "HTTP", "BEHIND"),
        ((m.name, m.role, m.zone, m.http, m.behind) for m in members),
    )
    return 0


async def _observe_fleet(platform: PlatformClient, state: FleetState) -> PassInput:
    vm_list = await platform.list_vms()
    now = anyio.current_time()
    # The command reads only one list, so one list without a VM makes it missing.
    observer = Observer(min_absences=1)
    observer.record_list(vm_list, state.vms.keys(), now)
    return PassInput(
        state=state,
        observation=observer.observe(now),
        wall=SystemClocks().read_wall(),
        min_applied_sequence=state.sequence,
        in_flight={},
    )


async def run_report(arguments: argparse.Namespace) -> int:
    """Print what cannot be reconciled and why, and the costs of the maintenance plan.

    :param arguments: parsed arguments.
    :returns: 1 if anything cannot be reconciled, else 0.
    """
    async with connect(arguments) as platform:
        state = await operations.load_state(platform)
        pass_input = await _observe_fleet(platform, state)
        listed = {task.attempt: task for task in await platform.list_tasks()}
    pool_plans = plan_pass(list_pools(state), pass_input, listed)
    reports = [report for pool_plan in pool_plans for report in pool_plan.reports]
    summary = summarize_plan(pass_input)
    if arguments.json:
        _print_json(
            {
                "reports": [attrs.asdict(report) for report in reports],
                "plan": attrs.asdict(summary),
            }
        )
    else:
        rows = [(r.finding.value, r.subject, r.reason) for r in reports]
        print_table(("FINDING", "SUBJECT", "REASON"), rows)
        print()
        for line in summary.render():
            print(line)
    return 1 if reports else 0


async def run_audit(arguments: argparse.Namespace) -> int:
    """Print the entries of the journal with their authors.

    :param arguments: parsed arguments.
    :returns: the exit code.
    """
    async with connect(arguments) as platform:
        entries = await operations.list_audit(platform)
    if arguments.json:
        _print_json([encode_entry(entry) for entry in entries])
        return 0
    print_table(
        ("ENTRY", "AT", "AUTHOR", "WHY", "EVENTS"),
        ((e.sequence, f"{e.at:.3f}", e.author, e.why, len(e.events)) for e in entries),
    )
    return 0


async def run_explain(arguments: argparse.Namespace) -> int:
    """Print the history of a VM, task, attempt or pool in order.

    :param arguments: parsed arguments.
    :returns: 0, or 1 if no journal entry mentions the subject.
    """
    async with connect(arguments) as platform:
        entries = await operations.list_audit(platform)
        state = await operations.load_state(platform)
    subject = arguments.subject
    lines = [
        (entry, event)
        for entry in entries
        for event in operations.list_related_events(entry, subject)
    ]
    if arguments.json:
        _print_json(
            [
                {
                    "entry": entry.sequence,
                    "at": entry.at,
                    "author": entry.author,
                    "why": entry.why,
                    "event": operations.describe_event(event),
                }
                for entry, event in lines
            ]
        )
        return 0
    for entry, event in lines:
        text = operations.describe_event(event)
        print(f"{entry.sequence:>6}  {entry.at:.3f}  {entry.author}: {text}")
    record = state.vms.get(subject)
    if record is not None:
        pool = get_declared_pool(state, record.pool)
        print(f"now {record.state.value} in {pool.name}: {record.reason}")
    return 0 if lines else 1
