"""What a job that always fails may cost, and machines that fail every task."""

from __future__ import annotations

import pytest

from marblestair.core.domain.agents import TaskCommand
from tests.fakes.deployment import spec
from tests.fakes.worker import FakeTask, Worker
from tests.fakes.world import World
from tests.helpers import owner, warm


def test_a_job_that_fails_everywhere_does_not_block_others() -> None:
    world = warm(18)
    bad = world.submit(spec(1, job_class="bad", task_count=4))
    good = world.submit(spec(2, task_count=4))
    assert world.finish(good, 120.0)
    assert world.cancel(bad) == "cancelled"
    assert not world.broken


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
