"""Names of the platform's interface stay in its package; imports go one way."""

import ast
import pathlib
import re

import pytest

from tests.conftest import ROOT

PACKAGE = ROOT / "src" / "onyxgap"
CHECKED_PACKAGES = ("jobs", "pools", "daemons", "standins/emulator")
PLATFORM_NAMES = re.compile(
    r"mem_mb|rows-|run-start|run-stop|path_prefix|fencing_token|acked_upto"
    r"|deadline_ms\"|Expected-Instance|next_token|machine-|admission_check"
)
MODULES = sorted(
    path for folder in CHECKED_PACKAGES for path in (PACKAGE / folder).glob("*.py")
)

# packages of onyxgap that each package may import; "" is the modules at its root
ALLOWED = {
    "jobs": {"jobs", "pools", ""},
    "pools": {"pools", ""},
    "platform": {"platform", "jobs", "pools", "adapters", ""},
}


def list_packages(path: pathlib.Path) -> set[str]:
    """List the packages of onyxgap that a module imports, "" for root modules."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level:
            base = path.parent
            for _ in range(node.level - 1):
                base = base.parent
            parts = (base / (node.module or "").replace(".", "/")).relative_to(PACKAGE)
            first = parts.parts[0] if parts.parts else ""
            found.add(first if (PACKAGE / first).is_dir() else "")
    return found


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_names_of_the_platform_stay_in_its_package(path: pathlib.Path) -> None:
    assert not PLATFORM_NAMES.findall(path.read_text())


@pytest.mark.parametrize("package", ALLOWED)
def test_imports_go_one_way(package: str) -> None:
    for path in (PACKAGE / package).glob("*.py"):
        assert list_packages(path) <= ALLOWED[package], path


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_only_node_process_imports_platform(path: pathlib.Path) -> None:
    if path.stem != "node_process":
        assert "platform" not in list_packages(path)


@pytest.mark.parametrize(
    "path", sorted((PACKAGE / "daemons").glob("*.py")), ids=lambda path: path.stem
)
def test_versions_of_jobs_are_decoded_in_one_place(path: pathlib.Path) -> None:
    decodes = re.findall(
        r"import (decode_row|decode_submission|decode_status)$", path.read_text(), re.M
    )
    assert not decodes or path.stem == "submission_decoder"
