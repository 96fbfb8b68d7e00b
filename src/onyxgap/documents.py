"""Validates JSON documents and converts them into attrs classes.

All faults of a document are reported together.
"""

import enum
import functools
import json
import typing as t

import attrs
import cattrs
import orjson
from cattrs.cols import homogenous_tuple_structure_factory
from cattrs.cols import list_structure_factory
from cattrs.gen import make_dict_structure_fn

from .exceptions import DocumentError
from .exceptions import Fault

T = t.TypeVar("T")


MAX_SHOWN = 40
"""Most characters of a value that a fault shows."""


def _show(value: object) -> str:
    """Format a value for a fault; one that is nested too deeply by its type only."""
    try:
        return json.dumps(value)[:MAX_SHOWN]
    except RecursionError:
        return f"a deeply nested {type(value).__name__}"


def _build_exact_type_hook(kind: type) -> t.Callable[[object, type], object]:
    def structure(value: object, _: type) -> object:
        if type(value) is not kind:
            raise ValueError(f"expected {kind.__name__}, not {_show(value)}")
        return value

    return structure


def _structure_float(value: object, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"expected number, not {_show(value)}")
    return float(value)


def _is_list(kind: object) -> bool:
    return t.get_origin(kind) is list


def _is_uniform_tuple(kind: object) -> bool:
    return t.get_origin(kind) is tuple and t.get_args(kind)[1:] == (...,)


_ARRAY_FACTORIES: t.Sequence[tuple[t.Callable[[object], bool], t.Any]] = (
    (_is_list, list_structure_factory),
    (_is_uniform_tuple, homogenous_tuple_structure_factory),
)


def _structure_enum(value: object, kind: type[enum.Enum]) -> enum.Enum:
    members = {member.value: member for member in kind}
    try:
        return members[value]
    except (KeyError, TypeError):
        allowed = ", ".join(map(str, members))
        raise ValueError(f"expected one of {allowed}") from None


def build_converter(forbid_extra_keys: bool = True) -> cattrs.Converter:
    """Build a cattrs converter that does not coerce types.

    An integer is accepted where a float is declared.

    :param forbid_extra_keys: whether unknown keys are rejected.
    """
    converter = cattrs.Converter(
        forbid_extra_keys=forbid_extra_keys, omit_if_default=True
    )
    for kind in (int, str, bool):
        converter.register_structure_hook(kind, _build_exact_type_hook(kind))
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, enum.Enum),
        _structure_enum,
    )

    def build_object_hook(kind: type) -> t.Callable[[object, type], object]:
        structure_fields: t.Any = make_dict_structure_fn(
            kind, converter, _cattrs_forbid_extra_keys=forbid_extra_keys
        )

        def structure_object(value: object, _: type) -> object:
            # cattrs would accept a string for a class whose fields all have defaults
            if not isinstance(value, dict):
                raise ValueError(f"expected an object, not {_show(value)}")
            return structure_fields(value, kind)

        return structure_object

    def build_array_hook(
        factory: t.Any, kind: type
    ) -> t.Callable[[object, type], object]:
        structure_items: t.Any = factory(kind, converter)

        def structure_array(value: object, _: type) -> object:
            # cattrs would take the letters of a string, or the keys of an object
            if not isinstance(value, list | tuple):
                raise ValueError(f"expected an array, not {_show(value)}")
            return structure_items(value, kind)

        return structure_array

    converter.register_structure_hook_factory(attrs.has, build_object_hook)
    for is_array, factory in _ARRAY_FACTORIES:
        converter.register_structure_hook_factory(
            is_array, functools.partial(build_array_hook, factory)
        )
    return converter


CONVERTER = build_converter()
LENIENT_CONVERTER = build_converter(forbid_extra_keys=False)
"""Ignores unknown keys, for documents of other programs, which may add fields."""


def _format_error(error: BaseException, _: object) -> str:
    if isinstance(error, KeyError):
        return f"required key {error} is missing"
    return cattrs.v.format_exception(error, None) if not error.args else str(error)


def _list_faults(error: BaseException) -> list[Fault]:
    faults = []
    for line in cattrs.transform_error(error, format_exception=_format_error):
        reason, _, path = line.rpartition(" @ ")
        faults.append(Fault(path or "$", reason or line))
    return faults


def structure_document(
    value: object, kind: type[T], converter: cattrs.Converter = CONVERTER
) -> T:
    """Convert decoded JSON into an attrs instance.

    :param value: decoded JSON.
    :param kind: the attrs class.
    :param converter: the cattrs converter to use.
    :raises DocumentError: listing every fault with its JSON path.
    """
    if not isinstance(value, dict):
        raise DocumentError([Fault("$", "expected an object")])
    try:
        return converter.structure(value, kind)
    except Exception as error:
        raise DocumentError(_list_faults(error)) from None


def decode_document(value: bytes, kind: type[T]) -> T:
    """Decode a JSON document into an attrs instance, ignoring unknown keys.

    :param value: the encoded JSON document.
    :param kind: the attrs class.
    :raises DocumentError: if it is not valid JSON or does not match the class.
    """
    try:
        raw = orjson.loads(value)
    except ValueError as error:
        raise DocumentError([Fault("$", f"not JSON: {error}")]) from None
    return structure_document(raw, kind, LENIENT_CONVERTER)


def parse_json(text: str | bytes) -> object:
    """Decode JSON text.

    :param text: the JSON text.
    :raises DocumentError: if it is not valid JSON.
    """
    try:
        return t.cast(object, json.loads(text))
    except (ValueError, RecursionError) as error:
        raise DocumentError([Fault("$", f"not JSON: {error}")]) from None


def in_range(low: float, high: float) -> t.Callable[[object, t.Any, t.Any], None]:
    """Build an attrs validator for an inclusive numeric range; ``None`` passes.

    :param low: lowest allowed value.
    :param high: highest allowed value.
    """

    def validate(_: object, attribute: t.Any, value: t.Any) -> None:
        if value is not None and not low <= value <= high:
            raise ValueError(f"{attribute.name} must be {low} to {high}, not {value}")

    return validate


def find_duplicates(path: str, names: t.Iterable[str]) -> list[Fault]:
    """List a fault for each repeated occurrence of a name.

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
