"""Encodes configurations for the exchange between nodes, split into datagrams."""

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

MAX_PART_BYTES = 1_200
"""A part fits into one packet, so that a lost packet loses no other part."""
MAX_PARTS = 1_000
"""Limits the memory that a foreign datagram can make a node use."""


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration; it contains digests of keys, never the keys.

    :param configuration: the configuration.
    """
    return zlib.compress(orjson.dumps(attrs.asdict(configuration)))


def _build_route(raw: t.Mapping[str, t.Any]) -> Route:
    return Route(**{**raw, "policy": QueuePolicy(**raw["policy"])})


def _build_tenant(raw: t.Mapping[str, t.Any]) -> Tenant:
    digests = tuple(raw["key_digests"])
    return Tenant(**{**raw, "key_digests": digests, "cap": Amount(**raw["cap"])})


def decode_configuration(value: bytes) -> Configuration:
    """Decode a configuration.

    :param value: output of :func:`encode_configuration`.
    :raises DocumentError: if the value is malformed.
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
        raise DocumentError([Fault("$", f"not a configuration: {error!r}")]) from None


def split_content(content: bytes) -> list[bytes]:
    """Split an encoded configuration into parts that each fit into one datagram."""
    return [
        content[start : start + MAX_PART_BYTES]
        for start in range(0, len(content), MAX_PART_BYTES)
    ]


@attrs.define
class ConfigurationAssembler:
    """Assembles a configuration from parts that other nodes sent.

    Only parts of the newest version seen are kept. Parts of one version may come from
    several nodes, since all nodes encode a version identically.

    :param version: the newest version seen, 0 if none.
    """

    version: int = 0
    _parts: dict[int, bytes] = attrs.field(factory=dict)

    def add(self, part: ConfigurationPart) -> Configuration | None:
        """Add a part.

        :param part: the part.
        :returns: the configuration if the part completes it, else ``None``.
        :raises DocumentError: if the complete content is not a configuration.
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
