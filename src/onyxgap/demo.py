"""The demo: a whole deployment on loopback in one process, under faults."""


async def run_demo(example: str) -> int:
    """Run the demo of one example.

    :param example: name of the example's folder.
    :returns: 0 when every promise was kept.
    """
    raise NotImplementedError
