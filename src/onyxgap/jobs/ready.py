"""Steps with tasks that may start, and their scheduling order.

The order matters when a queue needs more capacity than its pool has, or when a tenant
submits more than its share.
"""

import attrs

from .crashes import NO_LOSSES
from .job import Job
from .job import Task
from .priorities import Timeliness
from .priorities import Urgency


@attrs.define(slots=True)
class ReadyStep:
    """Waiting tasks of one step whose dependencies are done.

    :param urgency: sort key.
    :param job: their job.
    :param step: number of the step.
    :param tasks: the waiting tasks.
    :param beyond: whether they are over their tenant's share of the pool.
    """

    urgency: Urgency
    job: Job
    step: int
    tasks: list[Task]
    beyond: bool = False

    def get_sort_key(self) -> tuple[bool, Timeliness, bool, bool, Urgency]:
        """Give the sort key; lower values are scheduled first.

        Jobs over their tenants' rates go last. A job that can be in time goes before a
        late one even if it is over its share: the late one has lost most of its value
        to its tenant already. At equal standing, steps over their tenant's share go
        after the others. In both groups, steps with suspected tasks go first: these
        tasks are few, and each needs a worker on which nothing else starts. Late steps
        with such tasks don't: they would take capacity from jobs that can still be in
        time.
        """
        suspect = any(task.loss_history is not NO_LOSSES for task in self.tasks)
        return (
            self.job.beyond,
            self.urgency.standing,
            self.beyond,
            not suspect or self.urgency.late,
            self.urgency,
        )
