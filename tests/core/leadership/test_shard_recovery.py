"""Rebuilding a shard after its leader changed."""

from __future__ import annotations

import msgspec

from marblestair.core.leadership import shard_map
from marblestair.core.runtime.store_requests import ListKeys, RequestPriority
from marblestair.core.state import keys
from tests.fakes.samples import job_spec
from tests.helpers import manager_of, start_deployment
from tests.recorder import RequestRecorder


def test_a_shard_lost_and_regained_is_rebuilt_even_if_only_the_shard_map_is_read() -> None:
    """Found by a hunt: a node that had been cut off read the shard map ahead of its view.

    It took the shard that came back to it for the one it had lost, and started what ran elsewhere.
    """
    deployment = start_deployment(34)
    deployment.users.submit(job_spec(1, task_count=9, estimated_run_s=30.0))
    deployment.run(8.0)
    controller = deployment.nodes.controller("n0")
    view, leadership = controller.view, controller.leadership
    assert view.shard_map is not None
    lost = leadership.shards[0]
    assert lost.is_ready
    other = shard_map.assign_shards(view.shard_map, [0], "n1", 7)
    regained = shard_map.assign_shards(other, [0], *controller.context.identity)
    version = view.version(keys.SHARD_MAP)
    view.apply_read(keys.SHARD_MAP, msgspec.to_builtins(regained), version + 2)
    view.publish_changes()
    assert leadership.shards[0] is not lost
    assert not leadership.is_leader(0)
    # A higher term alone does not forget what is known.
    known = leadership.shards[1] if 1 in leadership.shards else leadership.shards[0]
    raised = shard_map.raise_term(regained, known.shard_id)
    view.apply_read(keys.SHARD_MAP, msgspec.to_builtins(raised), version + 3)
    view.publish_changes()
    assert leadership.shards[known.shard_id] is known
    assert known.term == raised.last_term


def test_a_failover_reads_its_pages_ahead_of_users() -> None:
    """Found by incident inc-40fe: the pages were read in the lane behind all others.

    Polls of the shard's jobs filled that lane, and the agents' leases ran out before the shard was
    ready.
    """
    deployment = start_deployment(415)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(2.0)
    recorders = [RequestRecorder(deployment, name) for name in deployment.nodes.names]
    deployment.nodes.kill(manager_of(deployment, job), restart_after_s=60.0)
    deployment.run(8.0)
    listings = [
        request
        for recorder in recorders
        for request in recorder.requests
        if isinstance(request, ListKeys) and request.prefix.startswith(keys.PROGRESS)
    ]
    assert listings
    assert {request.priority for request in listings} == {RequestPriority.LEASE}
    assert not deployment.rules.violations
