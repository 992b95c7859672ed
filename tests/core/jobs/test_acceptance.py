"""Acceptance of submissions: repeated, infeasible, refused for now, too many at once."""

from __future__ import annotations

from tests.fakes.deployment import spec
from tests.helpers import sessions, warm


def test_ambiguous_commits_are_settled() -> None:
    world = warm(12)
    world.lose_answers = 0.2
    world.late_commits = 0.05
    jobs = [world.submit(spec(i, task_count=4, estimated_run_s=4.0)) for i in range(1, 6)]
    world.cancel(jobs[0])
    assert all(world.finish(j, 300.0) for j in jobs[1:])
    assert world.state_of(jobs[0]) in ("cancelled", "")
    assert not world.broken


def test_repeats_of_a_submission_make_one_job() -> None:
    world = warm(13)
    s = spec(1, task_count=3)
    world.specs[s.id] = s
    outs = [world.ask(x, "submit", s) for x in world.node_names for _ in range(2)]
    world.run(2.0)
    assert all(o and o[0].status in (200, 201) for o in outs)
    assert sum(o[0].status == 201 for o in outs) == 1
    assert world.finish(s.id, 60.0)
    assert len({(j, i) for _, j, i, _, _ in world.starts}) == len(world.starts) == 3
    again = world.ask("n1", "submit", s)
    world.run(2.0)
    assert again[0].status == 200 and again[0].state == "done"


def test_unknown_and_impossible_jobs() -> None:
    world = warm(14)
    out = world.ask("n0", "query", "job-999999")
    world.run(2.0)
    assert out[0].status == 404
    for s in (
        spec(1, team="nobody"),
        spec(2, cpus=9.0),
        spec(3, kind="gang", task_count=25),
        spec(4, machine_types=["t4"], cpus=5.0),
        spec(5, zone="nowhere"),
    ):
        world.specs[s.id] = s
        outs = [world.ask(x, "submit", s) for x in world.node_names]
        world.run(2.0)
        assert [o[0].status for o in outs] == [422, 422, 422]


def test_state_outage_refuses_at_once_and_loses_nothing() -> None:
    world = warm(15)
    jobs = [world.submit(spec(i, task_count=6, estimated_run_s=8.0)) for i in range(1, 4)]
    world.run(8.0)
    world.state.outage(True, world.now)
    world.run(6.0)
    s = spec(50)
    world.specs[s.id] = s
    out = world.ask("n0", "submit", s)
    world.run(3.0)
    assert out[0].status == 503 and out[0].retry_after_s >= 1
    world.run(12.0)
    world.state.outage(False, world.now)
    assert all(world.finish(j, 200.0) for j in jobs)
    assert not world.broken


def test_cloud_outage_at_the_start_does_not_block_acceptance() -> None:
    world = warm(16)
    world.run(3.0)
    world.cloud_down = True
    for x in world.node_names:
        world.kill(x, back_after=1.0)
    world.run(5.0)
    job = world.submit(spec(1))
    world.cloud_down = False
    assert world.finish(job, 120.0)
    assert not world.broken


def test_a_flood_is_refused_at_once_while_reports_go_on() -> None:
    world = warm(41)
    job = world.submit(spec(1, task_count=12, estimated_run_s=30.0))
    world.run(12.0)
    asked = world.now
    outs = []
    for n in range(100, 400):
        s = spec(n, task_count=2)
        world.specs[s.id] = s
        outs.append(world.ask(world.node_names[n % 3], "submit", s))
    refused = [o[0] for o in outs if o and o[0].status == 429]
    # Refused in the same instant, each with the time after which to come back.
    assert world.now == asked and len(refused) > 200
    assert all(1 <= r.retry_after_s <= 30 for r in refused)
    world.run(3.0)
    assert all(o and o[0].status in (201, 429) for o in outs)
    # Workers are answered all the while, and what was accepted is done.
    assert set(sessions(world)) == {1}
    assert all(
        world.now - worker.renewed < 3.0
        for worker in world.workers.values()
        if worker.up and not worker.deleted
    )
    accepted = [s for s, at in world.accepted.items()]
    assert job in accepted and all(world.finish(j, 600.0) for j in accepted)
    assert not world.broken
