"""Failures drawn at random break no rule."""

from __future__ import annotations

import pytest

from tests.fakes.deployment import spec
from tests.fakes.worker import Worker
from tests.helpers import apart, warm


@pytest.mark.parametrize("seed", range(100, 108))
# One branch for each trouble, so that the draws of a seed stay what they are.
def test_random_faults_break_no_rule(seed: int) -> None:  # noqa: C901, PLR0912
    world = warm(seed)
    rng = world.rng
    jobs: list[str] = []
    world.lose_answers, world.late_commits = 0.02, 0.02
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
        jobs.append(world.submit(s))
        fault = rng.randrange(9)
        if fault == 0:
            world.kill(rng.choice(world.node_names), back_after=rng.choice([0.2, 3.0, 8.0]))
        elif fault == 1:
            world.heal()
            world.isolate(rng.choice(world.node_names), hold=rng.random() < 0.5)
        elif fault == 2:
            world.heal()
        elif fault == 3:
            world.state.outage(True, world.now)
        elif fault == 4:
            for x in world.node_names:
                world.kill(x, back_after=rng.uniform(0.2, 6.0))
        elif fault == 5:
            up = [worker for worker in world.workers.values() if worker.up and not worker.deleted]
            if up:
                worker = rng.choice(up)
                worker.hung = True
                world.at(rng.uniform(2.0, 30.0), lambda m=worker: setattr(m, "hung", False))
        elif fault == 6 and jobs:
            job = rng.choice(jobs)
            world.cancel_asked.add(job)
            world.ask(rng.choice(world.node_names), "cancel", job)
        elif fault == 7:
            world.heal()
            world.isolate(rng.choice(world.node_names), "state")
        world.run(rng.uniform(0.5, 6.0))
        if fault == 3 or world.state.down:
            world.run(rng.uniform(1.0, 12.0))
            world.state.outage(False, world.now)
        if rng.random() < 0.3:
            world.heal()
        assert not world.broken
    world.heal()
    world.state.outage(False, world.now)
    world.lose_answers = world.late_commits = 0.0
    for job in jobs:
        if job in world.cancel_asked:
            continue
        assert world.finish(job, 600.0), job
    world.run(40.0)
    assert not world.broken


@pytest.mark.parametrize("seed", range(300, 310))
# One branch for each trouble, so that the draws of a seed stay what they are.
def test_all_troubles_drawn_at_random_break_no_rule_and_leave_every_job_known(seed: int) -> None:  # noqa: C901, PLR0912
    world = warm(seed)
    rng = world.rng
    jobs: list[str] = []
    world.lose_answers, world.late_commits, world.copies = 0.02, 0.02, 0.2

    def up() -> list[Worker]:
        return [worker for worker in world.workers.values() if worker.up and not worker.deleted]

    def deaf() -> None:
        for worker in rng.sample(up(), min(2, len(up()))):
            worker.deaf = True
            world.at(rng.uniform(3.0, 40.0), lambda m=worker: setattr(m, "deaf", False))

    def hang() -> None:
        for worker in up()[:1]:
            worker.hung = True
            world.at(rng.uniform(2.0, 25.0), lambda m=worker: setattr(m, "hung", False))

    def machine_back() -> None:
        if up():
            rng.choice(up()).back_at_once()

    def only_workers() -> None:
        x = rng.choice(world.node_names)
        world.isolate(x, "state", "users", *(y for y in world.node_names if y != x))

    def outage() -> None:
        world.state.outage(True, world.now)
        world.at(rng.uniform(2.0, 20.0), lambda: world.state.outage(False, world.now))

    def cancel() -> None:
        job = rng.choice(jobs)
        world.cancel_asked.add(job)
        world.ask(rng.choice(world.node_names), "cancel", job)

    def restart() -> None:
        for x in rng.sample(world.node_names, rng.randint(1, 3)):
            world.kill(x, back_after=rng.choice([0.05, 0.3, 5.0]))

    troubles = [
        deaf,
        hang,
        machine_back,
        only_workers,
        outage,
        cancel,
        restart,
        lambda: apart(world),
        lambda: world.isolate(rng.choice(world.node_names), hold=True),
    ]
    for n in range(1, 13):
        kind = rng.choice(["array", "array", "gang"])
        s = spec(
            n,
            kind=kind,
            team=rng.choice(["red", "blue"]),
            task_count=rng.randint(1, 6 if kind == "gang" else 14),
            estimated_run_s=rng.uniform(2.0, 15.0),
            allows_spot=rng.random() < 0.5,
        )
        world.specs[s.id] = s
        world.ask(rng.choice(world.node_names), "submit", s)
        jobs.append(s.id)
        for trouble in rng.sample(troubles, rng.randint(1, 3)):
            trouble()
        world.run(rng.uniform(0.5, 8.0))
        if rng.random() < 0.4:
            world.heal()
        assert not world.broken
    world.heal()
    world.run(25.0)
    world.lose_answers = world.late_commits = 0.0
    for worker in up():
        worker.deaf = worker.hung = False
    assert not world.unanswered()
    for job in world.accepted:
        if job not in world.cancel_asked:
            assert world.finish(job, 400.0), job
    world.run(world.cancel_s)
    assert not world.broken
