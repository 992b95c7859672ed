"""Machines that boot late or never while jobs wait for them."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from marblestair.core.shard.machine import Machine
from marblestair.core.state.records import MachineRecord
from tests.fakes.agent import FakeAgent
from tests.fakes.samples import MACHINE_TYPES, job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import START_UP_S, leader_of, start_deployment

SMALL_TYPE = MACHINE_TYPES[0]


class DelayedBoots:
    """Delays the boots of machines, by a ratio of their usual time or for ever."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, ratio: float | None) -> None:
        self.agents: list[FakeAgent] = []
        self.is_active = True
        self._ratio = ratio
        self._boot: Callable[[FakeAgent], None] = FakeAgent.boot
        monkeypatch.setattr(FakeAgent, "boot", lambda agent: self._delay(agent))

    def _delay(self, agent: FakeAgent) -> None:
        if not self.is_active:
            self._boot(agent)
            return
        self.agents.append(agent)
        if self._ratio is not None:
            waited_s = agent.deployment.now - agent.rented_at
            delay_s = self._ratio * agent.machine_type.boot_s - waited_s
            agent.deployment.schedule(delay_s, lambda: self._boot(agent))


def test_work_does_not_wait_for_machines_that_never_boot(monkeypatch: pytest.MonkeyPatch) -> None:
    deployment = start_deployment(460)
    delayed_boots = DelayedBoots(monkeypatch, None)
    job = deployment.users.submit(job_spec(1, task_count=8, estimated_run_s=4.0))
    assert deployment.run_until(lambda: bool(delayed_boots.agents), 20.0)
    deployment.run(3.0)
    delayed_boots.is_active = False
    agent = delayed_boots.agents[0]
    rented = set(deployment.agents)
    assert deployment.run_until(lambda: bool(deployment.agents.keys() - rented), 60.0)
    assert deployment.now - agent.rented_at < 2.2 * agent.machine_type.boot_s
    assert deployment.users.wait_until_done(job, 40.0)
    # What never booted is returned in the end.
    assert deployment.run_until(
        lambda: all(agent.is_released for agent in delayed_boots.agents), 60.0
    )
    assert not deployment.rules.violations


def test_a_machine_that_boots_late_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    deployment = SimulatedDeployment(461, 3)
    deployment.cloud.capacity = 1
    deployment.run(START_UP_S)
    delayed_boots = DelayedBoots(monkeypatch, 2.6)
    job = deployment.users.submit(job_spec(1, task_count=4, estimated_run_s=3.0))
    assert deployment.users.wait_until_done(job, 60.0)
    assert deployment.tasks.machines_of(job) == {delayed_boots.agents[0].name}
    assert not deployment.rules.violations


def test_the_machines_of_a_shard_that_fails_over_are_counted_on() -> None:
    """Found by the full score: the others rented in place of a shard with a new leader.

    No heartbeat of its machines had come to the new leader yet.
    """
    deployment = start_deployment(462, teams=[{"name": "red", "cpus": 40.0, "cpus_max": 80.0}])
    deployment.users.submit(job_spec(1, task_count=20, cpus=4.0, estimated_run_s=300.0))
    deployment.run(30.0)
    machines = set(deployment.nodes.controller("n0").view.machines)
    assert len(machines) >= 6
    killed = leader_of(deployment, 1)
    deployment.nodes.kill(killed, restart_after_s=60.0)
    leaving: set[str] = set()
    for _ in range(40):
        deployment.run(0.25)
        for controller in deployment.nodes.running:
            for _, summary in controller.summaries.values():
                leaving.update(summary.unavailable_machines)
    assert not leaving & machines
    assert not deployment.rules.violations


def test_a_machine_that_has_just_moved_to_another_shard_is_counted_on() -> None:
    deployment = start_deployment(463, 1)
    controller = deployment.nodes.current("n0")
    context = controller.context
    shard = controller.leadership.led_shards()[0]
    machine = Machine("host-900", SMALL_TYPE.name, "a", False, context.now)
    shard.add_machine(machine)
    machine.set_machine_type(SMALL_TYPE)
    record = MachineRecord(shard.shard_id, SMALL_TYPE.name, "a", False, 0.0)
    controller.view.machines["host-900"] = record
    assert controller.scheduling_services.summarizer.summarize(shard).unavailable_machines == []
    controller.set_time(context.now + 1.7 * SMALL_TYPE.boot_s, context.wall_time)
    assert controller.scheduling_services.summarizer.summarize(shard).unavailable_machines == [
        "host-900"
    ]
