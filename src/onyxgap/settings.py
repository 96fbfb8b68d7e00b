"""Settings of a process, loaded from a JSON file and validated."""

import pathlib

import attrs

from . import defaults
from .documents import in_range
from .documents import parse_json
from .documents import structure_document
from .exceptions import DocumentError
from .exceptions import Fault


@attrs.frozen
class Address:
    """A TCP address.

    :param host: IP address.
    :param port: port; 0 lets the operating system choose.
    """

    host: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=in_range(0, 65535))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``host:port``.

    :param text: the address.
    :raises ValueError: if the port is not a number or out of range.
    """
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


@attrs.frozen
class Settings:
    """Settings of an entry or control process.

    :param member: unique name of the process.
    :param zone: availability zone it runs in.
    :param platform: address of the platform API.
    :param peer: address for connections from other processes of the deployment.
    :param http: HTTP address: of an entry process for callers, of a control process
        for metrics and health checks.
    :param stop_grace_s: seconds that a planned stop waits for running requests.
    :param lame_duck_s: seconds between reporting not ready and closing the listener.
    :param poll_interval_s: seconds between two polls of the journal.
    :param drain_grace_s: seconds that a VM may take to drain.
    :param log_level: lowest level that is logged.
    """

    member: str
    zone: str
    platform: Address
    peer: Address = attrs.field(factory=Address)
    http: Address = attrs.field(factory=Address)
    stop_grace_s: float = attrs.field(
        default=defaults.STOP_GRACE_S, validator=in_range(0, 3600)
    )
    lame_duck_s: float = attrs.field(
        default=defaults.LAME_DUCK_S, validator=in_range(0, 300)
    )
    poll_interval_s: float = attrs.field(
        default=defaults.POLL_INTERVAL_S, validator=in_range(0.05, 5)
    )
    drain_grace_s: float = attrs.field(
        default=defaults.DRAIN_GRACE_S, validator=in_range(0, 3600)
    )
    log_level: str = attrs.field(default="info")

    @log_level.validator
    def _check_log_level(self, _: object, value: str) -> None:
        if value not in ("debug", "info", "warning", "error"):
            raise ValueError("log_level must be debug, info, warning or error")


def load_settings(path: str | pathlib.Path) -> Settings:
    """Load and validate a settings file.

    :param path: path of the file.
    :raises DocumentError: listing every fault with its JSON path.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise DocumentError([Fault("$", f"cannot be read: {error.strerror}")]) from None
    return structure_document(parse_json(text), Settings)
