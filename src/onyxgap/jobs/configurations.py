"""The form in which nodes hand a configuration on to each other."""

import typing as t
import zlib

import attrs
import orjson

from ..exceptions import MALFORMED_ERRORS
from ..exceptions import DocumentError
from ..exceptions import Fault
from .amounts import Amount
from .messages import QueuePolicy
from .notices import ConfigurationPart
from .routing import Configuration
from .routing import Route
from .routing import Service
from .tenants import Tenant

PART_BYTES = 1_200
"""Fits a packet, so that one that gets lost takes no other with it."""
MAX_PARTS = 1_000
"""Bounds what a foreign datagram can have a node keep."""


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration; it holds digests of keys, never keys.

    :param configuration: the configuration.
    """
    return zlib.compress(orjson.dumps(attrs.asdict(configuration)))


def _build_route(raw: t.Mapping[str, t.Any]) -> Route:
    return Route(**{**raw, "policy": QueuePolicy(**raw["policy"])})


def _build_tenant(raw: t.Mapping[str, t.Any]) -> Tenant:
    digests = tuple(raw["key_digests"])
    return Tenant(**{**raw, "key_digests": digests, "cap": Amount(**raw["cap"])})


def decode_configuration(value: bytes) -> Configuration:
    """Read what :func:`encode_configuration` gave.

    :param value: the bytes.
    :raises DocumentError: when they are damaged.
    """
    try:
        raw = orjson.loads(zlib.decompress(value))
        services = {name: Service(**item) for name, item in raw["services"].items()}
        return Configuration(
            raw["version"],
            tuple(map(_build_route, raw["routes"])),
            services,
            raw["max_body_bytes"],
            tuple(map(_build_tenant, raw["tenants"])),
        )
    except (zlib.error, *MALFORMED_ERRORS) as error:
        raise DocumentError([Fault("$", f"no configuration: {error!r}")]) from None


def split_content(content: bytes) -> list[bytes]:
    """Split encoded bytes into parts that fit a datagram each."""
    return [
        content[start : start + PART_BYTES]
        for start in range(0, len(content), PART_BYTES)
    ]


@attrs.define
class Assembly:
    """Puts the parts of the newest version together that others sent.

    Parts of one version may come from several nodes, since all encode it alike.

    :param version: the version.
    """

    version: int = 0
    _parts: dict[int, bytes] = attrs.field(factory=dict)

    def add(self, part: ConfigurationPart) -> Configuration | None:
        """Take in a part; gives the configuration once it is complete.

        :param part: the part.
        :raises DocumentError: when the parts make no configuration.
        """
        if part.version < self.version or not 0 <= part.part < part.parts <= MAX_PARTS:
            return None
        if part.version > self.version:
            self.version, self._parts = part.version, {}
        self._parts[part.part] = part.content
        if len(self._parts) < part.parts:
            return None
        content = b"".join(self._parts[number] for number in sorted(self._parts))
        self._parts = {}
        return decode_configuration(content)
