"""Transport of frames between processes over loopback."""

import typing as t

import anyio
import pytest

from onyxgap.adapters.peer_link import PeerTransport
from onyxgap.settings import Address
from onyxgap.wire.peer import ttypes

MALFORMED_ADDRESSES = [
    "",
    "nowhere",
    "127.0.0.1:http",
    "127.0.0.1:70000",
    "ü" * 64 + ":80",
]


@pytest.mark.parametrize("address", MALFORMED_ADDRESSES)
def test_malformed_address_of_a_peer_does_not_stop_the_transport(address: str) -> None:
    async def exchange() -> list[ttypes.Frame]:
        received: list[ttypes.Frame] = []
        sender = PeerTransport(Address())
        receiver = PeerTransport(Address(), received.append)
        async with anyio.create_task_group() as group:
            await group.start(sender.run)
            target = t.cast(Address, await group.start(receiver.run))
            sender.send(address, ttypes.Frame(sender="n", probe=True))
            with anyio.fail_after(10):
                while not received:
                    sender.send(str(target), ttypes.Frame(sender="n", probe=True))
                    await anyio.sleep(0.02)
            group.cancel_scope.cancel()
        return received

    assert anyio.run(exchange)[0].sender == "n"
