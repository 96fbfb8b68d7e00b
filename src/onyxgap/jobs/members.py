"""What nodes tell of themselves: address for notices, and how large their VM is."""

import typing as t

import attrs
import orjson

from ..exceptions import MALFORMED_ERRORS

WEAK_SHARE = 0.6
"""A node with less of the largest VM's memory is weak: VMs of one size differ by less,
and one of half the memory mostly has half the processor, too."""


@attrs.frozen(slots=True)
class Member:
    """A node as it registered itself.

    :param address: ``host:port`` for notices, or empty.
    :param memory_mb: memory of its VM in MB, 0 where it is not known.
    :param call_address: ``host:port`` for calls that others pass on, or empty.
    """

    address: str
    memory_mb: int = 0
    call_address: str = ""


def encode_member(member: Member) -> bytes:
    """Encode a member for its row."""
    return orjson.dumps(attrs.asdict(member))


def decode_member(value: bytes) -> Member:
    """Read a member's row; one that holds only the address is taken as well."""
    try:
        raw = orjson.loads(value)
        return Member(
            str(raw["address"]),
            int(raw["memory_mb"]),
            str(raw.get("call_address", "")),
        )
    except MALFORMED_ERRORS:
        return Member(value.decode("ascii", "replace"))


def is_weak(memory_mb: int, members: t.Iterable[Member]) -> bool:
    """Tell whether a node's VM is much smaller than the largest one.

    :param memory_mb: memory of its VM, 0 where it is not known.
    :param members: all nodes.
    """
    largest = max((member.memory_mb for member in members), default=0)
    return _is_small(memory_mb, largest)


def list_stronger(node: str, members: t.Mapping[str, Member]) -> list[str]:
    """List the other nodes whose VMs are not much smaller than the largest one.

    :param node: the node that is left out.
    :param members: all nodes.
    """
    largest = max((member.memory_mb for member in members.values()), default=0)
    return [
        name
        for name, member in members.items()
        if name != node and member.address and not _is_small(member.memory_mb, largest)
    ]


def _is_small(memory_mb: int, largest_mb: int) -> bool:
    return 0 < memory_mb < WEAK_SHARE * largest_mb
