"""Scenarios of overlapping failures at random times; docs/overlapping_troubles.md lists them.

A scenario starts while a mix of jobs runs, and injects its failures while users poll and cancel.
A seed reproduces a run only as long as the order of the random choices stays the same.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Literal, NamedTuple

import msgspec

from tests.fakes.agent import FakeAgent
from tests.fakes.network import STORE
from tests.fakes.samples import job_spec
from tests.scenarios.scenario_driver import ScenarioDriver


def single_zone_jobs(driver: ScenarioDriver) -> None:
    """Jobs that must run in a single zone lose machines."""
    driver.submit(3, single_zone=True, kind="array", task_count=6, estimated_run_s=25.0)
    driver.submit(1, single_zone=True, kind="gang", task_count=4)
    driver.wait(8.0, 14.0)
    for _ in range(2):
        for agent in driver.random_busy_agents(0.5):
            agent.is_unresponsive = True
        driver.wait(2.0, 14.0)


def isolated_leader_that_users_reach(driver: ScenarioDriver) -> None:
    """A leader is isolated from the store and its peers, but not from agents and users."""
    node = driver.random_node()
    others = [name for name in driver.deployment.nodes.names if name != node]
    driver.deployment.network.isolate(node, STORE, *others)
    driver.wait(0.0, 5.0)
    driver.cancel_some(3)
    driver.wait_leases(1.2, 2.5)


def delayed_heartbeats(driver: ScenarioDriver) -> None:
    """Heartbeats to a leader are delayed until another controller has taken over."""
    network = driver.deployment.network
    driver.deployment.agent_link.duplicate_ratio = 0.5
    for _ in range(2):
        node = driver.random_node()
        for agent in driver.random_busy_agents():
            network.isolate(agent.name, node, delay=True)
        driver.wait(0.5, 4.0)
        driver.kill(node, 0.2, 8.0)
        driver.wait(4.0, 1.5 * driver.deployment.lease_s)
        network.heal()
        driver.wait(1.0, 3.0)


def more_work_than_capacity(driver: ScenarioDriver) -> None:
    """Jobs of all priorities exceed the fleet's capacity, and image fetches are slow."""
    cloud = driver.deployment.cloud
    cloud.capacity, driver.deployment.tasks.fetch_s = 3, 4.0
    for priority in ("low", "normal", "production", "high"):
        driver.submit(2, priority=priority, kind="array", task_count=10, estimated_run_s=10.0)
        driver.wait(0.5, 3.0)
    driver.kill(driver.random_node(), 0.2, 6.0)
    driver.cancel_some(2)
    driver.wait(10.0, 20.0)
    cloud.capacity = 12


def inject_agent_failure(driver: ScenarioDriver, agent: FakeAgent) -> None:
    """Make an agent unresponsive, or partition it in one or both directions."""
    failure = driver.rng.choice(["inbound", "outbound", "unresponsive", "isolated"])
    if failure == "inbound":
        agent.inbound_partitioned = True
    elif failure == "outbound":
        agent.outbound_partitioned = True
    elif failure == "unresponsive":
        agent.is_unresponsive = True
    else:
        driver.deployment.network.isolate(agent.name, *driver.deployment.nodes.names)


def team_at_its_limit(driver: ScenarioDriver) -> None:
    """Agents fail, a controller is killed and a job is cancelled while a team is at its limit."""
    long = driver.submit(1, team="blue", kind="array", task_count=16, estimated_run_s=80.0)[0]
    driver.submit(2, team="blue", kind="array", task_count=14, estimated_run_s=12.0)
    driver.wait(8.0, 14.0)
    for agent in driver.random_busy_agents():
        inject_agent_failure(driver, agent)
    driver.kill(driver.random_node(), 0.2, 8.0, 20.0)
    driver.wait(0.0, 4.0)
    driver.cancel(long, times=40, pause_s=1.5)
    driver.wait(5.0, 2.0 * driver.deployment.lease_s)


def request_near_completion(driver: ScenarioDriver, job: str) -> None:
    """Poll a job, submit it again, or cancel it."""
    kinds: list[Literal["submit", "query", "cancel"]] = ["query", "submit", "cancel", "query"]
    kind = driver.rng.choice(kinds)
    if kind == "cancel":
        if driver.rng.random() < 0.3:
            driver.cancel(job, times=20, pause_s=1.0)
        return
    argument = driver.deployment.tasks.specs[job] if kind == "submit" else job
    driver.deployment.users.request(driver.random_node(), kind, argument)


def requests_at_the_last_task(driver: ScenarioDriver) -> None:
    """Users poll, cancel and resubmit jobs that have at most one unfinished task."""
    jobs = driver.submit(6, kind="array", task_count=2, estimated_run_s=4.0)
    for _ in range(150):
        driver.deployment.run(0.2)
        for job in jobs:
            unfinished = driver.deployment.tasks.unfinished_tasks(job)
            if len(unfinished) <= 1 and driver.rng.random() < 0.3:
                request_near_completion(driver, job)


