"""The platform's words stay in its folder; data flows one way between packages."""

import ast
import pathlib
import re

import pytest

from tests.conftest import ROOT

PACKAGE = ROOT / "src" / "onyxgap"
NEW = ("jobs", "pools", "daemons", "standins/emulator")
PLATFORM_WORDS = re.compile(
    r"mem_mb|rows-|run-start|run-stop|path_prefix|fencing_token|acked_upto"
    r"|deadline_ms\"|Expected-Instance|next_token|machine-|admission_check"
)
MODULES = sorted(path for folder in NEW for path in (PACKAGE / folder).glob("*.py"))

# package, and the packages of the product that it may import
ALLOWED = {
    "jobs": {"jobs", "pools", ""},
    "pools": {"pools", ""},
    "platform": {"platform", "jobs", "pools", "adapters", ""},
}


def list_packages(path: pathlib.Path) -> set[str]:
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
def test_no_word_of_the_platform_outside_its_folder(path: pathlib.Path) -> None:
    assert not PLATFORM_WORDS.findall(path.read_text())


@pytest.mark.parametrize("package", ALLOWED)
def test_imports_go_one_way(package: str) -> None:
    for path in (PACKAGE / package).glob("*.py"):
        assert list_packages(path) <= ALLOWED[package], path


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_only_the_process_knows_the_platform(path: pathlib.Path) -> None:
    if path.stem != "node_process":
        assert "platform" not in list_packages(path)
