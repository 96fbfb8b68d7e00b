"""Pytest plug-in that deselects tests with a known failure and prints them.

``KNOWN-RED.txt`` at the root lists them, one per line: the node ID of the test, then
what was observed. ``pytest --with-known-red`` runs them like all others.
"""

import pathlib

import pytest

KNOWN_FAILURES_FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_failures() -> dict[str, str]:
    """Read the list of known failures: lines by the node ID of the test."""
    if not KNOWN_FAILURES_FILE.exists():
        return {}
    lines = [
        line for line in KNOWN_FAILURES_FILE.read_text().splitlines() if line.strip()
    ]
    return {line.split()[0]: line for line in lines}


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--with-known-red", action="store_true", help="run the tests of KNOWN-RED.txt"
    )


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    if config.getoption("--with-known-red"):
        return
    known_failures = read_known_failures()
    deselected = [item for item in items if item.nodeid in known_failures]
    items[:] = [item for item in items if item.nodeid not in known_failures]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for line in read_known_failures().values():
        terminalreporter.write_line(f"not run, known failure: {line}")
