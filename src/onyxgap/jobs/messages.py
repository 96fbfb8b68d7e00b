"""Data types for submitted jobs, worker registrations and worker reports.

They are independent of the platform's message formats.
"""

import enum
import re
import typing as t

import attrs

JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
"""Format of the job IDs that callers choose."""


class JobState(enum.Enum):
    """State of a job as reported to its caller."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state is terminal."""
        return self in (JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED)


@attrs.frozen(slots=True)
class Step:
    """A step of a job: a number of identical tasks.

    :param count: number of tasks.
    :param cpu: CPU that each task requests, in thousandths of a core.
    :param memory_mb: memory that each task requests, in MB.
    :param accelerators: accelerators that each task requests.
    :param estimate_ms: estimated run time of a task, in milliseconds.
    :param after: indexes of the earlier steps that must be done first.
    :param checkpointing: whether tasks can resume from a checkpoint.
    :param gang: whether the tasks must run at the same time (gang scheduling).
    :param same_rack: whether the tasks run slower when spread over several racks.
    :param requires: label that a worker must have, or empty.
    :param affinity: rack that holds the tasks' data, or empty.
    :param anti_affinity: maximum tasks per occurrence and worker, 0 for no limit.
    :param speculative: whether copies of a task may run at the same time.
    :param long_running: whether tasks run until the job is cancelled.
    :param image: name of the image that the tasks run, or empty.
    :param target_ms: tail latency that a serving task must keep, in ms, 0 for none.
    :param fills: whether the tasks use only CPU that other tasks leave unused.
    :param may_miss: number of tasks that the system itself may have down at once.
    """

    count: int
    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


@attrs.frozen(slots=True)
class AdviceTerms:
    """How a policy service answers for a queue; zeros if that is not known.

    :param decide_ms: milliseconds that each request takes.
    :param each_ms: milliseconds more for each worker that it names.
    :param valid_ms: milliseconds for which its tickets are valid.
    """

    decide_ms: int = 0
    each_ms: int = 0
    valid_ms: int = 0

    def get_duration(self, workers: int) -> float:
        """Return the seconds that a request takes.

        :param workers: number of workers that it names.
        """
        return (self.decide_ms + self.each_ms * workers) / 1000


@attrs.frozen(slots=True)
class QueuePolicy:
    """How the jobs of a queue are run; copied into each job on acceptance.

    :param queue: name of the queue.
    :param service: pool whose workers run the tasks.
    :param priority: priority of its jobs; 0 is the highest.
    :param max_attempts: number of failed runs of a task that fails the job.
    :param stretch: factor of the critical path in the completion time objective.
    :param slo_ms: constant part of the objective, in milliseconds.
    :param advised: whether a policy service chooses the workers for each step.
    :param advice_decide_ms: see :class:`AdviceTerms`.
    :param advice_each_ms: see :class:`AdviceTerms`.
    :param advice_valid_ms: see :class:`AdviceTerms`.
    """

    queue: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: int = 0
    advised: bool = False
    advice_decide_ms: int = 0
    advice_each_ms: int = 0
    advice_valid_ms: int = 0

    def get_advice_terms(self) -> AdviceTerms:
        """Return how the policy service answers for the queue."""
        return AdviceTerms(
            self.advice_decide_ms, self.advice_each_ms, self.advice_valid_ms
        )


@attrs.frozen(slots=True)
class QueueRef:
    """A queue as a caller, or a stored job, refers to it.

    :param name: its name in some version of the configuration.
    :param endpoint: host and path prefix by which it is reached; empty if not known.
    """

    name: str
    endpoint: str = ""


@attrs.frozen(slots=True)
class JobStatus:
    """State of a job, and who may read it.

    :param state: state of the job.
    :param tenant: its tenant, or empty.
    :param configuration: version of the configuration under which the job was accepted,
        0 if it is not known.
    :param queue: queue of the job; empty in rows that were stored without it.
    :param endpoint: endpoint at which the job was submitted; empty in rows that were
        stored without it.
    """

    state: JobState
    tenant: str = ""
    configuration: int = 0
    queue: str = ""
    endpoint: str = ""

    def get_queue(self) -> QueueRef:
        """Return the queue to which the job was submitted."""
        return QueueRef(self.queue, self.endpoint)


@attrs.frozen(slots=True)
class Submission:
    """An accepted job as it was submitted; immutable.

    A job is identified by the endpoint at which it was submitted, and its id. Workers
    are told only the id, so that within a service no two jobs have the same one.

    :param job_id: id chosen by the caller.
    :param policy: policy of its queue at the time of acceptance.
    :param spec: opaque text that is passed to the workers.
    :param steps: its steps in order.
    :param times: number of occurrences, 0 for a job that runs once, immediately.
    :param start_at_ms: due time of the first occurrence, in ms since 1970.
    :param interval_ms: time between two occurrences, in milliseconds.
    :param accepted_ms: wall-clock time of acceptance, in ms since 1970.
    :param tenant: tenant that it belongs to; empty if its queue is open to anyone.
    :param configuration: version of the configuration under which it was accepted, 0 if
        it is not known.
    :param endpoint: host and path prefix at which it was submitted; empty in rows that
        were stored without it.
    """

    job_id: str
    policy: QueuePolicy
    spec: str
    steps: tuple[Step, ...]
    times: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    accepted_ms: int = 0
    tenant: str = ""
    configuration: int = 0
    endpoint: str = ""

    def get_queue(self) -> QueueRef:
        """Return the queue to which it was submitted."""
        return QueueRef(self.policy.queue, self.endpoint)


class TaskId(t.NamedTuple):
    """Identity of a task: job, occurrence, step and position in the step."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.position}"


def parse_task_id(text: str) -> TaskId:
    """Parse a task id.

    :param text: the id as :class:`TaskId` formats it.
    :raises ValueError: if the text is malformed.
    """
    job_id, occurrence, step, position = text.split(".")
    return TaskId(job_id, int(occurrence), int(step), int(position))


class EndKind(enum.Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen(slots=True)
class RunningTask:
    """A run that a worker reports as present.

    :param task: the task.
    :param run: number of the run.
    :param checkpoint: latest checkpoint, or empty.
    :param percent: work done, in percent; 100 for a serving task that is serving.
    :param measurement: tail latency in ms of a serving task, CPU use of any other.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    measurement: float = 0.0


@attrs.frozen(slots=True)
class EndedTask:
    """A run that a worker reports as ended.

    :param sequence: sequence number of the end, per incarnation of the worker.
    :param task: the task.
    :param run: number of the run.
    :param kind: how it ended.
    :param checkpoint: latest checkpoint, or empty.
    """

    sequence: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


class WorkerState(enum.Enum):
    """Whether a worker accepts new tasks."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(slots=True)
class WorkerEntry:
    """Registration of a worker.

    :param worker_id: id of the worker; with :attr:`born`, id of one incarnation.
    :param service: pool that the worker belongs to.
    :param address: ``host:port`` of its interface.
    :param zone: availability zone.
    :param state: whether it accepts new tasks.
    :param cpu: CPU in thousandths of a core.
    :param memory_mb: memory in MB.
    :param accelerators: number of accelerators.
    :param labels: machine kind and rack.
    :param clock_ms: its clock in ms when it wrote the registration.
    :param born: its start time in Unix milliseconds, 0 if not given.
    """

    worker_id: str
    service: str
    address: str
    zone: str
    state: WorkerState
    cpu: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...]
    clock_ms: float
    born: int = 0
