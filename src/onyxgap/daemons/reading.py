"""Reads several partitions of the store at once; answers a slow store at a claim."""

import typing as t

import anyio

from ..exceptions import PlatformUnavailableError
from ..jobs.store import Page
from ..jobs.store import Store


async def read_at_once(
    store: Store, wanted: t.Sequence[tuple[str, str]]
) -> tuple[Page, ...]:
    """Read partitions, all at the same time.

    A new owner starts nothing before it has read its rows, and one after the other they
    take it seconds while the store is slow.

    :param store: the store.
    :param wanted: table and partition of each.
    :returns: the pages, in the same order.
    :raises PlatformUnavailableError: when no answer came to one of them.
    """
    pages: dict[int, Page] = {}
    errors: list[PlatformUnavailableError] = []

    async def read(number: int, table: str, part: str) -> None:
        try:
            pages[number] = await store.read(table, part)
        except PlatformUnavailableError as error:
            errors.append(error)

    async with anyio.create_task_group() as group:
        for number, (table, part) in enumerate(wanted):
            group.start_soon(read, number, table, part)
    if errors:
        raise errors[0]
    return tuple(pages[number] for number in range(len(wanted)))
