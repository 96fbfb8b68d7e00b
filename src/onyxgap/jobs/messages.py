"""What callers submit and what workers report, in the product's own types."""

import enum
import typing as t

import attrs


class JobState(enum.Enum):
    """State of a job as its caller is told."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in (JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED)


@attrs.frozen(slots=True)
class Step:
    """A step of a job: tasks of one kind.

    :param count: number of tasks.
    :param cpu: thousandths of a core that each task asks for.
    :param memory_mb: memory that each task asks for, in MB.
    :param accelerators: accelerators that each task asks for.
    :param estimate_ms: rough run time of a task, in milliseconds.
    :param after: indexes of earlier steps that must be done first.
    :param checkpointing: whether tasks can resume from a checkpoint.
    :param gang: whether the tasks only work together.
    :param same_rack: whether the tasks slow down on more than one rack.
    :param requires: label that a worker must carry, or empty.
    :param affinity: rack that holds the data, or empty.
    :param anti_affinity: most tasks of an occurrence on one worker, 0 for any.
    :param speculative: whether copies of a task may run in parallel.
    :param long_running: whether tasks run until the job is cancelled.
    :param image: name of what the tasks run, or empty.
    :param target_ms: tail of response times that a serving task must keep, 0 if none.
    :param fills: whether the tasks only use capacity that others leave.
    :param may_miss: tasks that may be away at once by the system's own actions.
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
class QueuePolicy:
    """How a queue's jobs are run; copied into each job when it is accepted.

    :param queue: name of the queue.
    :param service: pool whose workers run the tasks.
    :param priority: 0 comes first.
    :param max_attempts: failed runs of a task after which the job has failed.
    :param stretch: objective as a multiple of the longest chain of work.
    :param slo_ms: objective in milliseconds on top of that.
    :param advised: whether a policy service names the workers for each step.
    """

    queue: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: int = 0
    advised: bool = False


@attrs.frozen(slots=True)
class JobStatus:
    """What is shown of a job, and to whom.

    :param state: its state.
    :param tenant: its tenant, or empty.
    """

    state: JobState
    tenant: str = ""


@attrs.frozen(slots=True)
class Submission:
    """An accepted job; never changes.

    :param job_id: id chosen by the caller.
    :param policy: policy of its queue when it was accepted.
    :param spec: opaque text that is handed to the workers.
    :param steps: its steps in order.
    :param times: occurrences, 0 for a job that runs once at once.
    :param start_at_ms: due time of the first occurrence, in ms since 1970.
    :param interval_ms: time between two occurrences, in milliseconds.
    :param accepted_ms: wall-clock time of the acceptance, in ms since 1970.
    :param tenant: tenant that it belongs to; empty where its queue is open to anyone.
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


class TaskId(t.NamedTuple):
    """Identity of a task: job, occurrence, step and position in the step."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.position}"


def parse_task_id(text: str) -> TaskId:
    """Read a task id.

    :param text: its printed form.
    :raises ValueError: when it has another form.
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
    :param checkpoint: newest checkpoint, or empty.
    :param percent: share of the work that is done; 100 for a serving task at work.
    :param figure: tail in ms of a serving task, processor in use of any other.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    figure: float = 0.0


@attrs.frozen(slots=True)
class EndedTask:
    """A run that a worker reports as ended.

    :param sequence: number of the end within the worker's life.
    :param task: the task.
    :param run: number of the run.
    :param kind: how it ended.
    :param checkpoint: newest checkpoint, or empty.
    """

    sequence: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


class WorkerState(enum.Enum):
    """Whether a worker takes new tasks."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(slots=True)
class WorkerEntry:
    """A worker as it is registered.

    :param worker_id: id of the worker; with :attr:`born` that of one life.
    :param service: pool that it belongs to.
    :param address: ``host:port`` of its interface.
    :param zone: availability zone.
    :param state: whether it takes new tasks.
    :param cpu: thousandths of a core.
    :param memory_mb: memory in MB.
    :param accelerators: number of accelerators.
    :param labels: kind and rack.
    :param clock_ms: its clock when it wrote the entry.
    :param born: Unix milliseconds of its start, 0 where it does not tell.
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
