"""Binds submissions to the routes of the version of the configuration in force.

A newer version may be adopted between the look-up of a request's route and the write of
its submission. Another node may have found the route in an older version and forwarded
the submission.
"""

import attrs

from ..jobs.messages import QueuePolicy
from ..jobs.messages import Submission
from ..jobs.routing import RouteTable


@attrs.frozen
class RouteBinder:
    """Replaces the policies of submissions whose queues were moved.

    :param routes: the configuration in force.
    """

    routes: RouteTable

    def bind(self, submission: Submission) -> Submission:
        """Bind a submission to the version in force, unless it has a newer one.

        Its policy is replaced by that of the route at its endpoint. If its endpoint is
        not known, it is replaced if the queue was moved to another service, and left if
        several routes now lead to the queue by different services. The former service
        is recorded, since it may have the job.

        :param submission: the submission; its version is 0 if it was not yet bound.
        """
        version = self.routes.get_version()
        if submission.configuration > version:
            return submission
        former = submission.policy
        policy = self._find_policy(submission)
        if policy is not former:
            moved = {former.queue: {former.service}}
            if submission.endpoint:
                moved[submission.endpoint] = {former.service}
            self.routes.add_previous_services(moved)
        return attrs.evolve(submission, policy=policy, configuration=version)

    def _find_policy(self, submission: Submission) -> QueuePolicy:
        policy = submission.policy
        if submission.endpoint:
            route = self.routes.find_endpoint(submission.endpoint)
            if route is None or _leads_to_same(route.policy, policy):
                return policy
            return route.policy
        policies = self.routes.list_policies(policy.queue)
        if len(policies) != 1 or policies[0].service == policy.service:
            return policy
        return policies[0]

    def is_bound(self, submission: Submission) -> bool:
        """Return whether a route leads to the queue and service of a submission.

        A version that this node has not adopted is not judged, nor is any by a node
        that has none.

        :param submission: the submission, after :meth:`bind`.
        """
        version = self.routes.get_version()
        if not version or submission.configuration > version:
            return True
        if submission.endpoint:
            route = self.routes.find_endpoint(submission.endpoint)
            return route is not None and _leads_to_same(route.policy, submission.policy)
        policies = self.routes.list_policies(submission.policy.queue)
        return any(found.service == submission.policy.service for found in policies)


def _leads_to_same(first: QueuePolicy, second: QueuePolicy) -> bool:
    """Return whether two policies are of one queue and service, with any limits."""
    return (first.queue, first.service) == (second.queue, second.service)
