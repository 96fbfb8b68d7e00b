"""Faults of the soak that need no processes to be tried."""

import types

import pytest

from bench.soak.__main__ import DAY
from bench.soak.day import SoakDay
from bench.soak.processes import RunningNode
from onyxgap.jobs import tables
from onyxgap.jobs.store import RowId
from onyxgap.jobs.store import StoredRow
from onyxgap.standins.emulator.fault_draws import draw_faults
from onyxgap.standins.emulator.fault_draws import draw_worker_deaths
from onyxgap.standins.emulator.script import load_script


def build_slot(name: str, rows: dict[RowId, StoredRow]) -> types.SimpleNamespace:
    """Build a slot whose running node is the one that the soak's faults look at.

    :param name: name of the node.
    :param rows: rows of the store.
    """
    day = types.SimpleNamespace(store=types.SimpleNamespace(rows=rows))
    slot = types.SimpleNamespace(name=name, day=day)
    slot.node = RunningNode(slot)  # type: ignore[arg-type]
    return slot


@pytest.mark.parametrize(
    ("target", "shard"), [("holder", tables.FLEET_SHARD), ("owner", "ring")]
)
def test_fault_of_an_owner_hits_the_process_that_owns_the_shard(
    target: str, shard: str
) -> None:
    row_id = RowId(tables.OWNER_TABLE, shard, "owner")
    value = tables.encode_owner(tables.OwnerRow("node-1", "boot", 1))
    rows = {row_id: StoredRow(row_id, value, 1)}
    day = SoakDay(load_script(DAY), 1)
    slots = [build_slot(f"node-{number}", rows) for number in range(3)]
    day.slots = slots  # type: ignore[assignment]
    assert day.find_slot(target, "ring") is slots[1]


def test_deaths_leave_the_other_faults_of_a_seed_as_they_are() -> None:
    script = draw_faults(load_script(DAY), 9100, 6, include_scripted=True)
    assert draw_worker_deaths(script, 9100, 0) == script
    both = draw_worker_deaths(script, 9100, 2)
    assert both.faults[:-4] == script.faults
    assert [item.target for item in both.faults[-4::2]] == ["list", "list"]
