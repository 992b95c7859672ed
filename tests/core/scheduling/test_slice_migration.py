"""Migration of slices between shards."""

from __future__ import annotations

import pytest

from tests.fakes.samples import job_spec
from tests.helpers import led_shards, start_deployment


def test_an_earlier_migration_does_not_restore_what_a_later_one_dropped() -> None:
    """Found on a simulated rough day: a task ran twice.

    The end of one migration put the task numbers of the next one back while that was being
    committed.
    """
    deployment = start_deployment(20)
    deployment.cloud.capacity = 1
    job = deployment.users.submit(job_spec(1, task_count=30, team="red", estimated_run_s=30.0))
    deployment.run(3.0)
    controller, shard = next(
        (controller, shard)
        for controller, shard in led_shards(deployment)
        if len(shard.slices[job].pending) > 4
    )
    job_slice, migrations = shard.slices[job], controller.scheduling_services.slice_migrations
    target = next(shard_id for shard_id in range(3) if shard_id != shard.shard_id)
    assert migrations.start(shard, job_slice, job_slice.pending.tail(2), target)
    deployment.nodes.set_time(controller)
    first_holder = job_slice.migration_holder
    deployment.nodes.flush(controller.context.node)
    assert deployment.run_until(lambda: not job_slice.migrating_ranges, 5.0)
    second = job_slice.pending.tail(2)
    assert migrations.start(shard, job_slice, second, target)
    migrations._restore(shard, job_slice, first_holder)
    assert job_slice.migrating_ranges == second
    assert not any(
        index in job_slice.pending for start, end in second for index in range(start, end)
    )
    deployment.nodes.flush(controller.context.node)
    deployment.cloud.capacity = 12
    assert deployment.users.wait_until_done(job, 300.0)
    assert not deployment.rules.violations


@pytest.mark.parametrize("seed", range(200, 204))
def test_a_crowded_fleet_with_many_migrations_breaks_no_rule(seed: int) -> None:
    deployment = start_deployment(seed)
    rng, names = deployment.rng, deployment.nodes.names
    deployment.cloud.capacity = 3
    deployment.store_link.lost_response_ratio = 0.03
    deployment.store_link.late_commit_ratio = 0.03
    jobs = []
    for number in range(1, 9):
        team = rng.choice(["red", "blue"])
        task_count = rng.randint(8, 40)
        jobs.append(
            deployment.users.submit(
                job_spec(number, team=team, task_count=task_count, estimated_run_s=4.0)
            )
        )
        failure = rng.randrange(4)
        if failure == 0:
            deployment.nodes.kill(rng.choice(names), restart_after_s=rng.choice([0.2, 4.0]))
        elif failure == 1:
            deployment.network.isolate(*rng.sample(names, 2), delay=True)
        elif failure == 2:
            deployment.network.heal()
        deployment.run(rng.uniform(1.0, 8.0))
    deployment.network.heal()
    deployment.store_link.end_failures()
    deployment.cloud.capacity = 12
    assert all(deployment.users.wait_until_done(job, 900.0) for job in jobs)
    assert not deployment.rules.violations
