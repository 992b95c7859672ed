"""Cancels that are confirmed while the store refuses the leader of the job's tasks.

The store refuses the requests of one leader only, another node confirms a cancel, and then the
store is unavailable for longer than ``cancel_s``.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from marblestair.core.runtime.outbox import UserReply
from marblestair.core.state import keys
from tests.fakes.agent import FakeAgent
from tests.fakes.network import STORE
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import (
    agents_running,
    leader_of_most_machines,
    leaders_running,
    manager_of,
    poll_job,
    start_deployment,
)


def hang_for_most_of_a_lease(agent: FakeAgent) -> None:
    agent.hang(0.6 * agent.deployment.lease_s)


def partition_inbound(agent: FakeAgent) -> None:
    agent.inbound_partitioned = True


def partition_outbound(agent: FakeAgent) -> None:
    agent.outbound_partitioned = True


#: failures of an agent during the cancel; the names are part of the random seeds
AGENT_FAILURES: dict[str, Callable[[FakeAgent], None]] = {
    "hung": hang_for_most_of_a_lease,
    "deaf": partition_inbound,
    "mute": partition_outbound,
}


def inject_failure(
    deployment: SimulatedDeployment, controller_failure: str, name: str, rng: random.Random
) -> None:
    """Make a controller or the cloud fail during an outage of the store."""
    if controller_failure == "restart":
        deployment.nodes.kill(name, restart_after_s=rng.choice([0.2, 6.0]))
    elif controller_failure == "cut":
        others = [other for other in deployment.nodes.names if other != name]
        deployment.network.isolate(name, STORE, *others)
    elif controller_failure == "cloud":
        deployment.cloud.is_down = True


def end_outage_and_failures(deployment: SimulatedDeployment) -> None:
    """End the failures of the store, the cloud, the network and the agents' connections."""
    deployment.store.refused_nodes.clear()
    deployment.store.end_outage()
    deployment.cloud.is_down = False
    deployment.network.heal()
    for agent in deployment.agents.values():
        agent.inbound_partitioned = agent.outbound_partitioned = False


def cancel_while_the_leader_is_refused(
    managed: str, controller_failure: str, agent_failure: str, seed: int
) -> None:
    deployment = start_deployment(4000 + seed)
    users, names = deployment.users, deployment.nodes.names
    rng = random.Random(f"{managed} {controller_failure} {agent_failure} {seed}")
    other_job = users.submit(job_spec(1, team="blue", task_count=6, estimated_run_s=70.0))
    job = users.submit(job_spec(2, task_count=9, estimated_run_s=300.0))
    deployment.run(16.0)
    # The refused controller leads machines that run the job; it manages the job or does not.
    manager = manager_of(deployment, job)
    leaders = sorted(set(leaders_running(deployment, job)))
    assert manager in leaders
    assert len(leaders) >= 2
    if managed == "refused":
        refused = manager
    else:
        refused = rng.choice([name for name in leaders if name != manager])
    others = [name for name in names if name != refused]
    deployment.store.refused_nodes.add(refused)
    deployment.run(rng.uniform(0.1, 0.5))
    # Long enough to commit the cancel's entry, and shorter than the refused controller's lease.
    for _ in range(rng.randint(5, 12)):
        for name in others:
            users.request(name, "cancel", job)
            users.request(name, "query", job)
        deployment.run(0.25)
    if agent_failure:
        agents = agents_running(deployment, job) or deployment.busy_agents
        AGENT_FAILURES[agent_failure](agents[0])
    deployment.store.start_outage()
    inject_failure(deployment, controller_failure, others[0], rng)
    poll_job(deployment, job, 1.4 * deployment.cancel_s)
    assert not deployment.rules.violations, seed
    end_outage_and_failures(deployment)
    assert users.cancel(job) == "cancelled"
    assert users.wait_until_done(other_job, 200.0)
    deployment.run(deployment.cancel_s)
    assert not users.unanswered_jobs()
    assert not deployment.rules.violations, seed


@pytest.mark.parametrize("agent_failure", ["", *sorted(AGENT_FAILURES)])
@pytest.mark.parametrize("controller_failure", ["", "restart", "cut", "cloud"])
@pytest.mark.parametrize("managed", ["refused", "elsewhere"])
def test_a_cancel_confirmed_while_the_leader_is_refused_alone_reaches_it(
    managed: str, controller_failure: str, agent_failure: str
) -> None:
    for seed in range(2):
        cancel_while_the_leader_is_refused(managed, controller_failure, agent_failure, seed)


