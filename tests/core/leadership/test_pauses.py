"""Controllers that stand still while their clocks run on.

A pause is put at a critical point: what was decided before it is sent after it. Late duplicates of
heartbeats and requests that are carried out late follow.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from marblestair.core.domain.agents import CommandVerb
from marblestair.core.runtime.requests import PeerRequest
from marblestair.core.runtime.store_requests import CompareAndSwap
from marblestair.core.state import keys
from tests.fakes.nodes import OutputKind
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import leader_of, manager_of, start_deployment
from tests.recorder import RequestRecorder


def is_commit(kind: OutputKind, output: Any) -> bool:
    return kind == OutputKind.REQUEST and isinstance(output, CompareAndSwap)


def is_failover(kind: OutputKind, output: Any) -> bool:
    return is_commit(kind, output) and any(put.key.startswith(keys.FENCES) for put in output.puts)


def is_acceptance(kind: OutputKind, output: Any) -> bool:
    return is_commit(kind, output) and any(
        key.startswith(keys.JOBS) and not version for key, version in output.preconditions
    )


def is_heartbeat_response(kind: OutputKind, output: Any) -> bool:
    return kind == OutputKind.HEARTBEAT_RESPONSE and output.status == 200


def is_launch(kind: OutputKind, output: Any) -> bool:
    return is_heartbeat_response(kind, output) and any(
        command.verb == CommandVerb.START for command in output.commands
    )


def is_promise(kind: OutputKind, output: Any) -> bool:
    # A promise is a list of the cancels that the asker may lack; a refusal is None.
    is_reply = kind == OutputKind.PEER_REPLY and output.tag == "promise"
    return is_reply and output.value is not None


def is_peer_request(kind: OutputKind, output: Any) -> bool:
    return kind == OutputKind.REQUEST and isinstance(output, PeerRequest)


CRITICAL_POINTS: dict[str, Callable[[OutputKind, Any], bool]] = {
    "commit": is_commit,
    "failover": is_failover,
    "acceptance": is_acceptance,
    "heartbeat response": is_heartbeat_response,
    "launch": is_launch,
    "promise": is_promise,
    "peer request": is_peer_request,
}


class PauseAt:
    """Freezes a node for some leases at an occurrence of a critical point."""

    def __init__(
        self, deployment: SimulatedDeployment, point: str, occurrence: int, leases: float
    ) -> None:
        self.has_paused = False
        self._deployment = deployment
        self._is_at_point = CRITICAL_POINTS[point]
        self._remaining = occurrence
        self._leases = leases

    def __call__(self, kind: OutputKind, node: str, output: Any) -> None:
        """Freeze the node if the output is the one to be delayed."""
        if self.has_paused or not self._is_at_point(kind, output):
            return
        self._remaining -= 1
        if self._remaining <= 0:
            self.has_paused = True
            self._deployment.nodes.freeze(node, self._leases * self._deployment.lease_s)


def pause_at_a_critical_point(point: str, leases: float, seed: int) -> None:
    deployment = start_deployment(3000 + 10 * seed)
    users = deployment.users
    deployment.agent_link.duplicate_ratio, deployment.store_link.late_commit_ratio = 0.1, 0.02
    occurrence = 1 if point == "failover" else random.Random(seed).randint(1, 4)
    pause = PauseAt(deployment, point, occurrence, leases)
    jobs = users.submit_many(range(1, 4), task_count=8, estimated_run_s=8.0)
    cancelled = users.submit(job_spec(4, task_count=8, estimated_run_s=60.0))
    deployment.run(4.0)
    deployment.nodes.on_output = pause
    if point == "failover":
        deployment.nodes.kill("n1", restart_after_s=25.0)
    elif point == "promise":
        # Unlike after an outage, leases do not get their full time again.
        deployment.store.is_down = True
        deployment.schedule(
            0.7 * deployment.lease_s, lambda: setattr(deployment.store, "is_down", False)
        )
    elif point == "acceptance":
        jobs += users.submit_many(range(10, 15), task_count=4, estimated_run_s=5.0)
    deployment.run(1.5)
    if point != "promise":
        assert users.cancel(cancelled) == "cancelled"
    if point == "peer request":
        # A poll at another node than the manager's is a request between controllers.
        for _ in range(20):
            if not pause.has_paused:
                users.state_of(jobs[0])
    deployment.run((leases + 1.0) * deployment.lease_s)
    assert pause.has_paused, "the test never came to its point"
    deployment.nodes.on_output = None
    assert all(users.wait_until_done(job, 150.0) for job in jobs)
    deployment.run(deployment.cancel_s)
    assert not deployment.rules.violations, seed
    assert not users.unanswered_jobs()


@pytest.mark.parametrize("point", sorted(CRITICAL_POINTS))
@pytest.mark.parametrize("leases", [0.25, 0.8, 1.6])
def test_after_a_pause_nothing_is_done_under_an_authority_that_ended(
    point: str, leases: float
) -> None:
    for seed in range(3):
        pause_at_a_critical_point(point, leases, seed)


def test_a_node_that_wakes_leads_nothing_until_it_has_read_the_shard_map() -> None:
    deployment = start_deployment(3100)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(6.0)
    name = leader_of(deployment, 0)
    controller = deployment.nodes.controller(name)
    assert controller.leadership.is_leader(0)
    deployment.nodes.freeze(name, 1.5 * deployment.lease_s)
    deployment.run(1.5 * deployment.lease_s - 0.01)
    # Others have taken the shard over. On waking, before anything is read, it leads none.
    deployment.nodes.set_time(controller)
    assert not controller.leadership.led_shards()
    assert not controller.leadership.is_leader(0)
    assert leader_of(deployment, 0) != name
    deployment.run(20.0)
    assert not deployment.rules.violations
    assert deployment.users.wait_until_done(job, 200.0)


def changed_keys(commit: CompareAndSwap) -> list[str]:
    """The keys that a commit puts or deletes."""
    return [put.key for put in commit.puts] + commit.deletes


def is_commit_for_a_shard(commit: CompareAndSwap) -> bool:
    """Whether a commit changes no key that belongs to no shard: a node's own, machine types."""
    return not any(
        key.startswith((keys.NODES, keys.MACHINE_TYPES)) or key == keys.SHARD_MAP
        for key in changed_keys(commit)
    )