def isolated_zone(driver: ScenarioDriver) -> None:
    """Half of the machines and a controller are isolated together for longer than a lease."""
    node = driver.random_node()
    agents = [name for name in driver.deployment.agents if driver.rng.random() < 0.5]
    driver.deployment.network.isolate_group([node, *agents])
    driver.wait(0.0, 6.0)
    driver.cancel_some(2)
    driver.wait_leases(1.2, 2.5)


def late_commits(driver: ScenarioDriver) -> None:
    """The store applies commits late, after newer ones of the same controller."""
    driver.deployment.store_link.late_commit_ratio = 0.25
    for _ in range(3):
        driver.submit(1)
        driver.wait(1.0, 6.0)
        driver.cancel_some(1)
        if driver.rng.random() < 0.6:
            driver.kill(driver.random_node(), 0.1, 0.3, 5.0)
        driver.wait(1.0, 8.0)


def tasks_that_end_far_apart(driver: ScenarioDriver) -> None:
    """Failovers occur between the ends of a job's tasks, which are many seconds apart."""
    for task_count in (2, 3, 2, 3):
        job = driver.submit(1, kind="array", task_count=task_count)[0]
        for index in range(task_count):
            driver.deployment.tasks.run_times_s[(job, index)] = 3.0 + 14.0 * index
    for _ in range(3):
        driver.wait(4.0, 9.0)
        driver.kill(driver.random_node(), 0.2, 6.0)


def slow_store_then_outage(driver: ScenarioDriver) -> None:
    """The store is slow, then refuses one node, then has an outage."""
    deployment = driver.deployment
    deployment.store_link.latency_s = driver.rng.uniform(0.2, 1.0)
    driver.wait(1.0, 4.0)
    deployment.store.refused_nodes.add(driver.random_node())
    driver.cancel_some(3)
    driver.wait(0.5, 3.5)
    deployment.store.start_outage()
    driver.cancel_some(2)
    driver.wait(deployment.cancel_s, 1.4 * deployment.cancel_s)


def all_controllers_away(driver: ScenarioDriver) -> None:
    """All controllers are down for longer than a lease."""
    deployment = driver.deployment
    driver.cancel_some(2)
    driver.wait(0.0, 2.0)
    for name in deployment.nodes.names:
        deployment.nodes.kill(name, driver.random_leases_s(1.1, 2.0))
    deployment.run(1.1 * deployment.lease_s)
    driver.wait_leases(1.0, 2.0)


def outbound_partitioned_agents(driver: ScenarioDriver) -> None:
    """Heartbeats of some agents are lost, while direct commands reach these agents."""
    for agent in driver.random_busy_agents(0.6):
        agent.partition_outbound(driver.random_leases_s(0.3, 3.0))
    driver.wait(0.5, 6.0)
    driver.cancel_some(2)
    if driver.rng.random() < 0.5:
        driver.kill(driver.random_node(), 0.2, 6.0)
    driver.wait(1.0, 2.0 * driver.deployment.lease_s)


def old_heartbeats(driver: ScenarioDriver) -> None:
    """Duplicates of old heartbeats arrive late, some of earlier agent incarnations."""
    driver.deployment.agent_link.duplicate_ratio = 0.7
    for _ in range(4):
        for agent in driver.random_busy_agents(0.3):
            agent.restart()
        driver.wait(1.0, 6.0)
        driver.kill(driver.random_node(), 0.1, 3.0)
        driver.cancel_some(1)


def delayed_commands(driver: ScenarioDriver) -> None:
    """Commands to agents and their responses are delayed while the tasks keep running."""
    deployment = driver.deployment
    for _ in range(2):
        for agent in driver.random_busy_agents():
            deployment.network.isolate(agent.name, *deployment.nodes.names, delay=True)
            if driver.rng.random() < 0.5:
                agent.hang(driver.random_leases_s(0.2, 0.9))
        driver.cancel_some(2)
        driver.wait(1.0, 9.0)
        deployment.network.heal()
        driver.wait(1.0, 5.0)


def failovers_in_a_row(driver: ScenarioDriver) -> None:
    """Ten failovers within about two minutes, some during a store outage."""
    deployment = driver.deployment
    for number in range(10):
        if number == 4:
            deployment.store.start_outage()
        if number == 6:
            deployment.store.end_outage()
        if number % 4 == 2:
            driver.cancel_some(1)
        driver.kill(deployment.nodes.names[number % 3], 0.1, 0.4, 4.0)
        driver.wait(3.0, 14.0)


