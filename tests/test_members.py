"""Tests the membership rows of nodes, and that large VMs claim shards first."""

import pytest

from onyxgap.jobs.members import Member
from onyxgap.jobs.members import decode_member
from onyxgap.jobs.members import encode_member
from onyxgap.jobs.members import is_small_vm
from onyxgap.jobs.ownership import Claimant
from onyxgap.jobs.ownership import OwnerView
from onyxgap.jobs.ownership import get_claim_time
from onyxgap.jobs.tables import OwnerRow


def test_encoded_member_decodes_to_the_same_member() -> None:
    member = Member("10.0.0.1:7000", 552)
    assert decode_member(encode_member(member)) == member


@pytest.mark.parametrize("value", [b"10.0.0.1:7000", b"[]", b"{}", b"", b"\xff"])
def test_malformed_row_has_unknown_memory(value: bytes) -> None:
    assert decode_member(value).memory_mb == 0


def test_row_with_only_an_address_is_decoded() -> None:
    assert decode_member(b"10.0.0.1:7000") == Member("10.0.0.1:7000")


@pytest.mark.parametrize(
    ("memory_mb", "others", "weak"),
    [
        (200, (200, 552), True),
        (552, (200, 552), False),
        (300, (300, 300), False),
        (0, (200, 552), False),
        (200, (), False),
        (400, (552, 400), False),
    ],
)
def test_vm_is_small_relative_to_the_largest_one(
    memory_mb: int, others: tuple[int, ...], weak: bool
) -> None:
    members = [Member("", size) for size in others]
    assert is_small_vm(memory_mb, members) is weak


@pytest.mark.parametrize("seed", range(50))
def test_large_vm_claims_before_a_small_one(seed: int) -> None:
    row = OwnerRow("node-1", "boot-1", 3)
    view = OwnerView(row, 7, 100.0)
    times = [
        get_claim_time(
            view,
            "shard",
            Claimant(name, f"{name}/{seed}", 0, small_vm=small_vm),
            0.0,
            101.0,
        )
        for name, small_vm in (("large", False), ("small", True))
    ]
    assert times[0] < times[1]
