"""Jobs inherit priority and deadline from those that depend on them."""

from __future__ import annotations

from tests.core.jobs.pipelines import submit_pipeline
from tests.helpers import start_deployment


def test_priority_and_deadline_of_the_last_job_reach_those_before_it() -> None:
    deployment = start_deployment()
    jobs = [spec.id for spec in submit_pipeline(deployment, deadline_s=100.0)]
    deployment.run(2.0)
    controller = deployment.nodes.current("n0")
    urgency, view = controller.scheduling_services.urgency, controller.view
    scheduled = [urgency.scheduling_spec(view.jobs[job]) for job in jobs]
    assert {spec.priority for spec in scheduled} == {"high"}
    due = [spec.accepted_at + (spec.deadline_s or 0.0) for spec in scheduled]
    assert due[0] < due[1] < due[4] < due[5]
    deployment.users.cancel(jobs[-1])
    deployment.run(3.0)
    assert urgency.scheduling_spec(view.jobs[jobs[0]]).priority == "normal"
