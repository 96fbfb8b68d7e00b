"""Validation of manifests and settings: all faults are listed, with JSON paths."""

import json
import pathlib
import typing as t

import hypothesis
import pytest
from hypothesis import strategies

from onyxgap.cli.main import main
from onyxgap.exceptions import DocumentError
from onyxgap.manifest import join_chunks
from onyxgap.manifest import parse_manifest
from onyxgap.manifest import split_manifest
from onyxgap.manifest import structure_chunk
from onyxgap.settings import load_settings
from tests.conftest import EXAMPLES

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=12,
)
SETTINGS = hypothesis.settings(derandomize=True, max_examples=200, deadline=None)


def read_example() -> dict[str, t.Any]:
    text = (EXAMPLES / "pampa-lance" / "manifest.json").read_text()
    return t.cast(dict[str, t.Any], json.loads(text))


def collect_fault_paths(document: object) -> set[str]:
    with pytest.raises(DocumentError) as caught:
        parse_manifest(json.dumps(document))
    return {fault.path for fault in caught.value.faults}


def test_examples_are_valid() -> None:
    # compiling the examples leaves a folder of byte code beside them
    folders = [
        path
        for path in EXAMPLES.iterdir()
        if path.is_dir() and path.name != "__pycache__"
    ]
    assert len(folders) == 2
    for folder in folders:
        parse_manifest((folder / "manifest.json").read_bytes())
        for path in (folder / "settings").iterdir():
            load_settings(path)


def test_all_inconsistencies_are_listed() -> None:
    document = read_example()
    document["pools"][0]["zones"] = {"nowhere": 2}
    document["pools"][1]["max_out"] = 8
    document["pools"][3]["name"] = document["pools"][2]["name"]
    document["services"][0]["pool"] = "none"
    document["services"][1]["jobs"][0]["team"] = "none"
    document["tasks"][0]["cores"] = 4096
    document["teams"][0]["quotas"] = {"none": 1}
    assert collect_fault_paths(document) >= {
        "$.pools[0].zones.nowhere",
        "$.pools[1].max_out",
        "$.pools[3].name",
        "$.services[0].pool",
        "$.services[1].jobs[0].team",
        "$.tasks[0]",
        "$.teams[0].quotas.none",
    }


def test_all_invalid_values_are_listed() -> None:
    document = read_example()
    document["pools"][0]["slots"] = "8"
    document["pools"][1]["slots"] = 0
    document["services"][0]["jobs"][0]["priority"] = "high"
    document["services"][0]["jobs"][1]["idempotent"] = 1
    document["weights"]["moves"] = True
    paths = collect_fault_paths(document)
    assert "$.pools[0].slots" in paths
    assert any(path.startswith("$.pools[1]") for path in paths)
    assert "$.services[0].jobs[0].priority" in paths
    assert "$.services[0].jobs[1].idempotent" in paths
    assert "$.weights.moves" in paths


@pytest.mark.parametrize(
    "change",
    [{"format": 2}, {"poolz": []}, {"pools": None}, {"zones": [1]}],
    ids=lambda change: next(iter(change)),
)
def test_invalid_top_level_field_is_rejected(change: dict[str, t.Any]) -> None:
    assert collect_fault_paths({**read_example(), **change})


@SETTINGS
@hypothesis.given(JSON)
def test_nonsense_is_a_document_error(value: object) -> None:
    with pytest.raises(DocumentError):
        parse_manifest(json.dumps(value))


@SETTINGS
@hypothesis.given(strategies.binary(max_size=100))
def test_bytes_are_a_document_error(text: bytes) -> None:
    with pytest.raises(DocumentError):
        parse_manifest(text)


def test_ten_megabytes_of_open_brackets_are_rejected() -> None:
    with pytest.raises(DocumentError):
        parse_manifest("[" * 10_000_000)


@SETTINGS
@hypothesis.given(JSON, strategies.sampled_from(["pools", "services", "tasks"]))
def test_damaged_manifest_is_a_document_error(value: object, part: str) -> None:
    document = read_example()
    document[part][0] = value
    with pytest.raises(DocumentError):
        parse_manifest(json.dumps(document))


def test_manifest_round_trips_through_chunks() -> None:
    for name in ("pampa-lance", "leltar-pont"):
        manifest = parse_manifest((EXAMPLES / name / "manifest.json").read_bytes())
        chunks = split_manifest(manifest)
        structured = {name: structure_chunk(name, chunks[name]) for name in chunks}
        joined = join_chunks(structured)
        assert split_manifest(joined) == chunks


def test_check_prints_one_line_per_fault(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    document = read_example()
    document["pools"][0]["max_out"] = 8
    document["pools"][1]["max_out"] = 8
    path = tmp_path / "manifest.json"
    path.write_text(json.dumps(document))
    assert main(["check", str(path)]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert [line.partition(":")[0] for line in lines] == [
        "$.pools[0].max_out",
        "$.pools[1].max_out",
    ]


def test_invalid_settings_prevent_start(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "entry.json"
    path.write_text('{"member": 1, "zone": "a", "speed": 3}')
    assert main(["entry", "--settings", str(path)]) == 2
    err = capsys.readouterr().err
    assert "$.member: expected str" in err
    assert "speed" in err
    assert "platform" in err
    assert main(["entry", "--settings", str(tmp_path / "none.json")]) == 2
