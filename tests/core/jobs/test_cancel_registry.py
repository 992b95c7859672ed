"""What a controller concludes from the cancels that it knows."""

from __future__ import annotations

from marblestair.core.jobs.manager_steps import has_no_placed_tasks
from marblestair.core.messaging.messages import SliceProgress
from tests.fakes.samples import job_spec
from tests.helpers import agents_running, leader_of, leaders_running, manager_of, start_deployment


def test_a_cancel_known_ahead_of_the_view_is_applied_and_not_confirmed() -> None:
    """The entry came by message: the view is older, and slices may come by older records."""
    deployment = start_deployment(4040)
    job = deployment.users.submit(job_spec(1, task_count=9, estimated_run_s=300.0))
    deployment.run(16.0)
    controller = deployment.nodes.current(manager_of(deployment, job))
    view, cancels = controller.view, controller.job_services.cancels
    shard = next(shard for shard in controller.leadership.led_shards() if job in shard.slices)
    cancels.record(job, view.revision + 5)
    assert shard.slices[job].is_cancelled
    assert not shard.slices[job].pending
    # Leaders may have changed before the entry was committed, and this view would not show it.
    applied_terms = cancels._entries[job].applied_terms
    for shard_id in map(int, view.jobs[job].slices):
        applied_terms[shard_id] = view.shard_map.shards[shard_id].term
    assert controller.job_services.cancellations.shards_without_entry(job) is None
    assert not controller.job_services.cancellations.is_confirmed(job)
    assert controller.job_services.answers.status_from_memory(job) is None
    # The slice leaves, and comes again by a record that is older than the entry.
    del shard.slices[job]
    controller.synchronizer.sync_slice(shard, job)
    assert shard.slices[job].is_cancelled
    assert not shard.slices[job].pending


def test_a_job_is_not_over_by_progress_from_before_its_cancel() -> None:
    deployment = start_deployment(4041)
    job = deployment.users.submit(job_spec(1, task_count=9, estimated_run_s=300.0))
    deployment.run(16.0)
    controller = deployment.nodes.current(manager_of(deployment, job))
    view = controller.view
    assert view.shard_map is not None
    managed_job, record = controller.job_services.managed_jobs[job], view.jobs[job]
    for is_cancel_known in (False, True):
        for shard_id in map(int, record.slices):
            term = view.shard_map.shards[shard_id].term
            managed_job.progress_by_shard[shard_id] = SliceProgress(
                job, shard_id, term, 0, 0, 0, 9, is_cancel_known
            )
        assert has_no_placed_tasks(managed_job, record, view.shard_map) == is_cancel_known


def test_after_a_failover_the_time_of_a_cancel_counts_from_before_it() -> None:
    deployment = start_deployment(4042)
    job = deployment.users.submit(job_spec(1, task_count=9, estimated_run_s=300.0))
    deployment.run(16.0)
    killed = min(leaders_running(deployment, job))
    for agent in agents_running(deployment, job):
        agent.inbound_partitioned = True
    assert deployment.users.cancel(job) == "cancelled"
    confirmed_at = deployment.now
    deployment.nodes.kill(killed, restart_after_s=60.0)
    shard_id = deployment.nodes.names.index(killed)
    assert deployment.run_until(lambda: leader_of(deployment, shard_id) != killed, 20.0)
    deployment.run(1.0)
    controller = deployment.nodes.current(leader_of(deployment, shard_id))
    job_slice = controller.leadership.shards[shard_id].slices.get(job)
    assert job_slice is not None
    drift = deployment.nodes.clock_rate[controller.context.node]
    confirmed_at_by_its_clock = controller.context.now - (deployment.now - confirmed_at) * drift
    assert job_slice.cancelled_at <= confirmed_at_by_its_clock + 0.5
    deployment.run(deployment.cancel_s)
    assert not deployment.rules.violations
