"""What a controller concludes from the cancels that it knows."""

from __future__ import annotations

from marblestair.core.jobs.manager_steps import is_empty
from marblestair.core.messaging.messages import SliceProgress
from tests.fakes.deployment import spec
from tests.helpers import holders, manager, owner, part_owners, running, warm


def test_what_is_known_ahead_of_the_view_holds_and_is_not_told() -> None:
    """An entry heard of by message: the view is older, and slices may come by older records."""
    world = warm(4040)
    job = world.submit(spec(1, task_count=9, estimated_run_s=300.0))
    world.run(16.0)
    controller = running(world, manager(world, job))
    part = next(p for p in controller.leadership.led_shards() if job in p.slices)
    record = controller.view.jobs[job]
    rev = controller.view.revision + 5
    controller.cancels.record(job, rev)
    assert part.slices[job].is_cancelled and not part.slices[job].pending
    # Owners may have changed before the entry was committed, and this view would not show it.
    for number in record.slices:
        controller.cancels._entries[job].applied_terms[int(number)] = (
            controller.view.shard_map.shards[int(number)].term
        )
    assert controller.cancellations.shards_without_entry(
        job
    ) is None and not controller.cancellations.is_confirmed(job)
    assert controller.answers.status_from_memory(job) is None
    # The slice leaves, and comes again by a record that is older than the entry.
    del part.slices[job]
    controller.synchronizer.sync_slice(part, job)
    assert part.slices[job].is_cancelled and not part.slices[job].pending


def test_a_job_is_not_over_on_reports_from_before_its_cancel() -> None:
    world = warm(4041)
    job = world.submit(spec(1, task_count=9, estimated_run_s=300.0))
    world.run(16.0)
    controller = running(world, manager(world, job))
    assert controller.view.shard_map is not None
    mj, record = controller.managed_jobs[job], controller.view.jobs[job]
    for over in (False, True):
        for number in record.slices:
            term = controller.view.shard_map.shards[int(number)].term
            mj.progress_by_shard[int(number)] = SliceProgress(
                job, int(number), term, 0, 0, 0, 9, over
            )
        assert is_empty(mj, record, controller.view.shard_map) == over


def test_after_a_takeover_a_cancels_time_counts_from_before_it() -> None:
    world = warm(4042)
    job = world.submit(spec(1, task_count=9, estimated_run_s=300.0))
    world.run(16.0)
    name = min(part_owners(world, job))
    for worker in holders(world, job):
        worker.deaf = True
    assert world.cancel(job) == "cancelled"
    told = world.now
    world.kill(name, back_after=60.0)
    shard_id = world.node_names.index(name)
    assert world.until(lambda: owner(world, shard_id) != name, 20.0)
    world.run(1.0)
    controller = running(world, owner(world, shard_id))
    job_slice = controller.leadership.shards[shard_id].slices.get(job)
    here = (
        controller.context.now - world.now * world.drift[controller.context.node]
    ) + told * world.drift[controller.context.node]
    assert job_slice is not None and job_slice.cancelled_at <= here + 0.5
    world.run(world.cancel_s)
    assert not world.broken
