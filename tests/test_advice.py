"""Starts of tasks in queues that require tickets of the policy service."""

import attrs
import orjson
import pytest

from onyxgap.jobs.advice import EMPTY_RETRY_S
from onyxgap.jobs.advice import MAX_WORKERS_PER_REQUEST
from onyxgap.jobs.advice import Advice
from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.workers import HoldReport
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.platform.advice import decode_advice
from onyxgap.platform.http import Answer
from tests.test_shard import ENTRY
from tests.test_shard import POLICY

GROUP = ("a" * 16, 0, 0)
NOW = 100.0


@pytest.fixture
def shard() -> Shard:
    shard = Shard("s", 1, 0.0)
    for number in range(MAX_WORKERS_PER_REQUEST + 5):
        worker_id = f"w{number}"
        shard.observe_worker(attrs.evolve(ENTRY, worker_id=worker_id), NOW)
        shard.apply_report(worker_id, HoldReport(1000.0, (), ()), NOW, NOW)
    policy = attrs.evolve(POLICY, advised=True)
    steps = (Step(2, cpu=1000),)
    shard.add_job(Job(Submission(GROUP[0], policy, "spec", steps)), NOW, 0.0)
    return shard


def test_step_requests_tickets_before_its_tasks_are_placed(shard: Shard) -> None:
    assert shard.plan(NOW, 0.0) == []
    request = shard.ticket_cache.pop_request()
    assert request is not None
    assert request.step_key == GROUP
    assert len(request.workers) == MAX_WORKERS_PER_REQUEST
    assert shard.ticket_cache.pop_request() is None


def test_tasks_are_placed_only_with_a_ticket_and_carry_it(shard: Shard) -> None:
    shard.ticket_cache.store_advice(GROUP, Advice({"w3": "t3"}, 3.0), NOW)
    orders = shard.plan(NOW, 0.0)
    assert [(order.worker_id, order.ticket) for order in orders] == [("w3", "t3")] * 2


def test_expired_tickets_are_requested_again(shard: Shard) -> None:
    shard.ticket_cache.store_advice(GROUP, Advice({"w3": "t3"}, 3.0), NOW)
    assert shard.plan(NOW + 2.8, 0.0) == []
    assert GROUP in shard.ticket_cache.wanted


def test_refused_ticket_is_requested_again(shard: Shard) -> None:
    shard.ticket_cache.store_advice(GROUP, Advice({"w3": "t3"}, 3.0), NOW)
    for order in shard.plan(NOW, 0.0):
        ready = shard.prepare_start(order, NOW)
        assert ready is not None
        shard.apply_start_reply(ready, Reply(ReplyKind.NO_TICKET), NOW)
    assert shard.plan(NOW + 1, 0.0) == []
    assert GROUP in shard.ticket_cache.wanted


@pytest.mark.parametrize("advice", [None, Advice({}, 9.0)])
def test_empty_response_is_not_requested_again_at_once(
    shard: Shard, advice: Advice | None
) -> None:
    shard.ticket_cache.store_advice(GROUP, advice, NOW)
    assert shard.plan(NOW + EMPTY_RETRY_S / 2, 0.0) == []
    assert not shard.ticket_cache.wanted
    assert shard.plan(NOW + EMPTY_RETRY_S * 1.1, 0.0) == []
    assert GROUP in shard.ticket_cache.wanted


def request_and_store(shard: Shard, advice: Advice | None, now: float) -> list[str]:
    request = shard.ticket_cache.pop_request()
    assert request is not None
    shard.ticket_cache.store_advice(GROUP, advice, now)
    return list(request.workers)


def test_workers_beyond_one_request_are_asked_if_the_allowed_ones_are_not_enough(
    shard: Shard,
) -> None:
    # the same idle workers were asked again and again
    asked: list[str] = []
    shard.plan(NOW, 0.0)
    asked += request_and_store(shard, Advice({}, 3.0), NOW)
    shard.plan(NOW, 0.0)
    asked += request_and_store(shard, Advice({"w34": "t"}, 3.0), NOW)
    assert sorted(asked) == sorted(shard.workers)
    assert {order.worker_id for order in shard.plan(NOW, 0.0)} == {"w34"}
    assert not shard.ticket_cache.wanted


def test_worker_that_joins_is_asked_before_the_tickets_of_others_expire(
    shard: Shard,
) -> None:
    # a serving task waited for that although the allowed worker was gone
    shard.plan(NOW, 0.0)
    request_and_store(shard, Advice({"w3": "t3"}, 60.0), NOW)
    shard.remove_worker("w3", "gone", NOW)
    shard.plan(NOW, 0.0)
    request_and_store(shard, Advice({}, 60.0), NOW)
    assert shard.plan(NOW, 0.0) == []
    assert not shard.ticket_cache.wanted
    shard.observe_worker(attrs.evolve(ENTRY, worker_id="w35"), NOW)
    shard.apply_report("w35", HoldReport(1000.0, (), ()), NOW, NOW)
    shard.plan(NOW, 0.0)
    assert request_and_store(shard, Advice({"w35": "t"}, 60.0), NOW) == ["w35"]
    assert {order.worker_id for order in shard.plan(NOW, 0.0)} == {"w35"}


def test_request_for_more_workers_without_response_is_not_repeated_at_once(
    shard: Shard,
) -> None:
    shard.plan(NOW, 0.0)
    request_and_store(shard, Advice({}, 3.0), NOW)
    shard.plan(NOW, 0.0)
    request_and_store(shard, None, NOW)
    shard.plan(NOW + EMPTY_RETRY_S / 2, 0.0)
    assert not shard.ticket_cache.wanted
    shard.plan(NOW + EMPTY_RETRY_S * 1.1, 0.0)
    assert shard.ticket_cache.wanted


def test_full_workers_are_not_asked_in_addition(shard: Shard) -> None:
    shard.plan(NOW, 0.0)
    request_and_store(shard, Advice({"w3": "t3"}, 3.0), NOW)
    for record in shard.workers.values():
        record.cpu_used = record.entry.cpu
    assert shard.plan(NOW, 0.0) == []
    assert not shard.ticket_cache.wanted


def test_worker_without_a_ticket_is_not_reserved_for_a_serving_step(
    shard: Shard,
) -> None:
    # while its tickets were requested, each such step closed a worker to all others
    policy = attrs.evolve(POLICY, advised=True)
    serving = (Step(1, cpu=1000, long_running=True),)
    shard.add_job(Job(Submission("b" * 16, policy, "spec", serving)), NOW, 0.0)
    shard.plan(NOW, 0.0)
    assert not any(record.reserved for record in shard.workers.values())


def test_requests_of_an_ended_job_are_removed(shard: Shard) -> None:
    shard.plan(NOW, 0.0)
    shard.cancel(GROUP[0])
    shard.mark_stored(GROUP[0], shard.jobs[GROUP[0]].state, NOW)
    assert not shard.ticket_cache.wanted


def test_responses_are_decoded() -> None:
    body = {"good": [["i-1", "c81e"]], "valid_ms": 3000}
    assert decode_advice(Answer(200, orjson.dumps(body))) == Advice({"i-1": "c81e"}, 3)
    assert decode_advice(Answer(429)) is None
    assert decode_advice(Answer(200, b'{"good":[[]]}')) is None
