"""A seeded search for answers that go back: many jobs and users under drawn troubles.

By hand it also runs at other sizes, which take minutes:

    python -m tests.scenarios.answer_search MACHINES NODES JOBS SEED [SEED ...]
"""

from __future__ import annotations

import random
import sys
from typing import Any

from marblestair.core.controller import Controller
from marblestair.core.runtime.store_requests import CompareAndSwap, Get
from tests.fakes.deployment import TYPES, spec
from tests.fakes.world import World

#: seconds over which jobs come, and after which the troubles are over
BUSY_S = 60.0


#: pause between two rounds of users who ask at every node
LOOK_S = 0.1


class Search:
    """One deployment, its users and its troubles, drawn from a seed."""

    def __init__(self, seed: int, machines: int, nodes: int, jobs: int) -> None:
        self.rng = random.Random(f"answers {seed}")
        cpus = machines * TYPES[1].cpus
        team = dict(name="red", cpus=cpus, cpus_max=cpus, gpus=0.0, gpus_max=0.0)
        self.world = World(seed, nodes, teams=[team], state=self._limits(jobs))
        self.world.capacity = machines
        self.jobs = [self._job(n) for n in range(1, jobs + 1)]

    def _limits(self, jobs: int) -> dict[str, Any]:
        rate = max(40.0, 8.0 * jobs / BUSY_S)
        return dict(rps=3 * rate, write_rps=rate, value_kb=16.0, txn_ops=16)

    def _job(self, number: int) -> Any:
        tasks = self.rng.choice([1, 1, 2, 3, 6])
        return spec(number, task_count=tasks, estimated_run_s=self.rng.uniform(0.5, 6.0))

    def run(self) -> list[str]:
        """Play it all; what broke, and what is not answered in the end."""
        world = self.world
        world.run(4.0)
        for job in self.jobs:
            world.at(self.rng.uniform(0.0, BUSY_S), lambda job=job: self._submit(job, 20))
        self._look()
        self._trouble()
        world.run(BUSY_S + 30.0)
        world.answer_late = lambda node, call: None
        world.watch_lag.clear()
        world.calm()
        world.run(40.0)
        return world.broken + [f"unanswered: {job}" for job in world.unanswered()]

    # --- users -----------------------------------------------------------------------------

    def _anyone(self) -> str:
        return self.rng.choice(self.world.node_names)

    def _submit(self, job: Any, tries: int) -> None:
        world = self.world
        world.specs[job.id] = job
        if job.id not in world.accepted and tries:
            world.ask(self._anyone(), "submit", job)
            world.at(1.5, lambda: self._submit(job, tries - 1))
            return
        if self.rng.random() < 0.25:
            world.at(self.rng.uniform(0.0, 8.0), lambda: self._cancel(job.id, 20))

    def _cancel(self, job: str, tries: int) -> None:
        world = self.world
        world.cancel_asked.add(job)
        if job not in world.final_told and tries:
            world.ask(self._anyone(), "cancel", job)
            world.at(1.2, lambda: self._cancel(job, tries - 1))

    def _look(self) -> None:
        """Ask about some jobs at every node, also long after they ended."""
        world = self.world
        world.at(LOOK_S, self._look)
        known = list(world.accepted)
        for job in self.rng.sample(known, min(len(known), 4)) + known[-4:]:
            for name in world.node_names:
                if self.rng.random() < 0.1:
                    world.ask(name, "submit", world.specs[job])
                else:
                    world.ask(name, "query", job)

    # --- troubles --------------------------------------------------------------------------

    def _trouble(self) -> None:
        world = self.world
        world.state.log_limit = self.rng.choice([20, 200, 10_000])
        world.state.page_limit = self.rng.choice([3, 20, 1000])
        share = self.rng.choice([0.0, 0.1, 0.4])
        world.answer_late = lambda node, call: self._delay(call, share)
        self._change_lags()
        world.late_commits = self.rng.choice([0.0, 0.0, 0.1])
        world.copies = self.rng.choice([0.0, 0.2])
        troubles = [self._fall, self._freeze, self._refuse, self._outage]
        troubles += [self._cut, self._lose_peers, self._hang]
        at = 15.0
        while at < BUSY_S + 20.0:
            world.at(at, self.rng.choice(troubles))
            at += self.rng.uniform(4.0, 15.0)

    def _delay(self, call: Any, share: float) -> float | None:
        """Late, or never in time."""
        if isinstance(call, (Get, CompareAndSwap)) and self.rng.random() < share:
            return self.rng.choice([self.rng.uniform(0.1, 1.1), 60.0])
        return None

    def _change_lags(self) -> None:
        world = self.world
        for name in world.node_names:
            world.watch_lag[name] = self.rng.choice([0.0, 0.0, 0.3, 1.0])
        world.at(5.0, self._change_lags)

    def _live(self) -> list[str]:
        return [
            name
            for name, controller in self.world.cores.items()
            if isinstance(controller, Controller)
        ]

    def _fall(self) -> None:
        live = self._live()
        if live:
            self.world.kill(self.rng.choice(live), back_after=self.rng.choice([0.2, 3.0, 12.0]))

    def _freeze(self) -> None:
        self.world.freeze(self._anyone(), self.rng.uniform(0.5, 8.0))

    def _refuse(self) -> None:
        name = self._anyone()
        self.world.state.refused_nodes.add(name)
        until = self.rng.uniform(1.0, 8.0)
        self.world.at(until, lambda: self.world.state.refused_nodes.discard(name))

    def _cut(self) -> None:
        """A node is cut from the state service, or also from its peers; packets may be held."""
        world = self.world
        name = self._anyone()
        peers = [x for x in world.node_names if x != name] if self.rng.random() < 0.5 else []
        world.isolate(name, "state", *peers, hold=self.rng.random() < 0.5)
        world.at(self.rng.uniform(1.0, 14.0), world.heal)

    def _lose_peers(self) -> None:
        """Nodes do not reach one another."""
        world = self.world
        world.lost |= {"query", "cancel", "apply", "promise"}
        world.at(self.rng.uniform(1.0, 10.0), world.lost.clear)

    def _hang(self) -> None:
        """Machines stand still."""
        world = self.world
        up = [worker for worker in world.workers.values() if worker.up and not worker.deleted]
        for worker in self.rng.sample(up, min(len(up), 3)):
            worker.hung = True
            world.at(self.rng.uniform(1.0, 14.0), lambda m=worker: setattr(m, "hung", False))

    def _outage(self) -> None:
        world = self.world
        world.state.outage(True, world.now)
        world.at(self.rng.uniform(1.0, 8.0), lambda: world.state.outage(False, world.now))


if __name__ == "__main__":
    machines, nodes, jobs, *seeds = [int(x) for x in sys.argv[1:]]
    for seed in seeds:
        broken = Search(seed, machines, nodes, jobs).run()
        print(f"{machines} machines, {nodes} nodes, {jobs} jobs, seed {seed}:", broken[:3])
