"""Tasks that may start, and the order in which they get room.

Answers a queue that asks for more than its pool holds, and tenants that send more than
their share.
"""

import attrs

from .crashes import NO_SUSPICION
from .job import Job
from .job import Task
from .priorities import Standing
from .priorities import Urgency


@attrs.define(slots=True)
class Ready:
    """Tasks of one step that may start.

    :param urgency: sort key.
    :param job: their job.
    :param step: number of the step.
    :param tasks: the waiting tasks.
    :param beyond: whether they lie beyond their tenant's share of the pool.
    """

    urgency: Urgency
    job: Job
    step: int
    tasks: list[Task]
    beyond: bool = False

    def get_rank(self) -> tuple[bool, Standing, bool, bool, Urgency]:
        """Give the sort key: jobs beyond their tenants' rates last, suspects first.

        Suspects are few, and each needs a worker on which nothing else starts. Late
        ones would take room from jobs that can still be in time. A job that can be in
        time goes before a late one, whose tenant has lost most of it already.
        """
        suspect = any(task.suspicion is not NO_SUSPICION for task in self.tasks)
        return (
            self.job.beyond,
            self.urgency.standing,
            self.beyond,
            not suspect or self.urgency.late,
            self.urgency,
        )
