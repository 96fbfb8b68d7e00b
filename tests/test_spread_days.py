"""Serving tasks with a limit per worker, in pools that shrink between bursts.

Guards against a serving task that stays away although VMs are spare: a pool was sized
by the sum of the fractions of a VM that its tasks take, also where they may not share
a worker. After the loss of a worker, the pool counted as large enough.
"""

from tests.emulated import load_day
from tests.emulated import play


def test_serving_tasks_that_may_not_share_a_worker_run_again_in_a_shrunk_pool() -> None:
    for seed in (1, 4):
        assert play(load_day("spread"), seed).breaches == []
