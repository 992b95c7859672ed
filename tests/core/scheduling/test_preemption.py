"""Preemption for latency-sensitive gangs, and eviction from reclaimed spot machines."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import pytest

from marblestair.core.domain.agents import CommandVerb, TaskCommand
from tests.fakes.samples import job_spec, wait_objective
from tests.helpers import start_deployment
from tests.scenarios.fleets import (
    FLEET_AGENTS,
    TEAM_NAMES,
    large_fleet,
    medium_fleet,
    submit_arrays,
    whole_machine_gang,
)


def test_a_latency_sensitive_gang_of_higher_priority_preempts_arrays() -> None:
    deployment = start_deployment(38, objectives=[wait_objective(4.0)])
    users, tasks = deployment.users, deployment.tasks
    deployment.cloud.capacity = 1
    low = users.submit(job_spec(1, task_count=16, estimated_run_s=60.0, machine_types=["t8"]))
    assert deployment.run_until(lambda: len(tasks.starts) >= 8, 30.0)
    deployment.run(3.0)
    submitted_at = deployment.now
    gang = users.submit(
        job_spec(2, kind="gang", task_count=2, cpus=4.0, job_class="g", priority="high")
    )
    assert users.wait_until_done(gang, 60.0)
    starts = tasks.starts_of(gang)
    assert len(starts) == 2
    assert max(start.at for start in starts) - submitted_at < 8.0
    assert users.wait_until_done(low, 400.0)
    # Tasks of the same priority are not preempted.
    count = len(tasks.starts)
    same = users.submit(
        job_spec(3, task_count=8, estimated_run_s=40.0, machine_types=["t8"], priority="high")
    )
    assert deployment.run_until(lambda: len(tasks.starts) >= count + 8, 30.0)
    submitted_at = deployment.now
    gang = users.submit(
        job_spec(4, kind="gang", task_count=2, cpus=4.0, job_class="g", priority="high")
    )
    assert users.wait_until_done(gang, 200.0)
    assert min(start.at for start in tasks.starts_of(gang)) - submitted_at > 15.0
    assert len(tasks.starts_of(same)) == 8
    assert not deployment.rules.violations


def test_a_latency_sensitive_gang_gets_quota_from_its_teams_own_arrays() -> None:
    """A latency-sensitive gang gets quota although its team's arrays use the whole limit.

    Otherwise such gangs wait for minutes. The class has two wait objectives; the shorter one makes
    it latency-sensitive, and must not be hidden by the longer one.
    """
    deployment = start_deployment(42, objectives=[wait_objective(4.0), wait_objective(60.0, 0.97)])
    users, tasks = deployment.users, deployment.tasks
    arrays = users.submit(job_spec(1, team="blue", task_count=40, estimated_run_s=60.0))
    assert deployment.run_until(lambda: len(tasks.starts) >= 12, 40.0)
    deployment.run(3.0)
    submitted_at = deployment.now
    gang = users.submit(
        job_spec(
            2, kind="gang", team="blue", task_count=1, cpus=4.0, job_class="g", priority="high"
        )
    )
    assert deployment.run_until(lambda: tasks.has_started(gang), 12.0)
    assert deployment.now - submitted_at < 12.0
    assert users.wait_until_done(gang, 60.0)
    assert users.wait_until_done(arrays, 500.0)
    assert not deployment.rules.violations


def test_a_reclaim_notice_saves_checkpoints_and_reconciles_the_rest_early() -> None:
    deployment = start_deployment(39)
    users, tasks = deployment.users, deployment.tasks
    with_checkpoints = users.submit(
        job_spec(
            1,
            kind="gang",
            task_count=2,
            cpus=4.0,
            estimated_run_s=90.0,
            checkpoint_interval_s=20.0,
            checkpoint_save_s=2.0,
        )
    )
    without_checkpoints = users.submit(job_spec(2, task_count=4, estimated_run_s=90.0))
    deployment.run(20.0)
    assert {start.job for start in tasks.starts} == {with_checkpoints, without_checkpoints}
    starts_before = len(tasks.starts)
    commands: list[TaskCommand] = []
    for agent in deployment.agents.values():
        execute = agent.execute_commands

        def record(
            received: Sequence[TaskCommand],
            execute: Callable[[Sequence[TaskCommand]], None] = execute,
        ) -> None:
            commands.extend(received)
            execute(received)

        agent.execute_commands = record  # type: ignore[method-assign]
        agent.reclaim_at = deployment.now + 10.0
        deployment.schedule(10.0, agent.release)
    deployment.run(9.9)
    stops = [command for command in commands if command.verb == CommandVerb.STOP]
    assert {(stop.job, stop.grace_s) for stop in stops} == {(with_checkpoints, 2.0)}
    assert len({stop.index for stop in stops}) == 2
    reclaimed_at = deployment.now
    assert deployment.run_until(lambda: len(tasks.starts) >= starts_before + 6, 30.0)
    # The array's tasks are restarted without waiting for their agents' leases to expire.
    restarts = [
        start.at for start in tasks.starts[starts_before:] if start.job == without_checkpoints
    ]
    assert min(restarts) - reclaimed_at < deployment.lease_s + 3.0
    assert users.wait_until_done(with_checkpoints, 300.0)
    assert users.wait_until_done(without_checkpoints, 300.0)
    assert not deployment.rules.violations


def test_a_cleared_machine_starts_its_gang_with_the_heartbeat_that_shows_it() -> None:
    """The heartbeat that shows a machine as cleared for an urgent gang starts the gang.

    If the placement on the heartbeat's own machine skips machines that a gang has claimed, the gang
    waits for a tick and one more heartbeat.
    """
    teams = [{"name": name, "cpus": 90.0, "cpus_max": 200.0} for name in TEAM_NAMES]
    deployment = large_fleet(26, 6, 1, objectives=[wait_objective(6.0)], teams=teams)
    arrays = submit_arrays(
        deployment, 1, 6, 200, estimated_run_s=30.0, deadline_s=None, allows_spot=False
    )
    deployment.run(40.0)
    waits: list[float] = []
    for number in range(50, 56):
        gang = deployment.users.submit(
            job_spec(
                number,
                kind="gang",
                job_class="g",
                task_count=1,
                cpus=15.0,
                mem_gb=20.0,
                estimated_run_s=15.0,
                priority="high",
                team=TEAM_NAMES[number % 2],
            )
        )
        submitted_at = deployment.now
        deployment.run(20.0)
        waits += [start.at - submitted_at for start in deployment.tasks.starts_of(gang)]
    assert len(waits) == 6, "each gang preempts array tasks and starts once"
    # The stop is sent at once; the agent reports its effect half a second later.
    assert sorted(waits)[3] < 0.4 * FLEET_AGENTS["report_s"]
    assert all(deployment.users.wait_until_done(job, 600.0) for job in arrays)
    assert not deployment.rules.violations


@pytest.mark.parametrize(
    ("single_zone", "spread_zones"), [(True, False), (False, True), (False, False)]
)
def test_preemption_clears_machines_on_which_the_gang_can_start(
    single_zone: bool, spread_zones: bool
) -> None:
    """Guards against machines that are cleared again and again for a gang that cannot use them.

    The machines on which the least work is lost lie in the wrong zones. They were claimed without
    a bound in time: each claim expired before the gang could start, and was made once more.
    """
    deployment = medium_fleet(5, 1, 40, 400.0, zones=["a", "b"], objectives=[wait_objective(6.0)])
    users, tasks = deployment.users, deployment.tasks
    limits = {("m32", "a"): 2, ("m32", "b"): 2, ("m16", "a"): 0, ("m16", "b"): 0}
    deployment.cloud.capacity_by_kind.update(limits)
    # Least work is lost in both zones for a gang that needs one zone, and else in zone a.
    oldest = ("a", "b") if single_zone else ("b", "b")
    arrays = []
    for number, zone in enumerate([*oldest, *(["a", "b"] if single_zone else ["a", "a"])], 1):
        spec = job_spec(number, task_count=32, zone=zone, estimated_run_s=900.0, mem_gb=0.5)
        arrays.append(users.submit(spec))
        assert deployment.run_until(lambda count=32 * number: len(tasks.starts) == count, 60.0)
        deployment.run(10.0)
    gang = users.submit(
        whole_machine_gang(
            9,
            team="blue",
            job_class="g",
            priority="high",
            task_count=2,
            single_zone=single_zone,
            spread_zones=spread_zones,
        )
    )
    assert deployment.run_until(lambda: tasks.has_started(gang), 20.0)
    assert users.wait_until_done(gang, 60.0)
    assert not deployment.rules.violations


def test_a_gang_whose_claims_expire_leaves_the_machines_to_other_work() -> None:
    """Guards against claims that are renewed without end while their gang cannot start."""
    deployment = medium_fleet(6, 1, 40, 400.0, objectives=[wait_objective(6.0)])
    limits = {("m32", "a"): 1, ("m32", "b"): 0, ("m16", "a"): 0, ("m16", "b"): 0}
    deployment.cloud.capacity_by_kind.update(limits)
    users, tasks = deployment.users, deployment.tasks
    array = users.submit(job_spec(1, task_count=64, estimated_run_s=300.0, mem_gb=0.5))
    assert deployment.run_until(lambda: len(tasks.starts_of(array)) == 32, 60.0)
    # The placement of gangs fails for a reason that preemption does not know of.
    placement = deployment.nodes.current("n0").scheduling_services.dispatcher._placement
    placement.place_gang = lambda *arguments: False  # type: ignore[method-assign]
    users.submit(whole_machine_gang(9, team="blue", job_class="g", priority="high", task_count=1))
    starts_before = len(tasks.starts_of(array))
    deployment.run(100.0)
    assert deployment.logged("makes no claims")
    assert len(tasks.starts_of(array)) > starts_before