def test_commits_of_a_leader_from_before_a_pause_are_refused_after_a_failover() -> None:
    deployment = start_deployment(3101)
    name = leader_of(deployment, 0)
    commits: list[CompareAndSwap] = []

    def apply_commit(_kind: OutputKind, node: str, output: Any) -> None:
        if node == name and isinstance(output, CompareAndSwap) and is_commit_for_a_shard(output):
            commits.append(output)

    deployment.nodes.on_output = apply_commit
    jobs = [
        deployment.users.submit(job_spec(number, task_count=8, estimated_run_s=3.0), node=name)
        for number in range(1, 7)
    ]
    assert all(deployment.users.wait_until_done(job, 60.0) for job in jobs)
    deployment.run(30.0)
    deployment.nodes.on_output = None
    deployment.nodes.freeze(name, 3 * deployment.lease_s)
    assert deployment.run_until(lambda: leader_of(deployment, 0) != name, 2 * deployment.lease_s)
    kinds = {key.rsplit("/", 1)[0] for commit in commits for key in changed_keys(commit)}
    assert len(commits) > 10
    assert len(kinds) >= 4
    # Each of them, sent late or once more.
    statuses = [deployment.store.execute(commit, name).status for commit in commits]
    assert statuses == [409] * len(commits)
    deployment.run(3 * deployment.lease_s)
    assert not deployment.rules.violations


@pytest.mark.parametrize("leases", [0.3, 0.8, 2.5])
def test_a_node_that_wakes_sends_no_burst_to_the_store_or_the_cloud(leases: float) -> None:
    """All timers of a frozen node fall due together when it goes on."""
    deployment = start_deployment(480, teams=[{"name": "red", "cpus": 40.0, "cpus_max": 60.0}])
    job = deployment.users.submit(job_spec(1, task_count=30, estimated_run_s=120.0))
    deployment.run(20.0)
    node = manager_of(deployment, job)
    recorder = RequestRecorder(deployment, node)
    deployment.run(10.0)
    usual = recorder.count_store_and_cloud_requests()
    assert usual > 0
    deployment.nodes.freeze(node, leases * deployment.lease_s)
    deployment.run(leases * deployment.lease_s)
    recorder.requests.clear()
    deployment.run(2.0)
    # In the two seconds after it goes on no more than in ten ordinary ones.
    assert recorder.count_store_and_cloud_requests() <= usual
    assert deployment.users.wait_until_done(job, 300.0)
    assert not deployment.rules.violations
