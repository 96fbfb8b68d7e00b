"""What the start of a node's process costs: many start at once on few processors."""

import importlib.util
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tomllib

import pytest

from bench.soak.bytecode import compile_package
from tests.conftest import ROOT

BUILD = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
COMPILE_COMMANDS = re.findall(r"python3 -m compileall [^;&)]*", BUILD)
"""The parts of the build that compile what a node imports."""
LIST_COMPILED = """
import sys, importlib._bootstrap_external as external
from importlib.machinery import SourceFileLoader

compiled = []
original = SourceFileLoader.source_to_code

def source_to_code(self, data, path, **options):
    compiled.append(path)
    return original(self, data, path, **options)

SourceFileLoader.source_to_code = source_to_code
import onyxgap.cli.nodes, {module}
print("\\n".join(path for path in compiled if {folder!r} in path))
"""
CHECKED_HASH_FLAGS = bytes([3, 0, 0, 0])
"""Flags in the header of bytecode that is checked by the hash of its source."""
NODE_MODULE = "onyxgap.daemons.node_process"
UNUSED_PACKAGES = {"prometheus_client", "wsgiref", "lark", "matplotlib", "hypothesis"}
"""Packages that a node does not use before its first tasks have started."""


def run_python(program: str, path: pathlib.Path, write_bytecode: bool) -> str:
    environment = {**os.environ, "PYTHONPATH": str(path)}
    environment["PYTHONDONTWRITEBYTECODE"] = "" if write_bytecode else "1"
    result = subprocess.run(
        [sys.executable, "-c", program],
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )
    return result.stdout.strip()


@pytest.fixture
def built_tree(tmp_path: pathlib.Path) -> pathlib.Path:
    """Copy the sources and run the parts of the build that compile them."""
    tree = tmp_path / "built"
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "src", tree / "src", ignore=ignored)
    (tree / "target" / "deps").mkdir(parents=True)
    (tree / "target" / "deps" / "dependency.py").write_text("VALUE = 1\n")
    for command in COMPILE_COMMANDS:
        arguments = command.split()[1:]
        subprocess.run([sys.executable, *arguments], check=True, cwd=tree)
    return tree


@pytest.mark.parametrize(
    ("folder", "module"), [("src", NODE_MODULE), ("target/deps", "dependency")]
)
def test_node_compiles_nothing_after_its_tree_was_copied_without_file_times(
    built_tree: pathlib.Path, folder: str, module: str
) -> None:
    copy = built_tree.with_name("copy")
    shutil.copytree(built_tree, copy, copy_function=shutil.copyfile)
    for path in copy.rglob("*.py"):
        os.utime(path, (1_000_000_000, 1_000_000_000))
    program = LIST_COMPILED.format(module=module, folder=str(copy / folder))
    assert run_python(program, copy / folder, write_bytecode=False) == ""


def test_start_of_a_node_imports_no_package_that_it_uses_later() -> None:
    program = f"""
import sys
import onyxgap.cli.nodes, {NODE_MODULE}
print("\\n".join({{name.partition(".")[0] for name in sys.modules}}))
"""
    imported = set(run_python(program, ROOT / "src", True).splitlines())
    assert not imported & UNUSED_PACKAGES


def test_soak_leaves_bytecode_that_is_checked_by_the_hash_of_its_source(
    tmp_path: pathlib.Path,
) -> None:
    source = tmp_path / "module.py"
    source.write_text("VALUE = 1\n")
    compile_package(tmp_path)
    header = pathlib.Path(importlib.util.cache_from_source(str(source))).read_bytes()
    assert header[4:8] == CHECKED_HASH_FLAGS


def test_soak_does_not_play_a_package_that_cannot_be_compiled(
    tmp_path: pathlib.Path,
) -> None:
    (tmp_path / "module.py").write_text("VALUE =\n")
    with pytest.raises(RuntimeError):
        compile_package(tmp_path)
