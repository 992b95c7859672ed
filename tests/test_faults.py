"""Tests of whose fault a failed task is, and of what a job that always fails may cost."""

from __future__ import annotations

import pytest

from marblestair.core.capacity.decommissioning import machines_to_release
from marblestair.core.domain.agents import TaskCommand
from marblestair.core.shard.failures import REMEMBERED, FailureAttribution
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.settings import Workers
from tests.fakes.deployment import TYPES, spec
from tests.fakes.worker import FakeTask, Worker
from tests.fakes.world import World
from tests.helpers import owner, warm

WORKERS = Workers(report_s=1.0, lease_s=10.0, gang_wait_s=30.0, gang_peer_s=5.0, cancel_s=30.0)


def test_a_job_that_fails_on_several_machines_is_suspected_and_they_are_not() -> None:
    faults = FailureAttribution(WORKERS)
    for machine in ("m1", "m2", "m3"):
        assert not faults.is_quarantined("broken")
        for _ in range(20):
            faults.record_failure("broken", machine, False, 0.0)
    assert faults.is_quarantined("broken")
    assert faults.quarantined_jobs() == ["broken"]
    assert not any(faults.is_faulty(machine) for machine in ("m1", "m2", "m3"))
    assert not any(faults.machine_backoff_s(machine) for machine in ("m1", "m2", "m3"))


def test_a_machine_that_fails_several_jobs_is_faulty_and_they_are_not_suspected() -> None:
    faults = FailureAttribution(WORKERS)
    for job in ("a", "b", "c"):
        faults.record_failure(job, "bad", False, 0.0)
    assert faults.is_faulty("bad")
    # Each of them fails elsewhere once or twice more: not on enough machines of its own.
    for job in ("a", "b", "c"):
        faults.record_failure(job, "m1", False, 0.0)
        assert not faults.is_quarantined(job)


@pytest.mark.parametrize("proven", [False, True])
def test_a_machine_is_judged_by_jobs_that_succeed_elsewhere(proven: bool) -> None:
    faults = FailureAttribution(WORKERS)
    if not proven:
        faults.record_success("healthy", "good")
    for _ in range(3):
        faults.record_failure("healthy", "bad", proven, 0.0)
        faults.record_success("healthy", "good")
    assert faults.is_faulty("bad")
    assert not faults.is_quarantined("healthy")
    faults.record_success("healthy", "bad")
    assert not faults.is_faulty("bad")


def test_a_job_avoids_the_machine_that_failed_it_and_others_do_not() -> None:
    faults = FailureAttribution(WORKERS)
    faults.record_failure("a", "m1", False, 0.0)
    assert faults.avoided_machines("a", 1.0) == {"m1"}
    assert faults.avoided_machines("b", 1.0) == set()
    assert faults.machine_backoff_s("m1") == 0.0
    assert faults.avoided_machines("a", 30.0) == set()


def test_a_suspected_job_tries_at_growing_intervals_and_one_success_clears_it() -> None:
    faults = FailureAttribution(WORKERS)
    now = 0.0
    for machine in ("m1", "m2", "m3"):
        faults.record_failure("job", machine, False, now)
    pauses = []
    for _ in range(8):
        before = now
        while faults.is_backing_off("job", now):
            now += 0.5
        pauses.append(now - before)
        faults.record_failure("job", "m1", False, now)
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(25.0)
    faults.record_success("job", "m2")
    assert not faults.is_quarantined("job")
    assert not faults.is_backing_off("job", now)


def test_what_another_controller_suspects_is_believed_for_a_while() -> None:
    faults = FailureAttribution(WORKERS)
    faults.record_success("mine", "m1")
    faults.record_failure("mine", "m1", True, 0.0)
    faults.receive_failing_jobs(1, [("broken", 2), ("mine", 3)], 0.0)
    assert not faults.is_quarantined("broken")
    faults.receive_failing_jobs(2, [("broken", 1)], 0.0)
    assert faults.is_quarantined("broken")
    assert not faults.is_quarantined("mine")
    # The first failure here is enough to go on where the other one was.
    faults.record_failure("broken", "m1", False, 1.0)
    assert faults.quarantined_jobs() == ["broken"]
    faults.receive_failing_jobs(1, [], 100.0)
    assert faults.is_quarantined("broken")


def test_parts_add_up_what_each_has_seen() -> None:
    here, there = FailureAttribution(WORKERS), FailureAttribution(WORKERS)
    here.record_failure("job", "m1", False, 0.0)
    there.record_failure("job", "m2", False, 0.0)
    there.record_failure("job", "m3", False, 0.0)
    assert not here.is_quarantined("job")
    here.receive_failing_jobs(1, there.failing_jobs(), 1.0)
    assert here.is_quarantined("job")
    assert here.is_backing_off("job", 1.5)


def test_evidence_is_bounded() -> None:
    faults = FailureAttribution(WORKERS)
    for number in range(2 * REMEMBERED):
        faults.record_failure(f"job-{number}", f"m{number % 7}", False, 0.0)
        faults.record_failure("one", f"machine-{number}", True, 0.0)
    assert len(faults._jobs) <= REMEMBERED
    assert len(faults._machines) <= REMEMBERED
    assert all(len(e.failed_on) <= 8 for e in faults._jobs.values())
    assert all(len(e.failures) <= 8 for e in faults._machines.values())


