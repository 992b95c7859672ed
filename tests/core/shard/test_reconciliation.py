"""Reconciliation of heartbeats with what a leader knows of its machines."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from marblestair.core.domain.agents import CommandVerb, ExitReason
from marblestair.core.shard.heartbeats import receive_heartbeat
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from tests.fakes.agent import FakeAgent
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import leader_of_machine, start_deployment

#: term of the new leader
TERM = 99


class Failover(NamedTuple):
    """A busy agent, and the shard of a new leader that knows of it and of its job."""

    deployment: SimulatedDeployment
    agent: FakeAgent
    shard: Shard
    machine: Machine
    job_slice: JobSlice


def fail_over(seed: int) -> Failover:
    """Give the machine of a busy agent to a new leader, with the slice of its job."""
    deployment = start_deployment(seed)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(14.0)
    agent = deployment.busy_agents[0]
    shard = Shard(0, TERM, deployment.cluster, deployment.now)
    machine = Machine(agent.name, agent.machine_type.name, agent.zone, agent.spot, deployment.now)
    machine.set_machine_type(agent.machine_type)
    shard.add_machine(machine)
    job_slice = shard.slices[job] = JobSlice(deployment.tasks.specs[job])
    job_slice.ranges, job_slice.size = [[0, 12]], 12
    return Failover(deployment, agent, shard, machine, job_slice)


def test_a_heartbeat_under_an_earlier_leaders_token_reconciles_nothing() -> None:
    deployment, agent, shard, machine, job_slice = fail_over(69)
    shard.unreconciled_machines.add(agent.name)
    job_slice.is_unreconciled = True
    before = msgspec.structs.replace(agent.next_heartbeat(), tasks=[])
    assert receive_heartbeat(shard, before, deployment.now) == []
    assert not machine.is_reconciled
    assert job_slice.is_unreconciled
    assert shard.usage("red")[0] == agent.machine_type.capacity[0]
    fenced = msgspec.structs.replace(agent.next_heartbeat(), fencing_token=TERM)
    assert receive_heartbeat(shard, fenced, deployment.now) is not None
    assert machine.is_reconciled
    assert not job_slice.is_unreconciled
    assert len(job_slice.placed_on) == len(agent.live_tasks)


def test_the_response_to_an_unreconciled_machine_stops_what_is_cancelled() -> None:
    deployment, agent, shard, _, job_slice = fail_over(4220)
    assert receive_heartbeat(shard, agent.next_heartbeat(), deployment.now) == []
    job_slice.is_cancelled = True
    commands = receive_heartbeat(shard, agent.next_heartbeat(), deployment.now)
    assert commands
    assert {(command.verb, command.index) for command in commands} == {
        (CommandVerb.STOP, index) for _, index in agent.live_tasks
    }
    # Once reconciled, tasks of jobs that are not known count against every team.
    del shard.slices[job_slice.spec.id]
    fenced = msgspec.structs.replace(agent.next_heartbeat(), fencing_token=TERM)
    commands = receive_heartbeat(shard, fenced, deployment.now)
    assert commands
    assert all(command.verb == CommandVerb.STOP for command in commands)
    assert shard.usage("red")[0] == shard.usage("blue")[0] == agent.machine_type.capacity[0]
    empty = msgspec.structs.replace(agent.next_heartbeat(), fencing_token=TERM, tasks=[])
    assert receive_heartbeat(shard, empty, deployment.now) == []
    assert shard.usage("red")[0] == 0


def test_an_agent_forgets_a_result_only_once_a_page_contains_it() -> None:
    """Else only this process would know it, which may end."""
    deployment = start_deployment(4230)
    job = deployment.users.submit(job_spec(1, task_count=12, estimated_run_s=60.0))
    deployment.run(14.0)
    agent = deployment.busy_agents[0]
    leader = deployment.nodes.current(leader_of_machine(deployment, agent.name))
    shard = leader.leadership.led_shards()[0]
    machine = shard.machines[agent.name]
    index = next(index for _, index in agent.live_tasks)
    agent.tasks[(job, index)].exit(ExitReason.DONE)
    is_forgotten: list[bool] = []
    for durable_bits in (0, 1 << index):
        shard.slices[job].durable_bits = durable_bits
        commands = receive_heartbeat(shard, agent.next_heartbeat(), machine.last_heartbeat_at + 1.0)
        assert commands is not None
        is_forgotten.append(
            any(
                command.verb == CommandVerb.FORGET and command.index == index
                for command in commands
            )
        )
    assert is_forgotten == [False, True]
