"""Values that decoders meet in rows of other writers: deeply nested, too large."""

import typing as t

import orjson

TOO_LARGE = 2**64 - 1
"""Largest integer that the JSON decoder takes; twice as much can't be encoded."""


class Nested(t.NamedTuple):
    """Arrays within each other.

    :param depth: how many.
    """

    depth: int


def nest(depth: int) -> Nested:
    """Return a value that :func:`encode_with` encodes as arrays within each other.

    :param depth: how many. The JSON decoder refuses more than 1,024; Python refuses to
        format somewhat fewer.
    """
    return Nested(depth)


def encode_with(valid: t.Mapping[str, t.Any], change: t.Mapping[str, t.Any]) -> bytes:
    """Encode a document with some changed or added fields.

    :param valid: the document.
    :param change: the fields; a :class:`Nested` value is written by its depth, as no
        encoder takes it.
    """
    fields = []
    for name, value in {**valid, **change}.items():
        if isinstance(value, Nested):
            text = b"[" * value.depth + b"]" * value.depth
        else:
            text = orjson.dumps(value)
        fields.append(orjson.dumps(name) + b":" + text)
    return b"{" + b",".join(fields) + b"}"