def test_a_cancel_confirmed_without_the_store_leaves_other_work_where_it_is() -> None:
    deployment = start_deployment(4010)
    users, tasks = deployment.users, deployment.tasks
    other_job = users.submit(job_spec(1, team="blue", task_count=9, estimated_run_s=60.0))
    job = users.submit(job_spec(2, task_count=9, estimated_run_s=300.0))
    deployment.run(16.0)
    refused = leader_of_most_machines(deployment, job)
    starts = tasks.starts_of(other_job)
    assert len(starts) == 9
    deployment.store.refused_nodes.add(refused)
    deployment.run(0.3)
    is_confirmed = False
    for _ in range(6):
        cancels = [
            users.request(name, "cancel", job) for name in deployment.nodes.names if name != refused
        ]
        deployment.run(0.25)
        is_confirmed |= any(replies and replies[0].status == 200 for replies in cancels)
    # Peers still reach the refused leader, so the cancel is confirmed before its lease expires.
    assert is_confirmed
    deployment.store.start_outage()
    deployment.run(3.0)
    assert not agents_running(deployment, job)
    poll_job(deployment, job, 1.2 * deployment.cancel_s, cancel=False)
    deployment.store.end_outage()
    deployment.store.refused_nodes.clear()
    assert users.wait_until_done(other_job, 100.0)
    # No task of the other job was lost or repeated: each started once.
    assert tasks.starts_of(other_job) == starts
    assert len({start.task_index for start in starts}) == 9
    assert not deployment.rules.violations


def test_a_cancel_known_to_one_peer_only_comes_with_its_promise() -> None:
    """The store refuses a leader, and the node that commits the cancel cannot reach it.

    The leader later acts on promises of its peers, which carry the cancel's entry.
    """
    deployment = start_deployment(4021)
    users = deployment.users
    job = users.submit(job_spec(1, task_count=12, estimated_run_s=300.0))
    deployment.run(16.0)
    refused = min(set(leaders_running(deployment, job)) - {manager_of(deployment, job)})
    others = [name for name in deployment.nodes.names if name != refused]
    deployment.store.refused_nodes.add(refused)
    deployment.network.isolate(refused, *others)
    for _ in range(5):
        reply_lists = [
            users.request(name, kind, job) for name in others for kind in ("cancel", "query")
        ]
        is_committed = bool(deployment.store.value(keys.JOBS + job)[3])
        deployment.run(0.3)
        # The leader may still act and has not got the entry, so the cancel must not be confirmed.
        # After the entry is committed, the job must not be reported as running either.
        replies = [received[0] for received in reply_lists if received]
        assert all(reply.state != "cancelled" for reply in replies)
        assert not is_committed or all(reply.status == 503 for reply in replies)
    assert is_committed
    deployment.store.start_outage()
    deployment.network.heal()
    # The leader acts on promises and gets the entry with them; other messages that would carry it
    # are dropped.
    deployment.network.dropped_tags = {"apply", "confirmed", "entries"}
    deployment.run(1.2 * deployment.cancel_s)
    assert deployment.nodes.controller(refused).leadership.led_shards()
    assert not agents_running(deployment, job)
    assert not deployment.rules.violations
    deployment.store.end_outage()
    deployment.store.refused_nodes.clear()
    assert users.cancel(job) == "cancelled"
    assert not deployment.rules.violations


def submit_gang_not_run_by_manager(deployment: SimulatedDeployment) -> str:
    """Submit gangs until one runs on no machine of its manager's node; return its id."""
    for number in range(1, 12):
        job = deployment.users.submit(
            job_spec(number, kind="gang", task_count=2, estimated_run_s=300.0)
        )
        assert deployment.run_until(lambda job=job: bool(agents_running(deployment, job)), 40.0)
        if manager_of(deployment, job) not in leaders_running(deployment, job):
            return job
    raise AssertionError("every gang runs on a machine of its manager")


def test_a_cancel_waits_for_a_manager_without_a_slice_too() -> None:
    """The isolated manager has users and agents, and would still report the job as running."""
    deployment = start_deployment(4030)
    users = deployment.users
    job = submit_gang_not_run_by_manager(deployment)
    manager = manager_of(deployment, job)
    others = [name for name in deployment.nodes.names if name != manager]
    deployment.network.isolate(manager, STORE, *others)
    isolated_at = deployment.now
    cancels: list[list[UserReply]] = []
    polls: list[UserReply] = []

    def is_confirmed() -> bool:
        return any(reply.status == 200 for replies in cancels for reply in replies)

    while deployment.now < isolated_at + deployment.cancel_s and not is_confirmed():
        cancels += [users.request(name, "cancel", job) for name in others]
        polls = users.request(manager, "query", job)
        deployment.run(0.5)
        assert not deployment.rules.violations
    assert any(reply.state == "cancelled" for replies in cancels for reply in replies)
    assert not polls or polls[0].status == 503
    poll_job(deployment, job, deployment.lease_s)
    assert not deployment.rules.violations
