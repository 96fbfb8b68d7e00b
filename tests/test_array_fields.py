"""Guards against a string or an object that is read as an array of names."""

import typing as t

import attrs
import orjson
import pytest

from onyxgap.documents import structure_document
from onyxgap.exceptions import DocumentError
from onyxgap.platform.registry import decode_wave
from onyxgap.platform.registry import decode_worker


@attrs.frozen
class _Lists:
    names: tuple[str, ...] = ()
    others: list[str] = attrs.field(factory=list)


NO_ARRAYS = ("nan", {"a": 1}, 5, True, None)


@pytest.mark.parametrize("field", ["names", "others"])
@pytest.mark.parametrize("value", NO_ARRAYS, ids=str)
def test_only_an_array_is_read_as_an_array(field: str, value: t.Any) -> None:
    assert structure_document({field: ["a", "b"]}, _Lists)
    with pytest.raises(DocumentError, match="expected an array"):
        structure_document({field: value}, _Lists)


def test_fault_of_an_item_names_its_position() -> None:
    with pytest.raises(DocumentError, match=r"\$\.names\[1\]: expected str, not 5"):
        structure_document({"names": ["a", 5]}, _Lists)


@pytest.mark.parametrize("value", NO_ARRAYS, ids=str)
def test_labels_of_a_worker_are_an_array(value: t.Any) -> None:
    raw = {"service": "ring", "address": "127.0.0.1:9", "labels": value}
    with pytest.raises(DocumentError):
        decode_worker("w", orjson.dumps(raw))


@pytest.mark.parametrize("value", NO_ARRAYS, ids=str)
def test_vms_of_a_wave_are_an_array(value: t.Any) -> None:
    with pytest.raises(DocumentError):
        decode_wave("wave/3", orjson.dumps({"wave": 3, "machines": value}))
