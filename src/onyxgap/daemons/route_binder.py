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

        Its policy is replaced if the queue was moved to another service, and is left if
        several routes now lead to the queue by different services. The former service
        is recorded, since it may have the job.

        :param submission: the submission; its version is 0 if it was not yet bound.
        """
        version = self.routes.get_version()
        if submission.configuration > version:
            return submission
        former = submission.policy
        policy = self._find_policy(former)
        if policy is not former:
            self.routes.add_previous_services({former.queue: {former.service}})
        return attrs.evolve(submission, policy=policy, configuration=version)

    def _find_policy(self, policy: QueuePolicy) -> QueuePolicy:
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
        policies = self.routes.list_policies(submission.policy.queue)
        return any(found.service == submission.policy.service for found in policies)
