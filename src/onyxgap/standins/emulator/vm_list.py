"""The list of VMs as the platform answers it: true, old, or not at all."""

import enum
import typing as t

import anyio
import attrs

from ...exceptions import PlatformUnavailableError
from ...pools.messages import Vm

ANSWER_TIMEOUT_S = 1.0
"""Time after which a node gives up a call that is not answered."""


class ListState(enum.Enum):
    """How the platform answers requests for the list of VMs."""

    TRUE = "true"
    OLD = "old"
    """As it was when the fault began."""
    SILENT = "silent"
    REFUSED = "refused"


@attrs.define(eq=False)
class VmList:
    """The list of VMs, and what is wrong with it.

    :param vms: all VMs by name, as they are.
    :param state: how requests are answered.
    :param outages: how they are answered instead during faults of the whole interface.
    """

    vms: t.Mapping[str, Vm]
    state: ListState = ListState.TRUE
    outages: list[ListState] = attrs.field(factory=list)
    _snapshot: tuple[Vm, ...] = ()

    def set_state(self, state: ListState) -> None:
        """Change how requests are answered."""
        self._snapshot = tuple(self.vms.values())
        self.state = state

    async def answer(self) -> tuple[Vm, ...]:
        """Answer a request.

        :raises PlatformUnavailableError: when there is no answer, or a refusal.
        """
        state = self.outages[-1] if self.outages else self.state
        if state is ListState.SILENT:
            await anyio.sleep(ANSWER_TIMEOUT_S)
            raise PlatformUnavailableError("no answer")
        if state is ListState.REFUSED:
            raise PlatformUnavailableError("refused")
        if state is ListState.OLD:
            return self._snapshot
        return tuple(self.vms.values())