class Attempts:
    """Counts the tasks of one job that workers were told to start."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, job: str) -> None:
        self.at: list[float] = []
        plain = Worker.start

        def start(worker: Worker, order: TaskCommand, old: FakeTask | None) -> None:
            if order.job == job:
                self.at.append(worker.world.now)
            plain(worker, order, old)

        monkeypatch.setattr(Worker, "start", start)

    def since(self, moment: float) -> int:
        """Attempts after a moment."""
        return sum(at > moment for at in self.at)


def released(world: World) -> set[str]:
    """Machines that were given back."""
    return {name for name, machine in world.workers.items() if machine.deleted}


@pytest.mark.parametrize("kind", ["array", "gang"])
def test_a_job_that_always_fails_costs_little_until_it_is_cancelled(
    monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    """Found on simulated days: each of its failures counted against a machine, and a healthy fleet
    was given back and rented again.
    """
    world = warm(430)
    long = world.submit(spec(1, team="blue", task_count=8, estimated_run_s=200.0))
    world.run(15.0)
    rented = set(world.workers)
    tasks, most = (20, 9) if kind == "array" else (3, 15)
    attempts = Attempts(monkeypatch, "job-000002")
    failing = world.submit(
        spec(2, job_class="bad", kind=kind, task_count=tasks, estimated_run_s=10.0)
    )
    world.run(40.0)
    settled, machines = world.now, len(world.workers)
    world.run(60.0)
    # A few tries in a minute, by each of the parts that hold a slice of it, of one task or gang.
    assert 1 <= attempts.since(settled) <= most
    # Nothing is rented for what waits of it.
    assert len(world.workers) == machines
    assert not released(world) & rented
    others = [world.submit(spec(n, task_count=6, estimated_run_s=3.0)) for n in (3, 4)]
    assert all(world.finish(job, 25.0) for job in others)
    assert world.state_of(failing) in ("queued", "running")
    assert world.cancel(failing) == "cancelled"
    over = world.now
    world.run(30.0)
    assert attempts.since(over) == 0
    assert world.state_of(long) == "running"
    assert not world.broken


def test_a_new_owner_does_not_begin_a_failing_job_at_full_width(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = warm(431)
    keep = world.submit(spec(1, team="blue", task_count=6, estimated_run_s=300.0))
    attempts = Attempts(monkeypatch, "job-000002")
    failing = world.submit(spec(2, job_class="bad", task_count=20, estimated_run_s=10.0))
    world.run(50.0)
    controller = world.cores["n0"]
    assert controller is not None
    moment = world.now
    world.kill(owner(world, controller.view.jobs[failing].manager_shard), back_after=40.0)
    world.run(30.0)
    assert attempts.since(moment) <= 12
    assert world.state_of(keep) == "running"
    assert not world.broken


def test_a_faulty_machine_is_given_back_and_healthy_jobs_are_not_held_up() -> None:
    world = warm(432)
    first = world.submit(spec(1, task_count=12, estimated_run_s=4.0))
    assert world.finish(first, 60.0)
    # A long job keeps the fleet.
    world.submit(spec(2, team="blue", task_count=8, estimated_run_s=300.0))
    world.run(15.0)
    bad = next(worker for worker in world.workers.values() if worker.up and not worker.deleted)
    bad.fails = True
    jobs = [world.submit(spec(n, task_count=12, estimated_run_s=4.0)) for n in (3, 4, 5, 6)]
    assert all(world.finish(job, 60.0) for job in jobs)
    core = world.cores["n0"]
    assert core is not None
    assert not any(c is not None and c.failures.quarantined_jobs() for c in world.cores.values())
    assert not world.broken


def test_only_an_empty_faulty_machine_is_given_back() -> None:
    shard = Shard(0, 5, World(433, 1).settings[0].cluster, 0.0)
    machines = [Machine(name, "t4", "a", False, 0.0) for name in ("good", "bad", "bad-in-use")]
    for machine in machines:
        shard.add_machine(machine)
        machine.set_machine_type(TYPES[0])
        machine.agent_incarnation, machine.is_reconciled, machine.last_heartbeat_at = 1, True, 100.0
    shard.launch(machines[2], JobSlice(spec(9)), 0, 1)
    shard.failures.record_success("job", "good")
    for _ in range(3):
        for name in ("bad", "bad-in-use"):
            shard.failures.record_failure("job", name, True, 100.0)
    assert machines_to_release(shard, WORKERS.lease_s, 100.0) == ["bad"]


def test_no_machines_are_kept_for_a_job_that_always_fails() -> None:
    teams = [{"name": "red", "cpus": 8.0, "cpus_max": 0.0}]
    world = World(434, 3, teams=teams)
    world.run(4.0)
    world.submit(spec(1, job_class="bad", task_count=400, estimated_run_s=20.0))
    world.run(40.0)
    assert len(world.workers) > 8
    world.run(140.0)
    assert sum(not machine.deleted for machine in world.workers.values()) <= 6
    assert not world.broken
