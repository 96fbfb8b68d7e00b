"""Lists of VMs, dead workers and refused writes as the soak's platform answers them."""

import typing as t

import anyio
import httpcore
import orjson
import pytest

from onyxgap.standins.emulator.cloud import EmulatedCloud
from onyxgap.standins.emulator.vm_list import ListState
from tests.soak_platform import VM_NAME
from tests.soak_platform import Platform
from tests.soak_platform import run_with_platform


def test_refused_vm_list_is_answered_with_503() -> None:
    async def play(platform: Platform) -> None:
        platform.cloud.vm_list.set_state(ListState.REFUSED)
        assert (await platform.call("GET", "/machines")).status == 503

    run_with_platform(play)


def test_silent_vm_list_is_held_open_without_an_answer() -> None:
    async def play(platform: Platform) -> None:
        platform.cloud.vm_list.set_state(ListState.SILENT)
        with pytest.raises(httpcore.ReadTimeout):
            await platform.call("GET", "/machines")

    run_with_platform(play)


def test_old_vm_list_shows_what_it_showed_when_the_fault_began() -> None:
    async def play(platform: Platform) -> None:
        platform.cloud.vm_list.set_state(ListState.OLD)
        platform.cloud.vms["ring-1"] = platform.cloud.vms[VM_NAME]
        assert await platform.list_vm_names() == [VM_NAME]
        platform.cloud.vm_list.set_state(ListState.TRUE)
        assert len(await platform.list_vm_names()) == 2

    run_with_platform(play)


def test_call_to_a_worker_without_power_is_held_open() -> None:
    async def play(platform: Platform) -> None:
        assert (await platform.hold()).status == 200
        platform.cloud.halt(VM_NAME, 60.0)
        with pytest.raises(httpcore.ReadTimeout):
            await platform.hold()

    run_with_platform(play)


def test_call_in_progress_is_held_open_once_its_worker_has_no_power() -> None:
    async def play(platform: Platform) -> None:
        async with anyio.create_task_group() as group:

            async def halt() -> None:
                await anyio.sleep(0.2)
                platform.cloud.halt(VM_NAME, 60.0)

            group.start_soon(halt)
            with pytest.raises(httpcore.ReadTimeout):
                await platform.hold(wait_ms=1000)

    run_with_platform(play)


def end_worker(cloud: EmulatedCloud) -> None:
    cloud.end_worker(VM_NAME, 60.0)


def crash_vm(cloud: EmulatedCloud) -> None:
    cloud.crash(VM_NAME, 60.0)


@pytest.mark.parametrize("end", [end_worker, crash_vm])
def test_call_to_a_worker_whose_process_has_ended_is_reset(
    end: t.Callable[[EmulatedCloud], None],
) -> None:
    async def play(platform: Platform) -> None:
        end(platform.cloud)
        with pytest.raises((httpcore.NetworkError, httpcore.RemoteProtocolError)):
            await platform.hold()

    run_with_platform(play)


def test_ended_worker_is_listed_on_a_vm_that_is_up() -> None:
    async def play(platform: Platform) -> None:
        end_worker(platform.cloud)
        response = await platform.call("GET", "/machines")
        listed = orjson.loads(response.content)["machines"][0]
        assert (listed["state"], listed["id"]) == ("up", platform.worker_id)

    run_with_platform(play)


def test_refused_write_is_answered_with_503_and_reads_go_on() -> None:
    async def play(platform: Platform) -> None:
        platform.store.refusing_writes.add("node-0")
        refused = await platform.call("POST", "/rows-tx", {"puts": []})
        assert refused.status == 503
        read = await platform.call("GET", "/rows-get?table=workers&part=")
        assert read.status == 200

    run_with_platform(play)
