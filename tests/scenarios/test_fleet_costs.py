"""The cost of an event does not grow with fleets of hundreds to thousands of machines."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.store_requests import ListKeys, StoreResponse
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView
from marblestair.net.framing import MAX_FRAME_BYTES
from marblestair.settings import Workers
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import led_shards, start_deployment
from tests.measurements import EventCost, measure_event_costs
from tests.scenarios.fleets import (
    FLEET_AGENTS,
    FLEET_STORE,
    assert_all_done,
    large_fleet,
    submit_arrays,
)

MACHINES = [f"host-{number:06d}" for number in range(4000)]


def measure_fleet(deployment: SimulatedDeployment, seconds: float) -> EventCost:
    """Measure events for some seconds; assert no violation and the limits of the store."""
    store = deployment.store
    changes_before, started_at = store.change_count, deployment.now
    events = measure_event_costs(deployment, seconds)
    changes_per_s = (store.change_count - changes_before) / (deployment.now - started_at)
    assert not deployment.rules.violations
    assert not store.oversized_commits
    assert store.largest_value_bytes <= 4096
    # Changes in the store stay within its write rate under any load.
    assert changes_per_s < FLEET_STORE["write_rps"]
    return events


def measure_busy_fleet(machines: int, jobs: int) -> EventCost:
    """Return the cost of events on a fleet that is busy with arrays."""
    deployment = large_fleet(7, machines)
    submit_arrays(deployment, 1, jobs, 160, estimated_run_s=15.0, deadline_s=40.0)
    deployment.run(22.0)
    assert len(deployment.serving_agents) >= 0.5 * machines
    return measure_fleet(deployment, 3.0)


def test_an_event_costs_the_same_on_nine_hundred_machines() -> None:
    """Guards against heartbeats whose cost grows with the fleet.

    If each heartbeat that reports free capacity scans all machines and slices of its shard, a
    simulation of a fleet's day does not finish in time.
    """
    small = measure_busy_fleet(300, 60)
    large = measure_busy_fleet(900, 180)
    busy = measure_busy_fleet(300, 180)
    # A heartbeat costs what it starts or ends; other machines and jobs don't matter.
    assert large.heartbeat < 1.5 * small.heartbeat
    assert busy.heartbeat < 1.5 * small.heartbeat
    # A tick, twice a second, may scan its shard once; the shard is three times as large.
    assert large.tick < 3.5 * small.tick
    assert large.message < 3.5 * small.message


def measure_fleet_of_wide_tasks(machines: int, jobs: int) -> EventCost:
    """Return the cost of events on a fleet where nearly every machine runs a task."""
    workers = {**FLEET_AGENTS, "report_s": 10.0, "lease_s": 61.0, "cancel_s": 130.0}
    cloud = dict(rps=16.0, list_lag_s=5.0)
    deployment = large_fleet(7, machines, workers=workers, cloud=cloud)
    submit_arrays(deployment, 1, jobs, 40, estimated_run_s=60.0, deadline_s=60.0, cpus=14.0)
    deployment.run(30.0)
    assert len(deployment.serving_agents) >= 0.95 * machines
    assert len(deployment.busy_agents) >= 0.9 * machines
    return measure_fleet(deployment, 4.0)


def test_four_thousand_machines_cost_each_event_no_more_than_nine_hundred() -> None:
    """Guards the calls per heartbeat and tick, bytes per message, and changes in the store."""
    small = measure_fleet_of_wide_tasks(900, 45)
    large = measure_fleet_of_wide_tasks(4000, 200)
    assert large.heartbeat < 1.2 * small.heartbeat
    # A tick, twice a second, scans its shard, which is 4.4 times as large.
    assert large.tick < 1.2 * 4.5 * small.tick
    assert large.message < 1.2 * 4.5 * small.message


def test_no_memory_or_message_is_too_small_for_four_thousand_machines() -> None:
    view = StoreView()
    for name in MACHINES:
        view.apply_read(keys.MACHINES + name, [0, "m16", "a", False, 0.0], 1)
    for name in MACHINES:
        view.apply_absence(keys.MACHINES + name, 2)
    assert set(view.removed_machines) == set(MACHINES)
    failures = FailureAttribution(Workers(**FLEET_AGENTS))
    for number, name in enumerate(MACHINES):
        failures.record_failure(f"job-{number % 50}", name, True, 0.0)
    assert all(failures.machine_backoff_s(name) > 0 for name in MACHINES)
    # One node leads all machines, each of them is in each list of the summary, and the node
    # promises all cancels.
    assert len(msgspec.msgpack.encode(largest_summary())) < MAX_FRAME_BYTES
    cancels = start_deployment(1).nodes.controller("n0").job_services.cancels
    for number in range(4000):
        cancels.record(f"job-{number:06d}", 1_000_000)
    entries = cancels.entries_after(0)
    assert entries is not None
    assert len(entries) == 4000
    assert len(msgspec.msgpack.encode(entries)) < MAX_FRAME_BYTES


def largest_summary() -> ShardSummary:
    """Return a shard summary with 4,000 entries in each of its lists."""
    capacity = ("a-long-name-of-a-type", "a-long-name-of-a-zone", False, 1 << 40, 1 << 40, 1 << 40)
    jobs = [f"job-{number:06d}" for number in range(4000)]
    return ShardSummary(
        shard_id=0,
        term=1 << 32,
        free_capacity=[capacity] * 4000,
        preemptible_capacity=[capacity] * 4000,
        backlog_cpus=1 << 60,
        free_quota={},
        quota_shortfall={},
        pending_jobs=[(job, 100_000, 100_000) for job in jobs],
        busy_machines=[(name, 1 << 40) for name in MACHINES],
        idle_machines=[(name, 1234.56) for name in MACHINES],
        jobs_lacking_capacity=jobs,
        gang_machines=MACHINES,
        unavailable_machines=MACHINES,
        partitioned_machines=MACHINES,
        required_quota={},
    )


@pytest.mark.parametrize("finished", [0, 5000])
def test_starting_does_not_read_the_jobs_that_are_over(finished: int) -> None:
    deployment = large_fleet(27, 60)
    store = deployment.store
    jobs = submit_arrays(deployment, 1, 12, 40, estimated_run_s=40.0)
    deployment.run(15.0)
    for number in range(500_000, 500_000 + finished):
        store.put(f"{keys.FINAL_STATES}job-{number:06d}", "done")
    page_sizes: list[int] = []
    execute = store.execute

    def record_listing(request: Any, *arguments: Any) -> StoreResponse:
        response = execute(request, *arguments)
        if isinstance(request, ListKeys):
            page_sizes.append(len(response.items))
        return response

    store.execute = record_listing  # type: ignore[method-assign]
    deployment.nodes.kill_all(restart_after_s=1.0)
    deployment.run(4.0)
    # Controllers are ready within the time above, having read only records of live jobs.
    assert {shard.shard_id for _, shard in led_shards(deployment)} == {0, 1, 2}
    assert len(page_sizes) < 40
    assert sum(page_sizes) < 1500
    # The final state of an ended job is read when a user queries it.
    if finished:
        deployment.tasks.specs["job-500007"] = job_spec(500_007, task_count=0)
        assert deployment.users.state_of("job-500007") == "done"
    assert_all_done(deployment, jobs, 300.0)


def changes_per_job(machines: int) -> float:
    """Return the changes in the store per job, without the changes for machines."""
    deployment = large_fleet(28, machines)
    store, agents = deployment.store, deployment.agents
    submit_arrays(deployment, 900, 4, 100, estimated_run_s=6.0)
    deployment.run(40.0)
    changes_before, rented_before = store.change_count, len(agents)
    jobs = submit_arrays(deployment, 1, 30, 60, estimated_run_s=6.0, deadline_s=60.0)
    assert all(deployment.users.wait_until_done(job, 200.0) for job in jobs)
    deployment.run(10.0)
    # A rented machine changes its own key and its rental's key twice each; a release adds one.
    released = sum(agent.is_released for agent in agents.values())
    machine_changes = 4 * (len(agents) - rented_before) + released
    assert not deployment.rules.violations
    assert not store.oversized_commits
    return (store.change_count - changes_before - machine_changes) / len(jobs)


def test_the_store_sees_a_bounded_number_of_changes_a_job() -> None:
    small, large = changes_per_job(60), changes_per_job(240)
    # Three changes for acceptance (1) and end (2); for each of three shards a few changes of its
    # progress, and the deletion.
    assert max(small, large) < 3 + 3 * 6
    assert large < 1.3 * max(small, 6.0)
