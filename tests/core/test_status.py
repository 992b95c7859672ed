"""What operators see of a controller."""

from __future__ import annotations

from typing import Any

from tests.fakes.peer_wire import deliver_request
from tests.fakes.samples import job_spec
from tests.fakes.wire_message import WireMessage
from tests.helpers import manager_of, start_deployment


def test_the_status_shows_shards_terms_quotas_and_backlog() -> None:
    deployment = start_deployment(35)
    deployment.users.submit(job_spec(1, task_count=9, estimated_run_s=30.0))
    deployment.run(3.0)
    controller = deployment.nodes.controller("n1")
    replies: list[Any] = []
    number = deployment.peer_link.expect_reply(replies.append, "status")
    deliver_request(controller, number, "operator", WireMessage("status", []))
    deployment.nodes.flush("n1")
    [status] = replies
    assert status["node"] == "n1"
    assert status["acts_for"] == [1]
    assert status["live_jobs"] == 1
    shards = status["parts"]
    assert [shard["owner"] for shard in shards] == ["n0", "n1", "n2"]
    assert sum(shard["shares_cpus"]["red"] for shard in shards) == 24.0
    assert all(shard["term"] > 0 for shard in shards)
    assert all(shard["backlog_cpus"] is not None for shard in shards)
    assert "operator" not in controller.leadership_services.connectivity.last_received_at


def test_the_status_shows_what_a_waiting_job_depends_on() -> None:
    deployment = start_deployment()
    parent = deployment.users.submit(job_spec(1, task_count=1, estimated_run_s=60.0))
    child = deployment.users.submit(job_spec(2, depends_on=[parent]))
    deployment.run(1.0)
    manager = deployment.nodes.current(manager_of(deployment, child))
    assert manager.status_report.collect()["waiting"] == [
        {"job": child, "awaits": [parent], "awaits_in_all": 1, "ancestor_cancelled": False}
    ]
