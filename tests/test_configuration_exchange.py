"""Tests the exchange of configurations between nodes.

A node that the store does not answer gets the newest configuration from other nodes.
Guards against nodes that act on an outdated configuration, for example one that still
has a removed key: an answer must be fresh, requested, complete and of one version.
"""

import anyio
import attrs
import pytest

from onyxgap.adapters.notice_link import decode_notices
from onyxgap.adapters.notice_link import encode_notice
from onyxgap.daemons.configuration_exchange import ConfigurationExchange
from onyxgap.exceptions import DocumentError
from onyxgap.jobs.amounts import Amount
from onyxgap.jobs.configuration_encoding import MAX_PART_BYTES
from onyxgap.jobs.configuration_encoding import ConfigurationAssembler
from onyxgap.jobs.configuration_encoding import decode_configuration
from onyxgap.jobs.configuration_encoding import encode_configuration
from onyxgap.jobs.configuration_encoding import split_content
from onyxgap.jobs.members import Member
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.notices import ConfigurationPart
from onyxgap.jobs.notices import ConfigurationQuestion
from onyxgap.jobs.notices import Notice
from onyxgap.jobs.notices import OnNotice
from onyxgap.jobs.routing import Configuration
from onyxgap.jobs.routing import Route
from onyxgap.jobs.routing import RouteTable
from onyxgap.jobs.routing import Service
from onyxgap.jobs.tenants import Tenant
from onyxgap.jobs.tenants import digest_key
from tests.exchanges import ManualClocks
from tests.exchanges import build_exchange

TENANTS = tuple(
    Tenant(f"t{n}", (digest_key(b"%d" % n),), n + 1.0, Amount(n, n, n))
    for n in range(100)
)
NEWEST = Configuration(
    9,
    (Route("h", "/p/", QueuePolicy("q", "s", stretch=1.6), 900, True),),
    {"s": Service("s"), "z": Service("z", False, True)},
    4_000,
    TENANTS,
)
OLDER = attrs.evolve(NEWEST, version=4, tenants=())


@attrs.define
class RecordingPeers:
    """Peers that record the notices sent to them."""

    address: str = "me:1"
    sent: list[tuple[str, Notice]] = attrs.field(factory=list)

    def get_address(self) -> str:
        return self.address

    def send(self, address: str, notice: Notice) -> None:
        self.sent.append((address, notice))

    async def run(self, on_notice: OnNotice) -> None:
        await anyio.sleep_forever()


def build_node(
    configuration: Configuration, age_s: float
) -> tuple[ConfigurationExchange, RecordingPeers]:
    routes = RouteTable(keyed=True)
    routes.adopt(configuration)
    peers = RecordingPeers()
    members = {"other": Member("other:1"), "me": Member("me:1"), "old": Member("")}
    exchange = build_exchange(routes, age_s=age_s, peers=peers, members=members)
    return exchange, peers


def ask(
    exchange: ConfigurationExchange, peers: RecordingPeers
) -> ConfigurationQuestion:
    exchange._send_query()
    address, question = peers.sent.pop()
    assert address == "other:1"
    assert not peers.sent
    assert isinstance(question, ConfigurationQuestion)
    return question


def test_configuration_encoding_round_trip() -> None:
    content = encode_configuration(NEWEST)
    assert decode_configuration(content) == NEWEST
    assert len(split_content(content)) > 1
    assert all(len(part) <= MAX_PART_BYTES for part in split_content(content))


@pytest.mark.parametrize("value", [b"", b"x", encode_configuration(NEWEST)[:-9]])
def test_damaged_content_is_rejected(value: bytes) -> None:
    with pytest.raises(DocumentError):
        decode_configuration(value)


@pytest.mark.parametrize(
    "notice",
    [
        ConfigurationQuestion("1.2.3.4:5", 7, 40),
        ConfigurationPart(7, 41, 30, 2, 5, b"\x00\xff"),
        ConfigurationPart(7, 40, 30),
    ],
)
def test_notice_encoding_round_trip(notice: Notice) -> None:
    assert decode_notices(encode_notice("1.2.3.4:5", notice)) == [notice]


def test_parts_of_a_newer_version_may_arrive_in_any_order() -> None:
    asker, peers = build_node(OLDER, age_s=5.0)
    answerer, answerer_peers = build_node(NEWEST, age_s=0.4)
    answerer.answer(ask(asker, peers))
    parts = [notice for _, notice in answerer_peers.sent]
    assert len(parts) > 1
    for part in [*parts[1:], parts[0]]:
        assert isinstance(part, ConfigurationPart)
        assert not asker.is_current()
        asker.handle_answer(part)
    assert asker.routes.configuration == NEWEST
    assert asker.get_age() == pytest.approx(0.4)


def test_same_version_is_confirmed_without_its_content() -> None:
    asker, peers = build_node(NEWEST, age_s=5.0)
    answerer, answerer_peers = build_node(NEWEST, age_s=0.4)
    answerer.answer(ask(asker, peers))
    ((_, part),) = answerer_peers.sent
    assert isinstance(part, ConfigurationPart)
    assert part.parts == 0
    asker.handle_answer(part)
    assert asker.get_age() == pytest.approx(0.4)


def test_age_of_an_answer_counts_from_the_question() -> None:
    asker, peers = build_node(NEWEST, age_s=5.0)
    answerer, answerer_peers = build_node(NEWEST, age_s=0.4)
    answerer.answer(ask(asker, peers))
    assert isinstance(asker.clocks, ManualClocks)
    asker.clocks.now += 3.0
    part = answerer_peers.sent[0][1]
    assert isinstance(part, ConfigurationPart)
    asker.handle_answer(part)
    assert asker.get_age() == pytest.approx(3.4)
    assert not asker.is_current()


def test_node_without_current_configuration_does_not_answer() -> None:
    asker, peers = build_node(OLDER, age_s=5.0)
    answerer, answerer_peers = build_node(NEWEST, age_s=1.9)
    answerer.answer(ask(asker, peers))
    assert answerer_peers.sent == []


def test_older_version_is_ignored() -> None:
    asker, peers = build_node(NEWEST, age_s=5.0)
    question = ask(asker, peers)
    asker.handle_answer(ConfigurationPart(question.asked, 4, 0, 0, 1, b"older"))
    assert asker.routes.configuration == NEWEST


def test_incomplete_newer_version_does_not_confirm_the_active_one() -> None:
    lagging, peers = build_node(OLDER, age_s=5.0)
    question = ask(lagging, peers)
    lagging.handle_answer(ConfigurationPart(question.asked, 9, 0, 0, 2, b"part"))
    assert not lagging.is_current()


def test_unrequested_answer_is_ignored() -> None:
    asker, _ = build_node(OLDER, age_s=5.0)
    asker.handle_answer(ConfigurationPart(77, 9, 0))
    asker.handle_answer(ConfigurationPart(0, 4, 0))
    assert not asker.is_current()


def test_parts_of_different_versions_are_not_mixed() -> None:
    assembly = ConfigurationAssembler()
    old = split_content(encode_configuration(attrs.evolve(NEWEST, version=8)))
    new = split_content(encode_configuration(NEWEST))
    assert assembly.add(ConfigurationPart(1, 8, 0, 0, len(old), old[0])) is None
    for number, content in enumerate(new[1:], 1):
        part = ConfigurationPart(1, 9, 0, number, len(new), content)
        assert assembly.add(part) is None
    late = ConfigurationPart(1, 8, 0, 1, len(old), old[1])
    assert assembly.add(late) is None
    found = assembly.add(ConfigurationPart(1, 9, 0, 0, len(new), new[0]))
    assert found == NEWEST
