"""Processors of a soak: which cores nodes may use, and what else is busy on them."""

import contextlib
import os
import subprocess
import sys
import typing as t

import attrs

BUSY_LOOP = "while True: pass"


@attrs.frozen
class CoreShare:
    """Cores that the nodes of a soak share with busy processes.

    :param node_cores: cores of the nodes; ``None`` for all cores, which they then share
        with the soak's own process.
    :param busy: number of busy processes on the cores of the nodes.
    """

    node_cores: frozenset[int] | None = None
    busy: int = 0

    def confine_node(self, pid: int) -> None:
        """Confine a node's process to its cores.

        :param pid: the process, as yet without threads.
        """
        if self.node_cores is not None:
            with contextlib.suppress(ProcessLookupError):
                os.sched_setaffinity(pid, self.node_cores)

    @contextlib.contextmanager
    def confine_soak(self) -> t.Iterator[None]:
        """Confine this process, in the context, to cores that no node uses."""
        if self.node_cores is None:
            yield
            return
        all_cores = os.sched_getaffinity(0)
        os.sched_setaffinity(0, all_cores - self.node_cores)
        try:
            yield
        finally:
            os.sched_setaffinity(0, all_cores)

    @contextlib.contextmanager
    def keep_busy(self) -> t.Iterator[None]:
        """Run the busy processes while the context is open."""
        processes = [
            subprocess.Popen([sys.executable, "-c", BUSY_LOOP])
            for _ in range(self.busy)
        ]
        try:
            for process in processes:
                self.confine_node(process.pid)
            yield
        finally:
            for process in processes:
                process.kill()
            for process in processes:
                process.wait()


def choose_core_share(node_cores: int, busy: int) -> CoreShare:
    """Choose the first cores of this process for the nodes.

    :param node_cores: number of cores for the nodes, 0 for all.
    :param busy: number of busy processes beside the nodes.
    :raises ValueError: if no core would be left for the soak's own process.
    """
    if not node_cores:
        return CoreShare(busy=busy)
    cores = sorted(os.sched_getaffinity(0))
    if node_cores >= len(cores):
        raise ValueError(f"{node_cores} of {len(cores)} cores for nodes leave none")
    return CoreShare(frozenset(cores[:node_cores]), busy)
