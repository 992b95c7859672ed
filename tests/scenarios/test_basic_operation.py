"""Jobs finish on a deployment without failures."""

from __future__ import annotations

from tests.fakes.samples import job_spec
from tests.helpers import leaders, start_deployment


def test_arrays_and_gangs_run_to_their_end() -> None:
    deployment = start_deployment()
    jobs = [
        deployment.users.submit(job_spec(number, kind="array" if number % 3 else "gang"))
        for number in range(1, 7)
    ]
    assert all(deployment.users.wait_until_done(job, 120.0) for job in jobs)
    assert not deployment.rules.violations
    # Each shard has a different leader.
    assert sorted(leaders(deployment)) == ["n0", "n1", "n2"]


def test_a_job_is_called_done_only_after_its_last_task() -> None:
    deployment = start_deployment(11)
    job = deployment.users.submit(job_spec(1, task_count=7, estimated_run_s=10.0))
    states = set()
    for _ in range(300):
        states.add(deployment.users.state_of(job))
        if "done" in states:
            break
        deployment.run(0.1)
    assert "done" in states
    assert not deployment.rules.violations
