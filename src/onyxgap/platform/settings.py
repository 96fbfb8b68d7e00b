"""Reads and checks the platform's settings file of a node."""

import pathlib
import typing as t

from ..exceptions import DocumentError
from ..exceptions import Fault
from ..jobs.settings import NodeSettings
from ..jobs.settings import TimeLimits
from ..jobs.store import StoreLimits
from ..settings import Address
from ..settings import parse_address

SETTINGS_PATH_VARIABLE = "ONYXGAP_CONFIG"
"""Environment variable with the path of the settings file."""
SUPPORTED_CONTROL_MODE = "invoke"
TENANTS_CONTRACT = "tenants"
"""Value of ``contracts`` under which calls need a tenant's key."""
CONTENTION_CONTRACT = "pressure"
"""Value of ``contracts`` under which callers compete for capacity."""


def _parse_lines(text: str) -> dict[str, str]:
    values = {}
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator:
            values[key.strip()] = value.strip()
    return values


class _SettingsReader:
    """Parses values by key and collects the faults of the file."""

    def __init__(self, values: t.Mapping[str, str]) -> None:
        self.values = values
        self.faults: list[Fault] = []

    def read(
        self, key: str, parse: t.Callable[[str], t.Any], default: t.Any = None
    ) -> t.Any:
        text = self.values.get(key, "")
        if not text:
            if default is None:
                self.faults.append(Fault(key, "required key is missing"))
            return default
        try:
            return parse(text)
        except ValueError:
            self.faults.append(Fault(key, f"invalid value: {text[:40]!r}"))
            return default

    def read_ms(self, key: str, default_s: float) -> float:
        value: float = self.read(key, lambda text: float(text) / 1000, default_s)
        return value

    def read_s(self, key: str, default_s: float) -> float:
        value: float = self.read(key, float, default_s)
        return value


def _parse_ports(text: str) -> tuple[int, int]:
    first, last = text.split(",")
    return int(first), int(last)


def _parse_limit(text: str) -> int:
    limit = int(text)
    if limit < 0:
        raise ValueError
    return limit


def _split_list(text: str) -> tuple[str, ...]:
    return tuple(text.split(","))


def _read_limits(reader: _SettingsReader) -> TimeLimits:
    return TimeLimits(
        max_lease_s=reader.read_ms("bounds.max_hold_ms", 10.0),
        stop_s=reader.read_ms("bounds.stop_ms", 0.4),
        status_s=reader.read_s("bounds.status_s", 120.0),
        grace_s=reader.read_s("bounds.grace_s", 6.0),
        early_s=reader.read_ms("bounds.early_ms", 0.25),
        holder_pause_s=reader.read_ms("bounds.lease_ms", 3.0),
        move_s=reader.read_s("bounds.move_s", 1.5),
        upkeep_s=reader.read_s("bounds.upkeep_s", 2.0),
        notice_s=reader.read_ms("bounds.notice_ms", 4.5),
        far_factor=reader.read_s("bounds.far_x", 1.5),
        beat_s=reader.read_ms("heartbeat_ms", 1.5),
        configuration_s=reader.read_ms("bounds.config_apply_ms", 2.0),
    )


def read_settings(text: str) -> NodeSettings:
    """Parse and check the text of a settings file.

    :param text: lines of the form ``a.b=value``; unknown keys are ignored.
    :raises DocumentError: with all faults of the file.
    """
    reader = _SettingsReader(_parse_lines(text))
    control = reader.read("control_mode", str, SUPPORTED_CONTROL_MODE)
    if control != SUPPORTED_CONTROL_MODE:
        reader.faults.append(Fault("control_mode", f"{control!r} is not supported"))
    contracts = reader.read("contracts", _split_list, ())
    ports = reader.read("port_range", _parse_ports, (0, 0))
    settings = NodeSettings(
        node=reader.read("node", str),
        zone=reader.read("zone", str, "-"),
        front=reader.read("listen.front", parse_address, Address()),
        ready=reader.read("listen.ready", parse_address, Address()),
        store=reader.read("platform.address", str),
        cloud=reader.read("cloud.address", str, "-"),
        advice=reader.read("advice", str, "-"),
        peer_ports=ports,
        keyed=TENANTS_CONTRACT in contracts,
        contended=CONTENTION_CONTRACT in contracts,
        limits=_read_limits(reader),
        store_limits=StoreLimits(
            row_bytes=reader.read("platform.row_bytes", int, StoreLimits().row_bytes)
        ),
        memory_mb=reader.read("limits.memory_mb", _parse_limit, 0),
        max_fds=reader.read("limits.max_fds", _parse_limit, 0),
    )
    for key in ("listen.front", "listen.ready"):
        if key not in reader.values:
            reader.faults.append(Fault(key, "required key is missing"))
    if reader.faults:
        raise DocumentError(reader.faults)
    return settings


def load_settings(path: str | pathlib.Path) -> NodeSettings:
    """Read and check a settings file.

    :param path: path of the file.
    :raises DocumentError: with all faults, or when the file cannot be read.
    """
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise DocumentError([Fault("$", f"cannot be read: {error.strerror}")]) from None
    return read_settings(text)
