"""Reads the manifest and fleet of an example."""

import pathlib

from ..manifest import Manifest
from ..manifest import parse_manifest
from ..ports import ListedVm
from .platform_server import load_fleet


def load_example(folder: pathlib.Path) -> tuple[Manifest, dict[str, ListedVm]]:
    """Read the manifest and the fleet of an example.

    :param folder: its folder.
    """
    manifest = parse_manifest((folder / "manifest.json").read_bytes())
    return manifest, load_fleet((folder / "fleet.json").read_bytes())
