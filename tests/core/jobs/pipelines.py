"""Pipelines for tests: submission, waits and polls of jobs that depend on one another."""

from __future__ import annotations

from typing import Any, NamedTuple

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.runtime.outbox import UserReply
from marblestair.core.runtime.store_requests import CompareAndSwap
from marblestair.core.state import keys
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import leaders_of_job, manager_of

#: longer than any test: the commit is never carried out
NEVER_S = 10_000.0


def submit_all(deployment: SimulatedDeployment, *specs: JobSpec) -> None:
    """Submit jobs one after another, each once the one before it is accepted."""
    for spec in specs:
        deployment.users.submit(spec)


def submit_pipeline(deployment: SimulatedDeployment, first: int = 1, **last: Any) -> list[JobSpec]:
    """Submit four stages, the second of three jobs that share a parent."""
    split = job_spec(first, task_count=2, estimated_run_s=2.0)
    stage = [
        job_spec(
            first + offset,
            task_count=3,
            estimated_run_s=3.0,
            priority="low",
            depends_on=[split.id],
        )
        for offset in (1, 2, 3)
    ]
    join = job_spec(
        first + 4,
        kind="gang",
        task_count=2,
        estimated_run_s=2.0,
        depends_on=[split.id, *(spec.id for spec in stage)],
    )
    final = job_spec(
        first + 5,
        task_count=2,
        estimated_run_s=1.0,
        depends_on=[join.id],
        priority="high",
        **last,
    )
    specs = [split, *stage, join, final]
    submit_all(deployment, *specs)
    return specs


def parent_and_child(
    parent_run_s: float, child_tasks: int = 6, child_run_s: float = 5.0
) -> tuple[JobSpec, JobSpec]:
    """A job of one task, and one that depends on it."""
    parent = job_spec(1, task_count=1, estimated_run_s=parent_run_s)
    child = job_spec(2, task_count=child_tasks, estimated_run_s=child_run_s, depends_on=[parent.id])
    return parent, child


def chain_after(spec: JobSpec, numbers: range, **changes: Any) -> list[JobSpec]:
    """Jobs of which each depends on the one before it, the first on a given one."""
    chain: list[JobSpec] = []
    for number in numbers:
        before = chain[-1] if chain else spec
        chain.append(job_spec(number, depends_on=[before.id], **changes))
    return chain


def wait_until_all_done(
    deployment: SimulatedDeployment, specs: list[JobSpec], timeout_s: float = 90.0
) -> bool:
    """Poll until each job is done, within the time for each."""
    return all(deployment.users.wait_until_done(spec.id, timeout_s) for spec in specs)


def wait_until_all_cancelled(
    deployment: SimulatedDeployment, specs: list[JobSpec], timeout_s: float
) -> bool:
    """Poll until all jobs are cancelled."""
    return deployment.run_until(
        lambda: all(deployment.users.state_of(spec.id) == "cancelled" for spec in specs),
        timeout_s,
    )


def submit_once(deployment: SimulatedDeployment, node: str, spec: JobSpec) -> UserReply:
    """Submit at one node without a retry; the reply."""
    replies = deployment.users.request(node, "submit", spec)
    assert deployment.run_until(lambda: bool(replies), 5.0)
    return replies[0]


def block_final_states(deployment: SimulatedDeployment) -> None:
    """Have no final state written from now on."""

    def delay_s(_node: str, commit: CompareAndSwap) -> float | None:
        is_final_state = any(put.key.startswith(keys.FINAL_STATES) for put in commit.puts)
        return NEVER_S if is_final_state else None

    deployment.store_link.commit_delay_s = delay_s


def poll_all(deployment: SimulatedDeployment, specs: list[JobSpec], seconds: float) -> list[str]:
    """Poll for each job at each node for a while; the states, or the statuses of refusals."""
    asked: list[list[UserReply]] = []
    end = deployment.now + seconds
    while deployment.now < end:
        asked += [
            deployment.users.request(name, "query", spec.id)
            for spec in specs
            for name in deployment.nodes.names
        ]
        deployment.run(2.0)
    return [
        str(reply.state) if reply.status == 200 else str(reply.status)
        for replies in asked
        for reply in replies
    ]


def stored_record(spec: JobSpec) -> list[Any]:
    """The record of a job with one slice in shard 0, in its stored form."""
    fields = [getattr(spec, field) for field in spec.__struct_fields__]
    return [fields, 0, {"0": [[0, 6]]}, []]


def submit_chain_managed_apart(deployment: SimulatedDeployment) -> list[JobSpec]:
    """Three jobs, each depending on the one before, managed at n0, n1 and n2.

    The first runs at n0 only.
    """
    chain: list[JobSpec] = []
    numbers = iter(range(100, 400))
    for name in deployment.nodes.names:
        for number in numbers:
            spec = job_spec(
                number,
                task_count=1,
                estimated_run_s=100.0,
                depends_on=[before.id for before in chain[-1:]],
            )
            deployment.users.submit(spec, name)
            nodes = (
                {manager_of(deployment, spec.id)} if chain else leaders_of_job(deployment, spec.id)
            )
            if nodes == {name}:
                chain.append(spec)
                break
            deployment.users.cancel(spec.id)
    assert len(chain) == 3
    return chain


class BlockedChild(NamedTuple):
    """A job that is cancelled with its parent, and a node that does not manage it."""

    spec: JobSpec
    other_node: str


def cancel_parent_with_final_states_blocked(
    deployment: SimulatedDeployment, cancel_times: float = 1.2
) -> BlockedChild:
    """Cancel a parent whose child's final state cannot be written; some ``cancel_s`` later."""
    parent, child = parent_and_child(100.0)
    submit_all(deployment, parent, child)
    deployment.run(1.0)
    manager = manager_of(deployment, child.id)
    other_node = next(name for name in deployment.nodes.names if name != manager)
    block_final_states(deployment)
    assert deployment.users.cancel(parent.id) == "cancelled"
    deployment.run(cancel_times * deployment.cancel_s)
    assert keys.JOBS + child.id in deployment.store.data
    return BlockedChild(child, other_node)
