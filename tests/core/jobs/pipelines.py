"""Helpers that submit, poll and cancel jobs that depend on one another."""

from __future__ import annotations

from typing import Any, NamedTuple

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.runtime.outbox import UserReply
from marblestair.core.runtime.store_requests import CompareAndSwap
from marblestair.core.state import keys
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import leaders_of_job, manager_of

#: longer than any test runs, so that a commit with this delay is never executed
UNBOUNDED_DELAY_S = 10_000.0


def submit_all(deployment: SimulatedDeployment, *specs: JobSpec) -> None:
    """Submit jobs one after another, each after the previous one is accepted."""
    for spec in specs:
        deployment.users.submit(spec)


def submit_pipeline(
    deployment: SimulatedDeployment, first: int = 1, **final_changes: Any
) -> list[JobSpec]:
    """Submit a pipeline of four stages with ids from ``first`` on; return its six jobs.

    The second stage has three jobs, which share a parent.
    """
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
        **final_changes,
    )
    specs = [split, *stage, join, final]
    submit_all(deployment, *specs)
    return specs


def parent_and_child(
    parent_run_s: float, child_tasks: int = 6, child_run_s: float = 5.0
) -> tuple[JobSpec, JobSpec]:
    """Return a job of one task, and a job that depends on it."""
    parent = job_spec(1, task_count=1, estimated_run_s=parent_run_s)
    child = job_spec(2, task_count=child_tasks, estimated_run_s=child_run_s, depends_on=[parent.id])
    return parent, child


def chain_after(spec: JobSpec, numbers: range, **changes: Any) -> list[JobSpec]:
    """Return a chain of jobs that each depend on the previous one, the first on ``spec``."""
    chain: list[JobSpec] = []
    for number in numbers:
        parent = chain[-1] if chain else spec
        chain.append(job_spec(number, depends_on=[parent.id], **changes))
    return chain


def wait_until_all_done(
    deployment: SimulatedDeployment, specs: list[JobSpec], timeout_s: float = 90.0
) -> bool:
    """Poll until all jobs are done; return False if one is not done within its ``timeout_s``."""
    return all(deployment.users.wait_until_done(spec.id, timeout_s) for spec in specs)


def wait_until_all_cancelled(
    deployment: SimulatedDeployment, specs: list[JobSpec], timeout_s: float
) -> bool:
    """Poll until all jobs are cancelled; return False if that takes longer than ``timeout_s``."""
    return deployment.run_until(
        lambda: all(deployment.users.state_of(spec.id) == "cancelled" for spec in specs),
        timeout_s,
    )


def submit_once(deployment: SimulatedDeployment, node: str, spec: JobSpec) -> UserReply:
    """Submit a job at one node without retries; return the reply."""
    replies = deployment.users.request(node, "submit", spec)
    assert deployment.run_until(lambda: bool(replies), 5.0)
    return replies[0]


def block_final_states(deployment: SimulatedDeployment) -> None:
    """Delay all later commits of final states beyond the end of the test."""

    def delay_s(_node: str, commit: CompareAndSwap) -> float | None:
        is_final_state = any(put.key.startswith(keys.FINAL_STATES) for put in commit.puts)
        return UNBOUNDED_DELAY_S if is_final_state else None

    deployment.store_link.commit_delay_s = delay_s


def poll_all(deployment: SimulatedDeployment, specs: list[JobSpec], seconds: float) -> list[str]:
    """Poll each job at each node every 2 s; return the states, or the HTTP statuses of refusals."""
    reply_lists: list[list[UserReply]] = []
    end = deployment.now + seconds
    while deployment.now < end:
        reply_lists += [
            deployment.users.request(name, "query", spec.id)
            for spec in specs
            for name in deployment.nodes.names
        ]
        deployment.run(2.0)
    return [
        str(reply.state) if reply.status == 200 else str(reply.status)
        for replies in reply_lists
        for reply in replies
    ]


def stored_record(spec: JobSpec) -> list[Any]:
    """Return the stored form of a job's record with one slice of six tasks in shard 0."""
    fields = [getattr(spec, field) for field in spec.__struct_fields__]
    return [fields, 0, {"0": [[0, 6]]}, []]


def submit_chain_with_three_managers(deployment: SimulatedDeployment) -> list[JobSpec]:
    """Submit a chain of three jobs that are managed by n0, n1 and n2.

    Each job depends on the previous one. All slices of the first one are in shards that n0 leads.
    """
    chain: list[JobSpec] = []
    numbers = iter(range(100, 400))
    for name in deployment.nodes.names:
        for number in numbers:
            spec = job_spec(
                number,
                task_count=1,
                estimated_run_s=100.0,
                depends_on=[parent.id for parent in chain[-1:]],
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
    """A job with a cancelled parent and no final state, and a node that does not manage it."""

    spec: JobSpec
    other_node: str


def cancel_parent_with_final_states_blocked(
    deployment: SimulatedDeployment, cancel_periods: float = 1.2
) -> BlockedChild:
    """Cancel a parent while its child's final state cannot be written.

    Runs the deployment for ``cancel_periods`` times ``cancel_s`` after the cancel is confirmed.
    """
    parent, child = parent_and_child(100.0)
    submit_all(deployment, parent, child)
    deployment.run(1.0)
    manager = manager_of(deployment, child.id)
    other_node = next(name for name in deployment.nodes.names if name != manager)
    block_final_states(deployment)
    assert deployment.users.cancel(parent.id) == "cancelled"
    deployment.run(cancel_periods * deployment.cancel_s)
    assert keys.JOBS + child.id in deployment.store.data
    return BlockedChild(child, other_node)
