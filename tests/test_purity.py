"""Decision modules import no modules for I/O, clocks or random numbers."""

import ast
import pathlib

import pytest

from tests.conftest import ROOT

PACKAGE = ROOT / "src" / "onyxgap"
DECISION_MODULES = sorted(
    [
        *(PACKAGE / "fleet").glob("*.py"),
        *(PACKAGE / "jobs").glob("*.py"),
        *(PACKAGE / "pools").glob("*.py"),
        *(
            PACKAGE / "request" / name
            for name in (
                "catalogue.py",
                "identity.py",
                "link.py",
                "queue.py",
                "retries.py",
                "scheduling.py",
                "targets.py",
            )
        ),
        *(
            PACKAGE / "shared" / name
            for name in (
                "events.py",
                "membership.py",
                "records.py",
                "snapshots.py",
                "state.py",
            )
        ),
        PACKAGE / "manifest.py",
        PACKAGE / "verdict.py",
    ]
)
FORBIDDEN = {"anyio", "asyncio", "httpcore", "random", "socket", "thrift", "time"}
FORBIDDEN |= {"trio", "uvicorn"}


def list_imports(path: pathlib.Path) -> set[str]:
    """List the top-level packages of the absolute imports of a module."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and not node.level:
            names.add((node.module or "").partition(".")[0])
    return names


@pytest.mark.parametrize("path", DECISION_MODULES, ids=lambda path: path.stem)
def test_decision_module_imports_no_io(path: pathlib.Path) -> None:
    assert not list_imports(path) & FORBIDDEN
