"""Simulated fleets of dozens to thousands of machines, and workloads for them."""

from __future__ import annotations

from typing import Any

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machines import MachineType
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import START_UP_S

TEAM_NAMES = ("red", "blue")
#: machine types of fleets in two zones
TWO_ZONE_TYPES = [
    MachineType("m16", 16.0, 0.0, 64.0, 50.0, 1.0, 1.0, 0.35, 5.0, ["a", "b"]),
    MachineType("m32", 32.0, 0.0, 64.0, 50.0, 1.0, 1.8, 0.7, 5.0, ["a", "b"]),
]
#: machine types of fleets in three zones, with a shorter boot time
THREE_ZONE_TYPES = [
    MachineType("m16", 16.0, 0.0, 64.0, 50.0, 1.0, 1.0, 0.35, 4.0, ["a", "b", "c"]),
    MachineType("m32", 32.0, 0.0, 64.0, 50.0, 1.0, 1.8, 0.7, 4.0, ["a", "b", "c"]),
]
#: timing of heartbeats and leases; their ratio differs from that of the small deployments
FLEET_AGENTS = dict(report_s=2.5, lease_s=15.25, gang_wait_s=30.0, gang_peer_s=5.0, cancel_s=40.25)
#: rate and size limits of the store of large fleets
FLEET_STORE = dict(rps=400.0, write_rps=150.0, value_kb=4.0, txn_ops=12)


def _start_fleet(
    seed: int, nodes: int, machines: int, machine_types: list[MachineType], **cluster: Any
) -> SimulatedDeployment:
    """Start a deployment that may rent a number of machines of some types."""
    deployment = SimulatedDeployment(seed, nodes, **cluster)
    deployment.cloud.machine_types, deployment.cloud.capacity = machine_types, machines
    deployment.run(START_UP_S)
    return deployment


def large_fleet(seed: int, machines: int, nodes: int = 3, **cluster: Any) -> SimulatedDeployment:
    """Start a deployment whose teams may together use all of a number of machines."""
    base: dict[str, Any] = dict(
        teams=[
            {"name": name, "cpus": 4.0 * machines, "cpus_max": 8.0 * machines}
            for name in TEAM_NAMES
        ],
        workers=FLEET_AGENTS,
        state=FLEET_STORE,
        cloud=dict(rps=8.0, list_lag_s=5.0),
        machine_limits=dict(core_share=1.0, mem_mb=400.0, sockets=2000.0),
    )
    return _start_fleet(seed, nodes, machines, THREE_ZONE_TYPES, **{**base, **cluster})


def medium_fleet(
    seed: int, nodes: int, machines: int, cpu_limit: float, **cluster: Any
) -> SimulatedDeployment:
    """Start a deployment with default timing, whose teams have the same CPU limit each."""
    teams = [
        {"name": name, "cpus": cpu_limit / 4, "cpus_max": cpu_limit, "gpus": 0.0, "gpus_max": 0.0}
        for name in TEAM_NAMES
    ]
    return _start_fleet(seed, nodes, machines, TWO_ZONE_TYPES, teams=teams, **cluster)


def submit_arrays(
    deployment: SimulatedDeployment, first: int, jobs: int, tasks: int, **changes: Any
) -> list[str]:
    """Submit arrays of both teams without waiting for the replies; return their ids."""
    ids = []
    base = {"estimated_run_s": 12.0, "deadline_s": 90.0, "allows_spot": True, "mem_gb": 0.5}
    for number in range(first, first + jobs):
        team, image = TEAM_NAMES[number % 2], f"i{number % 9}"
        spec = job_spec(number, task_count=tasks, team=team, image=image, **{**base, **changes})
        node = deployment.rng.choice(deployment.nodes.names)
        deployment.users.request(node, "submit", spec)
        ids.append(spec.id)
        deployment.run(0.05)
    return ids


def submit_mixed_load(
    deployment: SimulatedDeployment, jobs: int, tasks: tuple[int, int], pause_s: float
) -> list[str]:
    """Submit arrays, and every fourth job a whole-machine gang of high priority; return the ids."""
    ids = []
    for number in range(1, jobs + 1):
        team = TEAM_NAMES[number % 2]
        if number % 4 == 0:
            spec = job_spec(
                number,
                kind="gang",
                job_class="g",
                task_count=1,
                cpus=30.0,
                mem_gb=20.0,
                estimated_run_s=20.0,
                priority="high",
                team=team,
            )
        else:
            spec = job_spec(
                number,
                task_count=deployment.rng.randint(*tasks),
                mem_gb=0.5,
                estimated_run_s=15.0,
                deadline_s=60.0,
                allows_spot=True,
                team=team,
            )
        ids.append(deployment.users.submit(spec))
        deployment.run(pause_s)
    return ids


def whole_machine_gang(number: int, **changes: Any) -> JobSpec:
    """Return a gang whose tasks each take most of the largest machine type."""
    return job_spec(number, kind="gang", cpus=30.0, mem_gb=20.0, **changes)


def running_tasks(deployment: SimulatedDeployment) -> dict[tuple[str, int], str]:
    """Map each running task to its machine."""
    return {
        (task.job, task.index): agent.name
        for agent in deployment.serving_agents
        for task in agent.live_tasks.values()
        if task.state == "running"
    }


def assert_all_done(deployment: SimulatedDeployment, jobs: list[str], timeout_s: float) -> None:
    """Assert that users can query all jobs, that they finish in time, and no rule violation."""
    assert deployment.run_until(lambda: not deployment.users.unanswered_jobs(), 1.0)
    assert all(deployment.users.wait_until_done(job, timeout_s) for job in jobs)
    assert not deployment.rules.violations
    assert not deployment.store.oversized_commits


def assert_new_jobs_start(deployment: SimulatedDeployment, timeout_s: float) -> None:
    """Assert that a newly submitted small job starts within the timeout."""
    job = deployment.users.submit(
        job_spec(
            900_000 + len(deployment.tasks.specs),
            task_count=3,
            team="red",
            mem_gb=0.5,
            estimated_run_s=2.0,
            allows_spot=True,
        )
    )
    assert deployment.run_until(lambda: deployment.tasks.has_started(job), timeout_s)
