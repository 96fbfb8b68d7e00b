"""Tests which route a submission is bound to after the configuration has changed."""

import attrs
import pytest

from onyxgap.daemons.route_binder import RouteBinder
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.routing import Configuration
from onyxgap.jobs.routing import Route
from onyxgap.jobs.routing import RouteTable
from tests.test_node_parts import SUBMISSION

QUEUE = SUBMISSION.policy.queue


def build_binder(*services: str, version: int = 4) -> RouteBinder:
    """Build a binder under a version that leads the queue to some services."""
    routes = RouteTable()
    found = tuple(
        Route("h", f"/{service}/", QueuePolicy(QUEUE, service)) for service in services
    )
    routes.adopt(Configuration(version, found, {}))
    return RouteBinder(routes)


@pytest.mark.parametrize(
    ("services", "bound_to"),
    [(["s"], "s"), (["s2"], "s2"), (["s2", "s"], "s"), (["s2", "s3"], "s"), ([], "s")],
)
def test_submission_is_bound_to_the_only_service_of_its_queue(
    services: list[str], bound_to: str
) -> None:
    binder = build_binder(*services)
    submission = binder.bind(attrs.evolve(SUBMISSION, configuration=3))
    assert submission.policy.service == bound_to
    assert submission.configuration == 4
    assert binder.is_bound(submission) == (bound_to in services)


def test_former_service_of_a_moved_submission_is_known_to_have_had_its_queue() -> None:
    binder = build_binder("s2")
    bound = binder.bind(SUBMISSION)
    services = binder.routes.list_other_services(
        bound.get_queue(), bound.policy.service
    )
    assert services == ("s",)


def test_submission_of_a_newer_version_is_left_as_it_is() -> None:
    binder = build_binder("s2")
    submission = attrs.evolve(SUBMISSION, configuration=5)
    assert binder.bind(submission) == submission
    assert binder.is_bound(submission)


def test_node_without_a_configuration_rejects_no_submission() -> None:
    binder = RouteBinder(RouteTable())
    assert binder.bind(SUBMISSION) == SUBMISSION
    assert binder.is_bound(SUBMISSION)


def test_policy_of_a_queue_that_was_not_moved_is_kept() -> None:
    policy = attrs.evolve(SUBMISSION.policy, priority=3)
    submission = attrs.evolve(SUBMISSION, policy=policy)
    assert build_binder("s").bind(submission).policy == policy
