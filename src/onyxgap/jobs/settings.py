"""Settings of a node, and the time limits of its deployment."""

import attrs

from ..settings import Address
from .store import StoreLimits


@attrs.frozen
class TimeLimits:
    """Time limits of the deployment, in seconds.

    :param max_lease_s: longest lease that a worker grants.
    :param stop_s: longest time that a run takes to stop.
    :param status_s: time for which the state of an ended job must stay readable.
    :param grace_s: time between the request to stop a process and its end.
    :param early_s: how early a scheduled occurrence may start.
    :param holder_pause_s: minimum time between two fleet controllers.
    :param move_s: time that a VM needs to join another pool.
    :param upkeep_s: time that the maintenance of a VM takes.
    :param notice_s: time after which a missing serving task counts as down.
    :param far_factor: slowdown of a task that runs far from its data (a factor).
    :param beat_s: interval at which a worker renews its registration.
    :param configuration_s: time within which a new configuration must be in force.
    """

    max_lease_s: float = 10.0
    stop_s: float = 0.4
    status_s: float = 120.0
    grace_s: float = 6.0
    early_s: float = 0.25
    holder_pause_s: float = 3.0
    move_s: float = 1.5
    upkeep_s: float = 2.0
    notice_s: float = 4.5
    far_factor: float = 1.5
    beat_s: float = 1.5
    configuration_s: float = 2.0


@attrs.frozen
class NodeSettings:
    """Settings of a node.

    :param node: unique name of the node.
    :param zone: availability zone.
    :param front: address on which callers' requests are served.
    :param ready: address on which readiness probes and metrics are served.
    :param store: ``host:port`` of the store.
    :param cloud: ``host:port`` of the VM API, ``-`` if there is none.
    :param advice: ``host:port`` of the policy service, ``-`` if there is none.
    :param peer_ports: first and last port for traffic between nodes.
    :param keyed: whether requests need a tenant's key, except on public queues.
    :param contended: whether callers may request more than the capacity; the node then
        applies fair sharing and admission control.
    :param limits: time limits of the deployment.
    :param store_limits: limits of the store on a write.
    :param memory_mb: memory that the node may use, in MB, 0 if not limited.
    :param max_fds: file descriptors that the node may use, 0 if not limited.
    """

    node: str
    zone: str
    front: Address
    ready: Address
    store: str
    cloud: str = "-"
    advice: str = "-"
    peer_ports: tuple[int, int] = (0, 0)
    keyed: bool = False
    contended: bool = False
    limits: TimeLimits = attrs.field(factory=TimeLimits)
    store_limits: StoreLimits = StoreLimits()
    memory_mb: int = 0
    max_fds: int = 0
