"""Preemption for latency-sensitive gangs, and eviction from reclaimed spot machines."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from marblestair.core.domain.agents import CommandVerb, TaskCommand
from tests.fakes.samples import job_spec, wait_objective
from tests.helpers import start_deployment
from tests.scenarios.fleets import FLEET_AGENTS, TEAM_NAMES, large_fleet, submit_arrays


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
    # Work of the same priority is not preempted.
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
    """Found on a simulated steady day: arrays used their team's whole limit.

    The team's urgent gangs waited for minutes. The class had two objectives, too, and only the
    longer one counted.
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
    without = users.submit(job_spec(2, task_count=4, estimated_run_s=90.0))
    deployment.run(20.0)
    assert {start.job for start in tasks.starts} == {with_checkpoints, without}
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
    # The arrays' tasks did not have to wait for their agents' leases to expire.
    restarts = [start.at for start in tasks.starts[starts_before:] if start.job == without]
    assert min(restarts) - reclaimed_at < deployment.lease_s + 3.0
    assert users.wait_until_done(with_checkpoints, 300.0)
    assert users.wait_until_done(without, 300.0)
    assert not deployment.rules.violations


def test_a_cleared_machine_starts_its_gang_with_the_heartbeat_that_shows_it() -> None:
    """Found on simulated days: a machine that was being cleared for an urgent gang was passed over.

    That was once heartbeats filled their own machine; the gang waited for a tick and one more
    heartbeat.
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
    assert len(waits) == 6, "each preempts arrays"
    # The stop goes out at once, the agent reports the change half a second later.
    assert sorted(waits)[3] < 0.4 * FLEET_AGENTS["report_s"]
    assert all(deployment.users.wait_until_done(job, 600.0) for job in arrays)
    assert not deployment.rules.violations
