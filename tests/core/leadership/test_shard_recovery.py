"""Rebuilding a shard after its leader changed."""

from __future__ import annotations

import msgspec

from marblestair.core.leadership import shard_map
from marblestair.core.runtime.store_requests import Lane, ListKeys
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.helpers import Recorder, manager_of, warm


def test_a_part_lost_and_given_back_is_rebuilt_even_if_only_the_split_is_read() -> None:
    """Found by a hunt: a node that had been cut read the split ahead of its view, took the part
    that was given back to it for the one it had lost, and started what ran elsewhere.
    """
    world = warm(34)
    world.submit(spec(1, task_count=9, estimated_run_s=30.0))
    world.run(8.0)
    controller = world.cores["n0"]
    assert controller is not None and controller.view.shard_map is not None
    before = controller.leadership.shards[0]
    assert before.is_ready
    other = shard_map.assign_shards(controller.view.shard_map, [0], "n1", 7)
    back = shard_map.assign_shards(other, [0], *controller.context.identity)
    version = controller.view.version(keys.SHARD_MAP)
    controller.view.record_read(keys.SHARD_MAP, msgspec.to_builtins(back), version + 2)
    controller.view.publish_changes()
    assert controller.leadership.shards[0] is not before and not controller.leadership.is_leader(0)
    # A raise of the term alone keeps what is known.
    kept = (
        controller.leadership.shards[1]
        if 1 in controller.leadership.shards
        else controller.leadership.shards[0]
    )
    raised = shard_map.raise_term(back, kept.shard_id)
    controller.view.record_read(keys.SHARD_MAP, msgspec.to_builtins(raised), version + 3)
    controller.view.publish_changes()
    assert controller.leadership.shards[kept.shard_id] is kept and kept.term == raised.last_term


def test_a_takeover_reads_its_pages_ahead_of_users() -> None:
    """Found by incident inc-40fe: the pages were read in the lane behind all others, polls of the
    part's jobs filled it, and the workers' leases ran out before the part was ready.
    """
    world = warm(415)
    job = world.submit(spec(1, task_count=12, estimated_run_s=60.0))
    world.run(2.0)
    recorders = [Recorder(world, name) for name in world.node_names]
    world.kill(manager_of(world, job), back_after=60.0)
    world.run(8.0)
    pages = [
        call
        for recorder in recorders
        for call in recorder.calls
        if isinstance(call, ListKeys) and call.prefix.startswith(keys.PROGRESS)
    ]
    assert pages
    assert {call.lane for call in pages} == {Lane.LEASE}
    assert not world.broken
