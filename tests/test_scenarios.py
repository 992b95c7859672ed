"""Scenario tests of whole deployments, told against the fakes under simulated time."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from marblestair.core.leadership import shard_map
from marblestair.core.state import keys
from tests.fakes.deployment import spec
from tests.fakes.world import World
from tests.helpers import owner, warm


def test_quiet_run_of_arrays_and_gangs() -> None:
    w = warm()
    jobs = [w.submit(spec(i, kind="gang" if i % 3 == 0 else "array")) for i in range(1, 7)]
    assert all(w.finish(j, 120.0) for j in jobs)
    assert not w.broken
    # Every part had an owner of its own.
    assert sorted(owner(w, i) for i in range(3)) == ["n0", "n1", "n2"]


def test_killed_owner_runs_no_task_twice() -> None:
    w = warm(2)
    jobs = [w.submit(spec(i, task_count=9, estimated_run_s=12.0)) for i in range(1, 4)]
    w.run(12.0)
    assert w.starts
    w.kill("n1", back_after=8.0)
    assert all(w.finish(j, 200.0) for j in jobs)
    assert not w.broken
    w.run(30.0)
    # Parts went back to the node that returned.
    assert sorted(owner(w, i) for i in range(3)) == ["n0", "n1", "n2"]


def test_all_nodes_killed_nothing_forgotten() -> None:
    w = warm(3)
    jobs = [w.submit(spec(i, task_count=5, estimated_run_s=10.0)) for i in range(1, 5)]
    w.run(9.0)
    for x in w.node_names:
        w.kill(x, back_after=5.0)
    w.run(6.0)
    assert all(w.finish(j, 200.0) for j in jobs)
    assert all(w.state_of(j) == "done" for j in jobs)
    assert not w.broken


def test_restart_within_a_fraction_of_a_second() -> None:
    w = warm(4)
    jobs = [w.submit(spec(i, task_count=8, estimated_run_s=10.0)) for i in range(1, 4)]
    w.run(9.0)
    running = len(w.starts)
    for x in w.node_names:
        w.kill(x, back_after=0.2)
        w.run(1.5)
    assert all(w.finish(j, 200.0) for j in jobs)
    assert not w.broken
    # Running tasks went on: their machines kept their leases.
    assert all(m.session == 1 for m in w.workers.values() if m.up and not m.deleted)
    assert running


def test_late_report_and_late_command_of_an_earlier_owner() -> None:
    w = warm(5)
    jobs = [w.submit(spec(i, task_count=9, estimated_run_s=15.0)) for i in range(1, 4)]
    w.run(10.0)
    # Everything to and from n0 is held back, while another node takes its part.
    w.isolate("n0", hold=True)
    w.run(20.0)
    w.heal()
    assert all(w.finish(j, 300.0) for j in jobs)
    assert not w.broken


def test_cut_node_with_an_old_token_does_not_act() -> None:
    w = warm(6)
    jobs = [w.submit(spec(i, task_count=9, estimated_run_s=15.0)) for i in range(1, 4)]
    w.run(8.0)
    # n2 still reaches its workers, but not the state service: its authority must end.
    w.isolate("n2", "state", "n0", "n1")
    w.run(9.0)
    core = w.cores["n2"]
    assert core is not None
    assert core.led_shards() == []
    assert owner(w, 2) != "n2"
    w.heal()
    assert all(w.finish(j, 300.0) for j in jobs)
    assert not w.broken


def test_cancel_racing_launches_and_a_takeover() -> None:
    w = warm(7)
    jobs = [w.submit(spec(i, task_count=12, estimated_run_s=20.0)) for i in range(1, 4)]
    w.run(6.0)
    w.kill("n0", back_after=6.0)
    states = [w.cancel(j) for j in jobs[:2]]
    assert states == ["cancelled", "cancelled"]
    w.run(60.0)
    assert [w.state_of(j) for j in jobs[:2]] == ["cancelled", "cancelled"]
    left = [t for m in w.workers.values() if not m.deleted for t in m.live.values()]
    assert not [t for t in left if t.job in jobs[:2]]
    assert w.finish(jobs[2], 200.0)
    assert not w.broken


def test_quota_holds_across_handovers() -> None:
    w = warm(8)
    jobs = [w.submit(spec(i, team="blue", task_count=20, estimated_run_s=8.0)) for i in range(1, 3)]
    for n in range(6):
        w.run(7.0)
        w.kill(w.node_names[n % 3], back_after=2.0)
    assert all(w.finish(j, 400.0) for j in jobs)
    assert not w.broken


def test_a_gang_larger_than_a_parts_share_gets_the_room_of_the_others() -> None:
    w = warm(9)
    # 12 CPUs is the whole limit of the team, of which each part has a third.
    job = w.submit(spec(1, kind="gang", team="blue", task_count=12, estimated_run_s=5.0))
    assert w.finish(job, 120.0)
    at = [t for t, *_ in w.starts]
    assert len(at) == 12 and max(at) - min(at) < 3.0
    assert not w.broken


def test_together_and_scatter() -> None:
    w = warm(10)
    a = w.submit(spec(1, task_count=8, single_zone=True))
    b = w.submit(spec(2, task_count=5, spread_zones=True, kind="gang", zone=None))
    c = w.submit(spec(3, task_count=3, zone="b"))
    assert w.finish(a, 120.0) and w.finish(c, 120.0) and w.finish(b, 200.0)
    assert not w.broken
    # Five tasks apart: three at most in one zone, so two zones were used.
    assert len({w.workers[m].zone for _, j, _, m, _ in w.starts if j == b}) == 2


def test_done_only_after_the_last_task() -> None:
    w = warm(11)
    job = w.submit(spec(1, task_count=7, estimated_run_s=10.0))
    seen = set()
    for _ in range(300):
        seen.add(w.state_of(job))
        if "done" in seen:
            break
        w.run(0.1)
    assert "done" in seen
    assert not w.broken


def test_ambiguous_commits_are_settled() -> None:
    w = warm(12)
    w.lose_answers = 0.2
    w.late_commits = 0.05
    jobs = [w.submit(spec(i, task_count=4, estimated_run_s=4.0)) for i in range(1, 6)]
    w.cancel(jobs[0])
    assert all(w.finish(j, 300.0) for j in jobs[1:])
    assert w.state_of(jobs[0]) in ("cancelled", "")
    assert not w.broken


def test_repeats_of_a_submission_make_one_job() -> None:
    w = warm(13)
    s = spec(1, task_count=3)
    w.specs[s.id] = s
    outs = [w.ask(x, "submit", s) for x in w.node_names for _ in range(2)]
    w.run(2.0)
    assert all(o and o[0].status in (200, 201) for o in outs)
    assert sum(o[0].status == 201 for o in outs) == 1
    assert w.finish(s.id, 60.0)
    assert len({(j, i) for _, j, i, _, _ in w.starts}) == len(w.starts) == 3
    again = w.ask("n1", "submit", s)
    w.run(2.0)
    assert again[0].status == 200 and again[0].state == "done"


def test_unknown_and_impossible_jobs() -> None:
    w = warm(14)
    out = w.ask("n0", "query", "job-999999")
    w.run(2.0)
    assert out[0].status == 404
    for s in (
        spec(1, team="nobody"),
        spec(2, cpus=9.0),
        spec(3, kind="gang", task_count=25),
        spec(4, machine_types=["t4"], cpus=5.0),
        spec(5, zone="nowhere"),
    ):
        w.specs[s.id] = s
        outs = [w.ask(x, "submit", s) for x in w.node_names]
        w.run(2.0)
        assert [o[0].status for o in outs] == [422, 422, 422]


def test_state_outage_refuses_at_once_and_loses_nothing() -> None:
    w = warm(15)
    jobs = [w.submit(spec(i, task_count=6, estimated_run_s=8.0)) for i in range(1, 4)]
    w.run(8.0)
    w.state.outage(True, w.now)
    w.run(6.0)
    s = spec(50)
    w.specs[s.id] = s
    out = w.ask("n0", "submit", s)
    w.run(3.0)
    assert out[0].status == 503 and out[0].retry_after_s >= 1
    w.run(12.0)
    w.state.outage(False, w.now)
    assert all(w.finish(j, 200.0) for j in jobs)
    assert not w.broken


def test_cloud_outage_at_the_start_does_not_block_acceptance() -> None:
    w = warm(16)
    w.run(3.0)
    w.cloud_down = True
    for x in w.node_names:
        w.kill(x, back_after=1.0)
    w.run(5.0)
    job = w.submit(spec(1))
    w.cloud_down = False
    assert w.finish(job, 120.0)
    assert not w.broken


def test_hanging_and_failing_machines_are_routed_around() -> None:
    w = warm(17)
    jobs = [w.submit(spec(i, task_count=8, estimated_run_s=6.0)) for i in range(1, 4)]
    w.run(10.0)
    up = [m for m in w.workers.values() if m.up and not m.deleted]
    up[0].hung = True
    up[1].fails = True
    assert all(w.finish(j, 300.0) for j in jobs)
    w.run(20.0)
    assert up[0].deleted
    assert not w.broken


def test_a_job_that_fails_everywhere_does_not_block_others() -> None:
    w = warm(18)
    bad = w.submit(spec(1, job_class="bad", task_count=4))
    good = w.submit(spec(2, task_count=4))
    assert w.finish(good, 120.0)
    assert w.cancel(bad) == "cancelled"
    assert not w.broken


def test_a_rental_in_doubt_is_finished_by_the_next_owner() -> None:
    w = warm(19)
    w.cloud_down = True
    w.submit(spec(1, task_count=6, estimated_run_s=30.0))
    # Kill every node after the intents were written and before the cloud answered.
    assert w.until(lambda: any("/h/" in k for k in w.state.data), 10.0)
    for x in w.node_names:
        w.kill(x, back_after=1.0)
    w.cloud_down = False
    assert w.finish("job-000001", 200.0)
    w.run(120.0)
    assert not [m.name for m in w.workers.values() if m.up and not m.deleted]
    assert not [k for k in w.state.data if "/h/" in k]
    assert not w.broken


def sessions(w: World) -> list[int]:
    return [m.session for m in w.workers.values() if m.up and not m.deleted]


def test_an_outage_longer_than_a_lease_loses_no_task_while_all_talk() -> None:
    w = warm(30)
    job = w.submit(spec(1, task_count=12, estimated_run_s=60.0))
    w.run(14.0)
    w.state.outage(True, w.now)
    w.run(35.0)
    assert all(c is not None and c.led_shards() for c in w.cores.values())
    w.state.outage(False, w.now)
    assert w.finish(job, 200.0)
    assert set(sessions(w)) == {1}
    assert len(w.starts) == 12
    assert not w.broken


def test_a_node_refused_alone_gets_no_promise_and_is_relieved() -> None:
    w = warm(31)
    w.submit(spec(1, task_count=12, estimated_run_s=60.0))
    w.run(10.0)
    w.state.refused_nodes.add("n1")
    w.run(8.0)
    core = w.cores["n1"]
    assert core is not None and not core.led_shards()
    assert owner(w, 1) != "n1"
    w.state.refused_nodes.clear()
    assert w.finish("job-000001", 300.0)
    assert set(sessions(w)) == {1}
    assert not w.broken


def test_no_promises_when_a_peer_is_cut_or_restarted_in_the_outage() -> None:
    for cut in (True, False):
        w = warm(32)
        w.submit(spec(1, task_count=6, estimated_run_s=30.0))
        w.run(10.0)
        w.state.outage(True, w.now)
        if cut:
            w.isolate("n2", "n0", "n1")
        else:
            w.kill("n2", back_after=0.5)
        w.run(9.0)
        assert all(c is not None and not c.led_shards() for c in w.cores.values())
        w.heal()
        w.state.outage(False, w.now)
        assert w.finish("job-000001", 300.0)
        assert not w.broken


def test_a_promise_is_kept_after_the_outage_and_by_a_node_that_restarts() -> None:
    w = warm(33)
    w.submit(spec(1, task_count=12, estimated_run_s=40.0))
    w.run(10.0)
    w.state.outage(True, w.now)
    assert w.until(
        lambda: all(
            c is not None and c.leadership.promises.are_held(c.now) for c in w.cores.values()
        ),
        10.0,
    )
    # n0 goes on acting on its promises; the others get the state service back, and one of them
    # restarts. Nobody may take n0's part while n0 may act.
    w.state.refused_nodes.add("n0")
    w.state.outage(False, w.now)
    w.kill("n1", back_after=0.2)
    for _ in range(60):
        w.run(0.2)
        core = w.cores["n0"]
        assert core is not None
        if owner(w, 0) != "n0":
            assert not core.is_leader(0)
    assert owner(w, 0) != "n0"
    w.state.refused_nodes.clear()
    assert w.finish("job-000001", 300.0)
    assert not w.broken


def test_a_node_cut_from_all_but_the_state_service_gives_its_part_away() -> None:
    w = warm(36)
    w.submit(spec(1, task_count=12, estimated_run_s=60.0))
    w.run(12.0)
    w.isolate("n0", "n1", "n2", "users", *w.workers)
    w.run(9.0)
    assert owner(w, 0) != "n0"
    core = w.cores["n0"]
    assert core is not None and not core.led_shards()
    w.heal()
    assert w.finish("job-000001", 300.0)
    # The machines' leases were kept: nothing was started twice, not even one after the other.
    assert len(w.starts) == 12
    assert owner(w, 0) == "n0"
    assert not w.broken


def test_parts_stay_where_they_are_when_all_machines_fall_silent() -> None:
    """Found in an incident: with all machines hanging, nodes passed parts around in vain."""
    w = warm(37)
    w.submit(spec(1, task_count=12, estimated_run_s=60.0))
    w.run(12.0)
    for m in w.workers.values():
        m.hung = True
    w.run(8.0)
    assert [owner(w, i) for i in range(3)] == ["n0", "n1", "n2"]
    assert w.state.data[keys.SHARD_MAP][0][0] == 3
    for m in w.workers.values():
        m.hung = False
    assert w.finish("job-000001", 300.0)
    assert not w.broken


def test_a_hurried_gang_of_higher_priority_stops_arrays_on_its_machine() -> None:
    aims = [{"kind": "wait", "class": "g", "within_s": 4.0, "share": 0.9}]
    w = warm(38, objectives=aims)
    w.capacity = 1
    low = w.submit(spec(1, task_count=16, estimated_run_s=60.0, machine_types=["t8"]))
    assert w.until(lambda: len(w.starts) >= 8, 30.0)
    w.run(3.0)
    asked = w.now
    gang = w.submit(spec(2, kind="gang", task_count=2, cpus=4.0, job_class="g", priority="high"))
    assert w.finish(gang, 60.0)
    at = [t for t, job, *_ in w.starts if job == gang]
    assert len(at) == 2 and max(at) - asked < 8.0
    assert w.finish(low, 400.0)
    # Work of the same priority is not stopped.
    n = len(w.starts)
    low = w.submit(
        spec(3, task_count=8, estimated_run_s=40.0, machine_types=["t8"], priority="high")
    )
    assert w.until(lambda: len(w.starts) >= n + 8, 30.0)
    asked = w.now
    gang = w.submit(spec(4, kind="gang", task_count=2, cpus=4.0, job_class="g", priority="high"))
    assert w.finish(gang, 200.0)
    assert min(t for t, job, *_ in w.starts if job == gang) - asked > 15.0
    assert sum(job == low for _, job, *_ in w.starts) == 8
    assert not w.broken


def test_a_spot_notice_saves_what_can_be_saved_and_settles_the_rest_early() -> None:
    w = warm(39)
    saves = w.submit(
        spec(
            1,
            kind="gang",
            task_count=2,
            cpus=4.0,
            estimated_run_s=90.0,
            checkpoint_interval_s=20.0,
            checkpoint_save_s=2.0,
        )
    )
    plain = w.submit(spec(2, task_count=4, estimated_run_s=90.0))
    w.run(20.0)
    assert {j for _, j, *_ in w.starts} == {saves, plain}
    began = len(w.starts)
    orders: list[Any] = []
    for m in w.workers.values():
        m.notice = w.now + 10.0
        obey = m.obey
        m.obey = lambda o, obey=obey: (orders.extend(o), obey(o))[1]  # type: ignore[method-assign]
        w.at(10.0, lambda m=m: (setattr(m, "deleted", True), m.tasks.clear()))
    w.run(9.9)
    stops = [o for o in orders if o.verb == "stop"]
    assert {(o.job, o.grace_s) for o in stops} == {(saves, 2.0)}
    assert len({o.index for o in stops}) == 2
    gone = w.now
    assert w.until(lambda: len(w.starts) >= began + 6, 30.0)
    # The arrays' tasks did not have to wait for their machines' leases to run out.
    again = [t for t, j, *_ in w.starts[began:] if j == plain]
    assert min(again) - gone < w.lease_s + 3.0
    assert w.finish(saves, 300.0) and w.finish(plain, 300.0)
    assert not w.broken


def test_a_flood_is_refused_at_once_while_reports_go_on() -> None:
    w = warm(41)
    job = w.submit(spec(1, task_count=12, estimated_run_s=30.0))
    w.run(12.0)
    asked = w.now
    outs = []
    for n in range(100, 400):
        s = spec(n, task_count=2)
        w.specs[s.id] = s
        outs.append(w.ask(w.node_names[n % 3], "submit", s))
    refused = [o[0] for o in outs if o and o[0].status == 429]
    # Refused in the same instant, each with the time after which to come back.
    assert w.now == asked and len(refused) > 200
    assert all(1 <= r.retry_after_s <= 30 for r in refused)
    w.run(3.0)
    assert all(o and o[0].status in (201, 429) for o in outs)
    # Workers are answered all the while, and what was accepted is done.
    assert set(sessions(w)) == {1}
    assert all(w.now - m.renewed < 3.0 for m in w.workers.values() if m.up and not m.deleted)
    accepted = [s for s, at in w.accepted.items()]
    assert job in accepted and all(w.finish(j, 600.0) for j in accepted)
    assert not w.broken


def test_the_status_view_shows_parts_terms_shares_and_backlog() -> None:
    w = warm(35)
    w.submit(spec(1, task_count=9, estimated_run_s=30.0))
    w.run(3.0)
    core = w.cores["n1"]
    assert core is not None
    out: list[Any] = []
    w._waiters[999_999] = out.append
    core.receive_request(999_999, "operator", "status", [])
    w.flush("n1")
    s = out[0]
    assert s["node"] == "n1" and s["acts_for"] == [1] and s["live_jobs"] == 1
    assert [p["owner"] for p in s["parts"]] == ["n0", "n1", "n2"]
    assert sum(p["shares_cpus"]["red"] for p in s["parts"]) == 24.0
    assert all(p["term"] > 0 and p["backlog_cpus"] is not None for p in s["parts"])
    assert "operator" not in core.last_received_at


def test_a_part_lost_and_given_back_is_rebuilt_even_if_only_the_split_is_read() -> None:
    """Found by a hunt: a node that had been cut read the split ahead of its view, took the part
    that was given back to it for the one it had lost, and started what ran elsewhere.
    """
    w = warm(34)
    w.submit(spec(1, task_count=9, estimated_run_s=30.0))
    w.run(8.0)
    core = w.cores["n0"]
    assert core is not None and core.view.shard_map is not None
    before = core.shards[0]
    assert before.is_ready
    other = shard_map.assign_shards(core.view.shard_map, [0], "n1", 7)
    back = shard_map.assign_shards(other, [0], *core.identity)
    version = core.view.version(keys.SHARD_MAP)
    core.view.record_read(keys.SHARD_MAP, msgspec.to_builtins(back), version + 2)
    core.sync()
    assert core.shards[0] is not before and not core.is_leader(0)
    # A raise of the term alone keeps what is known.
    kept = core.shards[1] if 1 in core.shards else core.shards[0]
    raised = shard_map.raise_term(back, kept.shard_id)
    core.view.record_read(keys.SHARD_MAP, msgspec.to_builtins(raised), version + 3)
    core.sync()
    assert core.shards[kept.shard_id] is kept and kept.term == raised.last_term


@pytest.mark.parametrize("seed", range(100, 108))
# One branch for each trouble, so that the draws of a seed stay what they are.
def test_random_faults_break_no_rule(seed: int) -> None:  # noqa: C901, PLR0912
    w = warm(seed)
    rng = w.rng
    jobs: list[str] = []
    w.lose_answers, w.late_commits = 0.02, 0.02
    for n in range(1, 13):
        kind = rng.choice(["array", "array", "gang"])
        s = spec(
            n,
            kind=kind,
            team=rng.choice(["red", "blue"]),
            task_count=rng.randint(1, 6 if kind == "gang" else 14),
            estimated_run_s=rng.uniform(2.0, 15.0),
            allows_spot=rng.random() < 0.5,
            single_zone=rng.random() < 0.2,
        )
        jobs.append(w.submit(s))
        fault = rng.randrange(9)
        if fault == 0:
            w.kill(rng.choice(w.node_names), back_after=rng.choice([0.2, 3.0, 8.0]))
        elif fault == 1:
            w.heal()
            w.isolate(rng.choice(w.node_names), hold=rng.random() < 0.5)
        elif fault == 2:
            w.heal()
        elif fault == 3:
            w.state.outage(True, w.now)
        elif fault == 4:
            for x in w.node_names:
                w.kill(x, back_after=rng.uniform(0.2, 6.0))
        elif fault == 5:
            up = [m for m in w.workers.values() if m.up and not m.deleted]
            if up:
                m = rng.choice(up)
                m.hung = True
                w.at(rng.uniform(2.0, 30.0), lambda m=m: setattr(m, "hung", False))
        elif fault == 6 and jobs:
            job = rng.choice(jobs)
            w.cancel_asked.add(job)
            w.ask(rng.choice(w.node_names), "cancel", job)
        elif fault == 7:
            w.heal()
            w.isolate(rng.choice(w.node_names), "state")
        w.run(rng.uniform(0.5, 6.0))
        if fault == 3 or w.state.down:
            w.run(rng.uniform(1.0, 12.0))
            w.state.outage(False, w.now)
        if rng.random() < 0.3:
            w.heal()
        assert not w.broken
    w.heal()
    w.state.outage(False, w.now)
    w.lose_answers = w.late_commits = 0.0
    for job in jobs:
        if job in w.cancel_asked:
            continue
        assert w.finish(job, 600.0), job
    w.run(40.0)
    assert not w.broken


def test_an_earlier_migration_does_not_restore_what_a_later_one_dropped() -> None:
    """Found on a simulated rough day: a task ran twice, because the end of one migration put the
    task numbers of the next one back while that was being committed.
    """
    w = warm(20)
    w.capacity = 1
    job = w.submit(spec(1, task_count=30, team="red", estimated_run_s=30.0))
    w.run(3.0)
    core, part, s = next(
        (c, p, p.slices[job])
        for c in w.cores.values()
        if c is not None
        for p in c.led_shards()
        if len(p.slices[job].pending) > 4
    )
    target = next(i for i in range(3) if i != part.shard_id)
    assert core.slice_migrations.start(part, s, s.pending.tail(2), target)
    w.set_time(core)
    first = s.migration_holder
    w.flush(core.node)
    assert w.until(lambda: not s.migrating_ranges, 5.0)
    second = s.pending.tail(2)
    assert core.slice_migrations.start(part, s, second, target)
    core.slice_migrations._restore(part, s, first)
    assert s.migrating_ranges == second and not any(
        i in s.pending for a, b in second for i in range(a, b)
    )
    w.flush(core.node)
    w.capacity = 12
    assert w.finish(job, 300.0)
    assert not w.broken


@pytest.mark.parametrize("seed", range(200, 204))
def test_crowded_fleet_with_many_migrations_breaks_no_rule(seed: int) -> None:
    w = warm(seed)
    rng = w.rng
    w.capacity = 3
    w.lose_answers, w.late_commits = 0.03, 0.03
    jobs = []
    for n in range(1, 9):
        team = rng.choice(["red", "blue"])
        jobs.append(
            w.submit(spec(n, team=team, task_count=rng.randint(8, 40), estimated_run_s=4.0))
        )
        fault = rng.randrange(4)
        if fault == 0:
            w.kill(rng.choice(w.node_names), back_after=rng.choice([0.2, 4.0]))
        elif fault == 1:
            a, b = rng.sample(w.node_names, 2)
            w.isolate(a, b, hold=True)
        elif fault == 2:
            w.heal()
        w.run(rng.uniform(1.0, 8.0))
    w.heal()
    w.lose_answers = w.late_commits = 0.0
    w.capacity = 12
    assert all(w.finish(j, 900.0) for j in jobs)
    assert not w.broken


def test_a_hurried_gang_gets_its_teams_share_from_the_teams_own_arrays() -> None:
    """Found on a simulated steady day: a team's arrays held its whole limit, and its urgent gangs
    waited for minutes. The class had two aims, too, and only the longer one was looked at.
    """
    aims = [
        {"kind": "wait", "class": "g", "within_s": 4.0, "share": 0.9},
        {"kind": "wait", "class": "g", "within_s": 60.0, "share": 0.97},
    ]
    w = warm(42, objectives=aims)
    low = w.submit(spec(1, team="blue", task_count=40, estimated_run_s=60.0))
    assert w.until(lambda: len(w.starts) >= 12, 40.0)
    w.run(3.0)
    asked = w.now
    gang = w.submit(
        spec(2, kind="gang", team="blue", task_count=1, cpus=4.0, job_class="g", priority="high")
    )
    assert w.until(lambda: any(j == gang for _, j, *_ in w.starts), 12.0)
    assert w.now - asked < 12.0
    assert w.finish(gang, 60.0) and w.finish(low, 500.0)
    assert not w.broken
