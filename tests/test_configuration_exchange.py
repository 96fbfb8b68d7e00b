"""Nodes that do not hear the store learn the newest configuration from others."""

import anyio
import attrs
import pytest

from onyxgap.adapters.notice_link import decode_notices
from onyxgap.adapters.notice_link import encode_notice
from onyxgap.daemons.configuration_exchange import ConfigurationExchange
from onyxgap.exceptions import DocumentError
from onyxgap.jobs.amounts import Amount
from onyxgap.jobs.configurations import PART_BYTES
from onyxgap.jobs.configurations import Assembly
from onyxgap.jobs.configurations import decode_configuration
from onyxgap.jobs.configurations import encode_configuration
from onyxgap.jobs.configurations import split_content
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
class NotedPeers:
    """Keeps what was sent."""

    address: str = "me:1"
    sent: list[tuple[str, Notice]] = attrs.field(factory=list)

    def get_address(self) -> str:
        return self.address

    def send(self, address: str, notice: Notice) -> None:
        self.sent.append((address, notice))

    async def run(self, on_notice: OnNotice) -> None:
        await anyio.sleep_forever()


def build(
    configuration: Configuration, age_s: float
) -> tuple[ConfigurationExchange, NotedPeers]:
    routes = RouteTable(keyed=True)
    routes.adopt(configuration)
    peers = NotedPeers()
    members = {"other": Member("other:1"), "me": Member("me:1"), "old": Member("")}
    exchange = build_exchange(routes, age_s=age_s, peers=peers, members=members)
    return exchange, peers


def ask(exchange: ConfigurationExchange, peers: NotedPeers) -> ConfigurationQuestion:
    exchange._ask()
    address, question = peers.sent.pop()
    assert address == "other:1"
    assert not peers.sent
    assert isinstance(question, ConfigurationQuestion)
    return question


def test_configuration_survives_its_encoding() -> None:
    content = encode_configuration(NEWEST)
    assert decode_configuration(content) == NEWEST
    assert len(split_content(content)) > 1
    assert all(len(part) <= PART_BYTES for part in split_content(content))


@pytest.mark.parametrize("value", [b"", b"x", encode_configuration(NEWEST)[:-9]])
def test_damaged_content_is_refused(value: bytes) -> None:
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
def test_notices_survive_their_encoding(notice: Notice) -> None:
    assert decode_notices(encode_notice("1.2.3.4:5", notice)) == [notice]


def test_newer_version_comes_from_another_node_in_any_order() -> None:
    asker, peers = build(OLDER, age_s=5.0)
    answerer, others = build(NEWEST, age_s=0.4)
    answerer.answer(ask(asker, peers))
    parts = [notice for _, notice in others.sent]
    assert len(parts) > 1
    for part in [*parts[1:], parts[0]]:
        assert isinstance(part, ConfigurationPart)
        assert not asker.is_current()
        asker.take(part)
    assert asker.routes.configuration == NEWEST
    assert asker.get_age() == pytest.approx(0.4)


def test_same_version_is_confirmed_without_its_content() -> None:
    asker, peers = build(NEWEST, age_s=5.0)
    answerer, others = build(NEWEST, age_s=0.4)
    answerer.answer(ask(asker, peers))
    ((_, part),) = others.sent
    assert isinstance(part, ConfigurationPart)
    assert part.parts == 0
    asker.take(part)
    assert asker.get_age() == pytest.approx(0.4)


def test_answer_counts_from_when_it_was_asked_for() -> None:
    asker, peers = build(NEWEST, age_s=5.0)
    answerer, others = build(NEWEST, age_s=0.4)
    answerer.answer(ask(asker, peers))
    assert isinstance(asker.clocks, ManualClocks)
    asker.clocks.now += 3.0
    part = others.sent[0][1]
    assert isinstance(part, ConfigurationPart)
    asker.take(part)
    assert asker.get_age() == pytest.approx(3.4)
    assert not asker.is_current()


def test_node_that_does_not_know_gives_no_answer() -> None:
    asker, peers = build(OLDER, age_s=5.0)
    answerer, others = build(NEWEST, age_s=1.9)
    answerer.answer(ask(asker, peers))
    assert others.sent == []


def test_older_version_changes_nothing() -> None:
    asker, peers = build(NEWEST, age_s=5.0)
    question = ask(asker, peers)
    asker.take(ConfigurationPart(question.asked, 4, 0, 0, 1, b"older"))
    assert asker.routes.configuration == NEWEST


def test_version_that_a_node_lacks_does_not_confirm_what_it_has() -> None:
    lagging, peers = build(OLDER, age_s=5.0)
    question = ask(lagging, peers)
    lagging.take(ConfigurationPart(question.asked, 9, 0, 0, 2, b"part"))
    assert not lagging.is_current()


def test_answer_that_nobody_asked_for_is_passed_over() -> None:
    asker, _ = build(OLDER, age_s=5.0)
    asker.take(ConfigurationPart(77, 9, 0))
    asker.take(ConfigurationPart(0, 4, 0))
    assert not asker.is_current()


def test_parts_of_different_versions_are_not_mixed() -> None:
    assembly = Assembly()
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
