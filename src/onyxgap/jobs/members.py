"""Cluster membership: the addresses and the VM size that each node registers."""

import typing as t

import attrs
import orjson

from ..exceptions import MALFORMED_ERRORS

SMALL_VM_RATIO = 0.6
"""A VM is small if it has less than this share of the memory of the largest one. VMs of
the same size differ by less. One with half the memory usually has half the processor
capacity, too."""


@attrs.frozen(slots=True)
class LostShard:
    """A shard that a process has lost to another owner.

    :param epoch: fencing token with which it owned the shard.
    :param ended_ms: upper bound of the store's clock in milliseconds when it stopped
        granting leases.
    """

    epoch: int
    ended_ms: int


@attrs.frozen(slots=True)
class Member:
    """A registered node.

    :param address: ``host:port`` for notices, or an empty string.
    :param memory_mb: memory of its VM in MB, 0 if unknown.
    :param call_address: ``host:port`` for forwarded calls, or an empty string.
    :param boot: unique ID of its process, empty if unknown.
    :param started_ms: upper bound of the store's clock in milliseconds when the process
        started, ``None`` if unknown.
    :param lost: shards that the process has lost, by name.
    :param version: version of the row, 0 if it was not read from the store.
    """

    address: str
    memory_mb: int = 0
    call_address: str = ""
    boot: str = ""
    started_ms: int | None = None
    lost: t.Mapping[str, LostShard] = attrs.field(factory=dict)
    version: int = 0


_NOT_STORED = attrs.filters.exclude(attrs.fields(Member).version)


def encode_member(member: Member) -> bytes:
    """Encode a member as the value of its row."""
    return orjson.dumps(attrs.asdict(member, filter=_NOT_STORED))


def decode_member(value: bytes, version: int = 0) -> Member:
    """Decode a member row, including rows that contain only the address.

    :param value: value of the row.
    :param version: version of the row.
    """
    try:
        raw = orjson.loads(value)
        started_ms = raw.get("started_ms")
        return Member(
            str(raw["address"]),
            int(raw["memory_mb"]),
            str(raw.get("call_address", "")),
            str(raw.get("boot", "")),
            None if started_ms is None else int(started_ms),
            {
                str(shard): LostShard(int(item["epoch"]), int(item["ended_ms"]))
                for shard, item in raw.get("lost", {}).items()
            },
            version,
        )
    except MALFORMED_ERRORS:
        return Member(value.decode("ascii", "replace"))


def is_small_vm(memory_mb: int, members: t.Iterable[Member]) -> bool:
    """Return whether a VM is much smaller than the largest one of all nodes.

    :param memory_mb: memory of the VM in MB, 0 if unknown.
    :param members: all nodes.
    """
    largest = max((member.memory_mb for member in members), default=0)
    return _is_small(memory_mb, largest)


def list_large_vm_nodes(node: str, members: t.Mapping[str, Member]) -> list[str]:
    """Return the other nodes that accept notices and whose VMs are not small.

    :param node: name of the node to exclude.
    :param members: all nodes by name.
    """
    largest = max((member.memory_mb for member in members.values()), default=0)
    return [
        name
        for name, member in members.items()
        if name != node and member.address and not _is_small(member.memory_mb, largest)
    ]


def _is_small(memory_mb: int, largest_mb: int) -> bool:
    return 0 < memory_mb < SMALL_VM_RATIO * largest_mb
