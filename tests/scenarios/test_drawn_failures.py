"""Random failures cause no violation of a rule."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest

from marblestair.core.domain.jobs import JobSpec
from tests.fakes.network import STORE, USERS
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import isolate_controllers, start_deployment


def random_job(deployment: SimulatedDeployment, number: int) -> JobSpec:
    """Return a random array or gang of one of the teams."""
    rng = deployment.rng
    kind = rng.choice(["array", "array", "gang"])
    return job_spec(
        number,
        kind=kind,
        team=rng.choice(["red", "blue"]),
        task_count=rng.randint(1, 6 if kind == "gang" else 14),
        estimated_run_s=rng.uniform(2.0, 15.0),
        allows_spot=rng.random() < 0.5,
    )


class SingleFailures:
    """Injects one random failure at a time.

    The order of random choices must stay, so that seeds reproduce the same failures.
    """

    def __init__(self, deployment: SimulatedDeployment, jobs: list[str]) -> None:
        self._deployment = deployment
        self._rng = deployment.rng
        self._jobs = jobs
        self._failures: list[Callable[[], None]] = [
            self._kill_controller,
            self._isolate_controller,
            deployment.network.heal,
            deployment.store.start_outage,
            self._kill_all_controllers,
            self._hang_agent,
            self._cancel,
            self._isolate_controller_from_store,
            lambda: None,
        ]

    def inject(self) -> None:
        """Inject a random failure and run for a while; an outage of the store ends in this time."""
        deployment, rng = self._deployment, self._rng
        failure = self._failures[rng.randrange(len(self._failures))]
        failure()
        deployment.run(rng.uniform(0.5, 6.0))
        if deployment.store.is_down:
            deployment.run(rng.uniform(1.0, 12.0))
            deployment.store.end_outage()
        if rng.random() < 0.3:
            deployment.network.heal()

    def _random_node(self) -> str:
        return self._rng.choice(self._deployment.nodes.names)

    def _kill_controller(self) -> None:
        node = self._random_node()
        self._deployment.nodes.kill(node, restart_after_s=self._rng.choice([0.2, 3.0, 8.0]))

    def _kill_all_controllers(self) -> None:
        for name in self._deployment.nodes.names:
            self._deployment.nodes.kill(name, restart_after_s=self._rng.uniform(0.2, 6.0))

    def _isolate_controller(self) -> None:
        self._deployment.network.heal()
        node = self._random_node()
        self._deployment.network.isolate(node, delay=self._rng.random() < 0.5)

    def _isolate_controller_from_store(self) -> None:
        self._deployment.network.heal()
        self._deployment.network.isolate(self._random_node(), STORE)

    def _hang_agent(self) -> None:
        agents = self._deployment.serving_agents
        if agents:
            self._rng.choice(agents).hang(self._rng.uniform(2.0, 30.0))

    def _cancel(self) -> None:
        job = self._rng.choice(self._jobs)
        self._deployment.users.request(self._random_node(), "cancel", job)


@pytest.mark.parametrize("seed", range(100, 108))
def test_single_failures_drawn_at_random_break_no_rule(seed: int) -> None:
    deployment = start_deployment(seed)
    users, rules = deployment.users, deployment.rules
    deployment.store_link.lost_response_ratio = 0.02
    deployment.store_link.late_commit_ratio = 0.02
    jobs: list[str] = []
    failures = SingleFailures(deployment, jobs)
    for number in range(1, 13):
        spec = random_job(deployment, number)
        single_zone = deployment.rng.random() < 0.2
        jobs.append(users.submit(msgspec.structs.replace(spec, single_zone=single_zone)))
        failures.inject()
        assert not rules.violations
    deployment.network.heal()
    deployment.store.end_outage()
    deployment.store_link.end_failures()
    for job in jobs:
        if job not in rules.cancel_requested:
            assert users.wait_until_done(job, 600.0), job
    deployment.run(40.0)
    assert not rules.violations


class ManyFailures:
    """Injects several random failures at a time.

    The order of the list must stay, so that seeds reproduce the same failures.
    """

    def __init__(self, deployment: SimulatedDeployment, jobs: list[str]) -> None:
        self._deployment = deployment
        self._rng = deployment.rng
        self._jobs = jobs
        self._failures: list[Callable[[], None]] = [
            self._partition_agents,
            self._hang_agent,
            self._restart_agent,
            self._isolate_controller_from_store_users_and_peers,
            self._store_outage,
            self._cancel,
            self._restart_controllers,
            lambda: isolate_controllers(deployment),
            self._delay_packets,
        ]

    def inject(self) -> None:
        """Inject one to three random failures."""
        for failure in self._rng.sample(self._failures, self._rng.randint(1, 3)):
            failure()

    def _random_node(self) -> str:
        return self._rng.choice(self._deployment.nodes.names)

    def _partition_agents(self) -> None:
        agents = self._deployment.serving_agents
        for agent in self._rng.sample(agents, min(2, len(agents))):
            agent.partition_inbound(self._rng.uniform(3.0, 40.0))

    def _hang_agent(self) -> None:
        for agent in self._deployment.serving_agents[:1]:
            agent.hang(self._rng.uniform(2.0, 25.0))

    def _restart_agent(self) -> None:
        agents = self._deployment.serving_agents
        if agents:
            self._rng.choice(agents).restart()

    def _isolate_controller_from_store_users_and_peers(self) -> None:
        node = self._random_node()
        others = [name for name in self._deployment.nodes.names if name != node]
        self._deployment.network.isolate(node, STORE, USERS, *others)

    def _store_outage(self) -> None:
        deployment = self._deployment
        deployment.store.start_outage()
        deployment.schedule(self._rng.uniform(2.0, 20.0), deployment.store.end_outage)

    def _cancel(self) -> None:
        job = self._rng.choice(self._jobs)
        self._deployment.users.request(self._random_node(), "cancel", job)

    def _restart_controllers(self) -> None:
        names = self._deployment.nodes.names
        for name in self._rng.sample(names, self._rng.randint(1, 3)):
            self._deployment.nodes.kill(name, self._rng.choice([0.05, 0.3, 5.0]))

    def _delay_packets(self) -> None:
        self._deployment.network.isolate(self._random_node(), delay=True)


@pytest.mark.parametrize("seed", range(300, 310))
def test_many_failures_drawn_at_random_break_no_rule_and_leave_every_job_known(seed: int) -> None:
    deployment = start_deployment(seed)
    rng, users, rules = deployment.rng, deployment.users, deployment.rules
    deployment.store_link.lost_response_ratio = 0.02
    deployment.store_link.late_commit_ratio = 0.02
    deployment.agent_link.duplicate_ratio = 0.2
    jobs: list[str] = []
    failures = ManyFailures(deployment, jobs)
    for number in range(1, 13):
        spec = random_job(deployment, number)
        users.request(rng.choice(deployment.nodes.names), "submit", spec)
        jobs.append(spec.id)
        failures.inject()
        deployment.run(rng.uniform(0.5, 8.0))
        if rng.random() < 0.4:
            deployment.network.heal()
        assert not rules.violations
    deployment.network.heal()
    deployment.run(25.0)
    deployment.store_link.end_failures()
    for agent in deployment.serving_agents:
        agent.inbound_partitioned = agent.is_unresponsive = False
    assert not users.unanswered_jobs()
    for job in rules.accepted_at:
        if job not in rules.cancel_requested:
            assert users.wait_until_done(job, 400.0), job
    deployment.run(deployment.cancel_s)
    assert not rules.violations
