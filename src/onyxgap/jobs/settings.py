"""Settings of a node."""

import attrs

from ..settings import Address


@attrs.frozen
class TimeLimits:
    """Time limits of the deployment, in seconds.

    :param max_lease_s: longest lease that a worker grants.
    :param stop_s: longest time that a run takes to stop.
    :param status_s: how long the state of an ended job must stay readable.
    :param grace_s: time between the request to stop a process and its end.
    :param early_s: how much too early a scheduled occurrence may start.
    :param holder_pause_s: pause between two holders of the fleet duty.
    :param move_s: time that a VM needs to join another pool.
    :param upkeep_s: time that a VM needs for its maintenance.
    :param notice_s: time after which an absent serving task counts as away.
    :param far_factor: slowdown of a task away from its data.
    :param beat_s: time between two writes of a worker's registration.
    :param configuration_s: time within which a new configuration must be in force.
    """

    max_lease_s: float = 6.0
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

    :param node: unique name.
    :param zone: availability zone.
    :param front: address for callers.
    :param ready: address for readiness probes and metrics.
    :param store: ``host:port`` of the store.
    :param cloud: ``host:port`` of the interface to VMs, ``-`` where there is none.
    :param advice: ``host:port`` of the policy service, ``-`` where there is none.
    :param peer_ports: first and last port for other nodes.
    :param keyed: whether calls need a tenant's key, but on open queues.
    :param contended: whether callers may ask for more than there is room for, and the
        node is to weigh them against each other.
    :param limits: time limits of the deployment.
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
