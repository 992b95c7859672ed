"""Jobs inherit priority and deadline from those that depend on them."""

from __future__ import annotations

from tests.core.jobs.pipelines import submit_pipeline
from tests.helpers import running, warm


def test_priority_and_deadline_of_the_last_job_reach_those_before_it() -> None:
    world = warm()
    jobs = submit_pipeline(world, deadline_s=100.0)
    world.run(2.0)
    urgency = running(world, "n0").urgency
    view = running(world, "n0").view
    scheduled = [urgency.scheduling_spec(view.jobs[job.id]) for job in jobs]
    assert {spec.priority for spec in scheduled} == {"high"}
    due = [spec.accepted_at + (spec.deadline_s or 0.0) for spec in scheduled]
    assert due[0] < due[1] < due[4] < due[5]
    world.cancel(jobs[-1].id)
    world.run(3.0)
    assert urgency.scheduling_spec(view.jobs[jobs[0].id]).priority == "normal"