def failover_while_agents_are_away(driver: ScenarioDriver) -> None:
    """A controller is killed while agents with long tasks are unreachable."""
    deployment = driver.deployment
    driver.submit(2, kind="array", task_count=8, estimated_run_s=60.0)
    driver.wait(8.0, 12.0)
    for agent in driver.random_busy_agents(0.5):
        if driver.rng.random() < 0.5:
            delay = driver.rng.random() < 0.5
            deployment.network.isolate(agent.name, *deployment.nodes.names, delay=delay)
        else:
            agent.partition_inbound(driver.random_leases_s(0.5, 2.5))
    driver.kill(driver.random_node(), 0.2, 25.0)
    driver.cancel_some(1)
    driver.wait_leases(0.5, 2.0)
    deployment.network.heal()
    driver.wait(1.0, 5.0)


def transfers_there_and_back(driver: ScenarioDriver) -> None:
    """Shards move away from a controller and back; then all are killed and one restarts first."""
    nodes = driver.deployment.nodes
    first = driver.random_node()
    nodes.kill(first, 0.3)
    driver.wait(0.5, 2.0)
    driver.kill(first, 0.1, 9.0)
    driver.wait(2.0, 9.0)
    for name in nodes.names:
        nodes.kill(name, 0.3 if name == first else driver.rng.uniform(5.0, 15.0))
    driver.cancel_some(1)
    driver.wait(1.0, 9.0)
    if driver.rng.random() < 0.5 and nodes.controllers[first] is not None:
        nodes.kill(first, 0.5)
    driver.wait(15.0, 18.0)


def infeasible_specs() -> list[Any]:
    """Return specs of jobs that the deployment can never run."""
    return [
        job_spec(90, machine_types=["none"]),
        job_spec(91, cpus=9.0),
        job_spec(92, team="green"),
        job_spec(93, team="blue", kind="gang", task_count=13),
        job_spec(94, zone="z"),
        job_spec(95, kind="gang", spread_zones=True, single_zone=True, task_count=4),
        job_spec(96, kind="gang", spread_zones=True, zone="a", task_count=4),
    ]


def odd_requests(driver: ScenarioDriver) -> None:
    """Repeated requests, also during an outage: infeasible or changed specs, a late cancel."""
    deployment, users = driver.deployment, driver.deployment.users
    done = driver.submit(1, kind="array", task_count=1, estimated_run_s=1.0)[0]
    assert users.wait_until_done(done, 60.0)
    # It runs longer than this scenario, so its state stays "queued" or "running".
    live = driver.submit(1, kind="array", team="red", task_count=3, estimated_run_s=200.0)[0]
    changed = msgspec.structs.replace(deployment.tasks.specs[live], task_count=5)
    infeasible = infeasible_specs()
    outage_in_s = driver.rng.uniform(0.5, 3.0)
    deployment.schedule(outage_in_s, deployment.store.start_outage)
    deployment.schedule(outage_in_s + 8.0, deployment.store.end_outage)
    statuses: dict[str, set[int]] = {}
    for _ in range(14):
        for name in deployment.nodes.names:
            replies_by_job = [(spec.id, users.request(name, "submit", spec)) for spec in infeasible]
            replies_by_job.append((live, users.request(name, "submit", changed)))
            replies_by_job.append((done, users.request(name, "cancel", done)))
            deployment.run(0.3)
            for job, replies in replies_by_job:
                for reply in replies:
                    statuses.setdefault(job, set()).add(reply.status)
                    assert reply.status != 503 or reply.retry_after_s
                    assert reply.status != 200 or (reply.state == "done") == (job == done)
    for spec in infeasible:
        assert 422 in statuses[spec.id]
        assert statuses[spec.id] <= {422, 503}
    for job in (live, done):
        assert 200 in statuses[job]
        assert statuses[job] <= {200, 503}
    # The job was done before the first cancel request, so its state stays done.
    deployment.rules.cancel_requested.discard(done)
    driver.cancel(live, times=40, pause_s=1.5)


class Scenario(NamedTuple):
    """A function that injects failures, and the first of the seeds that it runs with."""

    run: Callable[[ScenarioDriver], None]
    first_seed: int


SCENARIOS = {
    scenario.run.__name__: scenario
    for scenario in (
        Scenario(all_controllers_away, 5000),
        Scenario(team_at_its_limit, 5100),
        Scenario(isolated_leader_that_users_reach, 5200),
        Scenario(requests_at_the_last_task, 5300),
        Scenario(delayed_commands, 5400),
        Scenario(delayed_heartbeats, 5500),
        Scenario(late_commits, 5600),
        Scenario(failover_while_agents_are_away, 5700),
        Scenario(failovers_in_a_row, 5800),
        Scenario(more_work_than_capacity, 5900),
        Scenario(outbound_partitioned_agents, 6000),
        Scenario(odd_requests, 6100),
        Scenario(old_heartbeats, 6200),
        Scenario(transfers_there_and_back, 6300),
        Scenario(slow_store_then_outage, 6400),
        Scenario(tasks_that_end_far_apart, 6500),
        Scenario(single_zone_jobs, 6600),
        Scenario(isolated_zone, 6700),
    )
}
