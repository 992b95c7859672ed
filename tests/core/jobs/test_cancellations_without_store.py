"""Cancels that are confirmed while the store refuses the leader of the job's tasks.

The store refuses one leader alone, a cancel is confirmed elsewhere, and then the store is out for
longer than a cancel may take.
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


#: failures of an agent during the cancel; the words are part of the seeds
AGENT_FAILURES: dict[str, Callable[[FakeAgent], None]] = {
    "hung": hang_for_most_of_a_lease,
    "deaf": partition_inbound,
    "mute": partition_outbound,
}


def fail_one_of(
    deployment: SimulatedDeployment, controller_failure: str, name: str, rng: random.Random
) -> None:
    """Have a controller, or the cloud, fail in an outage of the store."""
    if controller_failure == "restart":
        deployment.nodes.kill(name, restart_after_s=rng.choice([0.2, 6.0]))
    elif controller_failure == "cut":
        others = [other for other in deployment.nodes.names if other != name]
        deployment.network.isolate(name, STORE, *others)
    elif controller_failure == "cloud":
        deployment.cloud.is_down = True


def end_outage_and_failures(deployment: SimulatedDeployment) -> None:
    """Have store, cloud and network work again; agents are reached again."""
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
    # The refused controller has machines with the job, and manages it or does not.
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
    # Long enough for the entry to be committed, and less than the refused one's lease.
    for _ in range(rng.randint(5, 12)):
        for name in others:
            users.request(name, "cancel", job)
            users.request(name, "query", job)
        deployment.run(0.25)
    if agent_failure:
        agents = agents_running(deployment, job) or deployment.busy_agents
        AGENT_FAILURES[agent_failure](agents[0])
    deployment.store.start_outage()
    fail_one_of(deployment, controller_failure, others[0], rng)
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
    # The refused leader is reached by its peers, so nobody has to wait.
    assert is_confirmed
    deployment.store.start_outage()
    deployment.run(3.0)
    assert not agents_running(deployment, job)
    poll_job(deployment, job, 1.2 * deployment.cancel_s, cancel=False)
    deployment.store.end_outage()
    deployment.store.refused_nodes.clear()
    assert users.wait_until_done(other_job, 100.0)
    # Nothing of it was lost: each task started once.
    assert tasks.starts_of(other_job) == starts
    assert len({start.task_index for start in starts}) == 9
    assert not deployment.rules.violations


def test_a_cancel_known_to_one_peer_only_comes_with_its_promise() -> None:
    """The leader is refused by the store and not reached by the one that commits.

    The promises under which it then leads bring the entry.
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
        asked = [users.request(name, kind, job) for name in others for kind in ("cancel", "query")]
        is_committed = bool(deployment.store.value(keys.JOBS + job)[3])
        deployment.run(0.3)
        # The leader may lead, and no message reached it: the cancel is not confirmed, and from
        # the entry on the job is not called running either.
        replies = [received[0] for received in asked if received]
        assert all(reply.state != "cancelled" for reply in replies)
        assert not is_committed or all(reply.status == 503 for reply in replies)
    assert is_committed
    deployment.store.start_outage()
    deployment.network.heal()
    # While it goes on leading it has the entry, though nobody asks it to apply it.
    deployment.network.dropped_tags = {"apply", "confirmed", "entries"}
    deployment.run(1.2 * deployment.cancel_s)
    assert deployment.nodes.controller(refused).leadership.led_shards()
    assert not agents_running(deployment, job)
    assert not deployment.rules.violations
    deployment.store.end_outage()
    deployment.store.refused_nodes.clear()
    assert users.cancel(job) == "cancelled"
    assert not deployment.rules.violations


def submit_job_managed_apart(deployment: SimulatedDeployment) -> str:
    """A gang that runs on no machine of the node that manages it."""
    for number in range(1, 12):
        job = deployment.users.submit(
            job_spec(number, kind="gang", task_count=2, estimated_run_s=300.0)
        )
        assert deployment.run_until(lambda job=job: bool(agents_running(deployment, job)), 40.0)
        if manager_of(deployment, job) not in leaders_running(deployment, job):
            return job
    raise AssertionError("no such gang")


def test_a_cancel_waits_for_a_manager_without_a_slice_too() -> None:
    """It is left with its users and agents, and would go on answering that the job runs."""
    deployment = start_deployment(4030)
    users = deployment.users
    job = submit_job_managed_apart(deployment)
    manager = manager_of(deployment, job)
    others = [name for name in deployment.nodes.names if name != manager]
    deployment.network.isolate(manager, STORE, *others)
    begun = deployment.now
    cancels: list[list[UserReply]] = []
    polls: list[UserReply] = []

    def is_confirmed() -> bool:
        return any(reply.status == 200 for replies in cancels for reply in replies)

    while deployment.now < begun + deployment.cancel_s and not is_confirmed():
        cancels += [users.request(name, "cancel", job) for name in others]
        polls = users.request(manager, "query", job)
        deployment.run(0.5)
        assert not deployment.rules.violations
    assert any(reply.state == "cancelled" for replies in cancels for reply in replies)
    assert not polls or polls[0].status == 503
    poll_job(deployment, job, deployment.lease_s)
    assert not deployment.rules.violations
