"""Checked reading of JSON documents into attrs classes, every fault at once."""

import enum
import json
import typing as t

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

from .exceptions import DocumentError
from .exceptions import Fault

T = t.TypeVar("T")


def _require_exact(kind: type) -> t.Callable[[object, type], object]:
    def structure(value: object, _: type) -> object:
        if type(value) is not kind:
            raise ValueError(f"expected {kind.__name__}, not {json.dumps(value)[:40]}")
        return value

    return structure


def _structure_float(value: object, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected number, not {json.dumps(value)[:40]}")
    return float(value)


def _structure_enum(value: object, kind: type[enum.Enum]) -> enum.Enum:
    members = {member.value: member for member in kind}
    try:
        return members[value]
    except (KeyError, TypeError):
        allowed = ", ".join(map(str, members))
        raise ValueError(f"expected one of {allowed}") from None


def build_converter() -> cattrs.Converter:
    """Build a converter that is strict on types and refuses unknown keys."""
    converter = cattrs.Converter(forbid_extra_keys=True, omit_if_default=True)
    for kind in (int, str, bool):
        converter.register_structure_hook(kind, _require_exact(kind))
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, enum.Enum),
        _structure_enum,
    )
    converter.register_structure_hook_factory(
        attrs.has,
        lambda kind: make_dict_structure_fn(
            kind, converter, _cattrs_forbid_extra_keys=True
        ),
    )
    return converter


CONVERTER = build_converter()


def _describe_error(error: BaseException, _: object) -> str:
    if isinstance(error, KeyError):
        return f"required key {error} is missing"
    return cattrs.v.format_exception(error, None) if not error.args else str(error)


def _list_faults(error: BaseException) -> list[Fault]:
    faults = []
    for line in cattrs.transform_error(error, format_exception=_describe_error):
        reason, _, path = line.rpartition(" @ ")
        faults.append(Fault(path or "$", reason or line))
    return faults


def structure_document(value: object, kind: type[T]) -> T:
    """Turn decoded JSON into an attrs instance.

    :param value: decoded JSON.
    :param kind: the attrs class.
    :raises DocumentError: with every fault and its JSON path.
    """
    if not isinstance(value, dict):
        raise DocumentError([Fault("$", "expected an object")])
    try:
        return CONVERTER.structure(value, kind)
    except Exception as error:
        raise DocumentError(_list_faults(error)) from None


def parse_json(text: str | bytes) -> object:
    """Decode JSON text.

    :param text: the document.
    :raises DocumentError: when it is not JSON.
    """
    try:
        return t.cast(object, json.loads(text))
    except (ValueError, RecursionError) as error:
        raise DocumentError([Fault("$", f"not JSON: {error}")]) from None


def in_range(low: float, high: float) -> t.Callable[[object, t.Any, t.Any], None]:
    """Build an attrs validator for an inclusive numeric range.

    :param low: least allowed value.
    :param high: greatest allowed value.
    """

    def validate(_: object, attribute: t.Any, value: t.Any) -> None:
        if value is not None and not low <= value <= high:
            raise ValueError(f"{attribute.name} must be {low} to {high}, not {value}")

    return validate


def find_duplicates(path: str, names: t.Iterable[str]) -> list[Fault]:
    """List a fault for each name that stands a second time.

    :param path: JSON path of the array.
    :param names: the names in array order.
    """
    seen: set[str] = set()
    faults = []
    for index, name in enumerate(names):
        if name in seen:
            faults.append(Fault(f"{path}[{index}].name", f"duplicate name {name!r}"))
        seen.add(name)
    return faults
