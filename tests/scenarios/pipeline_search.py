"""A seeded search for what cancels leave behind: pipelines, cancels and drawn troubles together.

Jobs called alive after one before them was cancelled, tasks that outlive their job, starts of
cancelled jobs and starts before all parents are done are looked for from the outside.

By hand it also runs at other sizes, which take minutes:

    python -m tests.scenarios.pipeline_search MACHINES NODES PIPELINES SEED [SEED ...]
"""

from __future__ import annotations

import random
import sys
from typing import Any

from marblestair.core.runtime.store_requests import CompareAndSwap, Lane
from tests.fakes.deployment import spec
from tests.scenarios.answer_search import BUSY_S, Search

#: jobs in one pipeline, at the most
MOST_STAGES = 6


class PipelineSearch(Search):
    """A deployment whose jobs form pipelines, some of which are cancelled at a drawn moment."""

    def __init__(self, seed: int, machines: int, nodes: int, pipelines: int) -> None:
        super().__init__(seed, machines, nodes, pipelines * MOST_STAGES)
        self.rng = random.Random(f"pipelines {seed}")
        self.jobs = []
        self.pipelines = [self._pipeline(n) for n in range(pipelines)]

    def _pipeline(self, number: int) -> list[Any]:
        """A chain with a wide stage in it, a diamond at its end."""
        first = 1 + number * MOST_STAGES
        jobs: list[Any] = []
        for n in range(first, first + self.rng.randint(2, MOST_STAGES)):
            before = [job.id for job in jobs]
            awaits = sorted({*before[-1:], *self.rng.sample(before, min(len(before), 1))})
            if len(before) > 1 and self.rng.random() < 0.3:
                awaits = before[-2:-1]
            jobs.append(
                spec(
                    n,
                    kind=self.rng.choice(["array", "array", "gang"]),
                    task_count=self.rng.choice([1, 2, 3, 6]),
                    estimated_run_s=self.rng.choice([1.0, 3.0, 10.0, 40.0]),
                    depends_on=awaits,
                )
            )
        return jobs

    def run(self) -> list[str]:
        """Play it all; what broke, and what is not answered in the end."""
        world = self.world
        world.run(4.0)
        for pipeline in self.pipelines:
            start = self.rng.uniform(0.0, BUSY_S)
            world.at(start, lambda jobs=pipeline: self._submit_next(list(jobs), 30))
            if self.rng.random() < 0.6:
                job = self.rng.choice(pipeline[:2])
                at = start + self.rng.uniform(2.0, 25.0)
                world.at(at, lambda job=job: self._cancel_accepted(job.id))
        self._look()
        self._trouble()
        world.run(2.5 * BUSY_S)
        world.answer_late = lambda node, call: None
        world.late = lambda node, commit: None
        world.watch_lag.clear()
        world.calm()
        world.run(3.0 * world.cancel_s)
        return world.broken + [f"unanswered: {job}" for job in world.unanswered()]

    # --- users -----------------------------------------------------------------------------

    def _submit_next(self, jobs: list[Any], tries: int) -> None:
        """Submit the jobs of a pipeline one after another, each once those before are accepted."""
        world = self.world
        while jobs and jobs[0].id in world.accepted:
            jobs.pop(0)
            tries = 30
        if not jobs or not tries:
            return
        world.specs[jobs[0].id] = jobs[0]
        world.ask(self._anyone(), "submit", jobs[0])
        world.at(self.rng.choice([0.3, 1.5]), lambda: self._submit_next(jobs, tries - 1))

    def _cancel_accepted(self, job: str) -> None:
        if job in self.world.accepted:
            self._cancel(job, 60)

    # --- troubles --------------------------------------------------------------------------

    def _trouble(self) -> None:
        super()._trouble()
        world = self.world
        if self.rng.random() < 0.5:
            world.late = lambda _node, commit: self._starve(commit)
        at = 12.0
        while at < 2.0 * BUSY_S:
            world.at(at, self.rng.choice([self._alone_then_out, self._unheard, self._long_outage]))
            at += self.rng.uniform(10.0, 60.0)

    def _starve(self, commit: CompareAndSwap) -> float | None:
        """What goes in the lowest lane of changes may be held up for long behind the others."""
        is_low = commit.lane == Lane.PROGRESS and self.rng.random() < 0.8
        return self.rng.uniform(10.0, 60.0) if is_low else None

    def _alone_then_out(self) -> None:
        """A node loses the state service, perhaps its peers, and then the service is out."""
        world = self.world
        name = self._anyone()
        peers = [x for x in world.node_names if x != name]
        if self.rng.random() < 0.6:
            world.isolate(name, *peers, hold=self.rng.random() < 0.5)
        world.state.refused_nodes.add(name)
        alone_s = self.rng.uniform(1.0, 3.8)
        world.at(alone_s, self._long_outage)
        world.at(alone_s + self.rng.uniform(0.0, 0.6), world.heal)
        world.at(alone_s + 5.0, lambda: world.state.refused_nodes.discard(name))

    def _long_outage(self) -> None:
        """The state service is out for longer than a cancel may take."""
        world = self.world
        world.state.outage(True, world.now)
        world.at(
            self.rng.uniform(0.3, 1.4) * world.cancel_s,
            lambda: world.state.outage(False, world.now),
        )

    def _unheard(self) -> None:
        """Machines do not hear what they are told, or are not heard."""
        world = self.world
        up = [worker for worker in world.workers.values() if worker.up and not worker.deleted]
        for worker in self.rng.sample(up, min(len(up), 3)):
            what = self.rng.choice(["deaf", "mute", "hung"])
            setattr(worker, what, True)
            world.at(
                self.rng.uniform(1.0, 30.0), lambda m=worker, what=what: setattr(m, what, False)
            )


if __name__ == "__main__":
    machines, nodes, pipelines, *seeds = [int(x) for x in sys.argv[1:]]
    for seed in seeds:
        broken = PipelineSearch(seed, machines, nodes, pipelines).run()
        rules = sorted({x.split(":")[0] for x in broken})
        print(f"{machines} machines, {nodes} nodes, {pipelines} pipelines, seed {seed}:", rules)
        print("\n".join(f"  {x}" for x in broken[:4]), flush=True)
