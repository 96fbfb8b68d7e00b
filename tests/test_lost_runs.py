"""What the log tells of the runs that were lost with a worker."""

import pytest
import structlog.testing

from onyxgap.jobs.messages import Step
from onyxgap.jobs.shard import Shard
from tests.test_shard import Bench


@pytest.fixture
def bench() -> Bench:
    made = Bench(Shard("s", epoch=3, claimed_at=50.0))
    made.add_worker("w1")
    return made


def test_lost_runs_are_named_with_how_long_they_were_listed(bench: Bench) -> None:
    bench.add_job(Step(1, cpu=1000), job_id="a" * 16)
    (old,) = bench.start_all()
    bench.report("w1")
    bench.now += 0.4
    bench.report("w1")
    bench.add_job(Step(1, cpu=1000), job_id="b" * 16)
    (young,) = bench.start_all()
    bench.add_job(Step(1, cpu=1000), job_id="c" * 16)
    (unsent,) = bench.plan()
    with structlog.testing.capture_logs() as lines:
        bench.shard.end_worker("w1", "its VM is down", bench.now)
    (line,) = [line for line in lines if line["event"] == "runs lost"]
    assert (line["worker"], line["epoch"]) == ("w1", 3)
    assert line["runs"] == [
        (str(old.task), 1, True, 410),
        (str(young.task), 1, True, 0),
        (str(unsent.task), 1, False, 0),
    ]
