"""Concurrent reads of several partitions of the store."""

import typing as t

import anyio

from ..exceptions import PlatformUnavailableError
from ..jobs.store import Page
from ..jobs.store import Store


async def read_partitions(
    store: Store, partitions: t.Sequence[tuple[str, str]]
) -> tuple[Page, ...]:
    """Read several partitions concurrently.

    A new owner of a shard starts no tasks before it has read the shard's rows. While
    the store is slow, reading them one after the other takes seconds.

    :param store: the store.
    :param partitions: table and name of each partition.
    :returns: the pages, in the order of ``partitions``.
    :raises PlatformUnavailableError: if any of the reads got no answer.
    """
    pages: dict[int, Page] = {}
    errors: list[PlatformUnavailableError] = []

    async def read(index: int, table: str, part: str) -> None:
        try:
            pages[index] = await store.read(table, part)
        except PlatformUnavailableError as error:
            errors.append(error)

    async with anyio.create_task_group() as group:
        for index, (table, part) in enumerate(partitions):
            group.start_soon(read, index, table, part)
    if errors:
        raise errors[0]
    return tuple(pages[index] for index in range(len(partitions)))
