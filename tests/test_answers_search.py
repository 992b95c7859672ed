"""A seeded search for answers that go back: many jobs and users under drawn troubles.

By hand it also runs at other sizes, which take minutes:

    python -m tests.test_answers_search MACHINES NODES JOBS SEED [SEED ...]
"""

from __future__ import annotations

import random
import sys
from typing import Any

import pytest

from marblestair.core.controller import Controller
from marblestair.core.runtime.requests import CompareAndSwap, Get
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
        w = self.world
        w.run(4.0)
        for job in self.jobs:
            w.at(self.rng.uniform(0.0, BUSY_S), lambda job=job: self._submit(job, 20))
        self._look()
        self._trouble()
        w.run(BUSY_S + 30.0)
        w.answer_late = lambda node, call: None
        w.watch_lag.clear()
        w.calm()
        w.run(40.0)
        return w.broken + [f"unanswered: {job}" for job in w.unanswered()]

    # --- users -----------------------------------------------------------------------------

    def _anyone(self) -> str:
        return self.rng.choice(self.world.node_names)

    def _submit(self, job: Any, tries: int) -> None:
        w = self.world
        w.specs[job.id] = job
        if job.id not in w.accepted and tries:
            w.ask(self._anyone(), "submit", job)
            w.at(1.5, lambda: self._submit(job, tries - 1))
            return
        if self.rng.random() < 0.25:
            w.at(self.rng.uniform(0.0, 8.0), lambda: self._cancel(job.id, 20))

    def _cancel(self, job: str, tries: int) -> None:
        w = self.world
        w.cancel_asked.add(job)
        if job not in w.final_told and tries:
            w.ask(self._anyone(), "cancel", job)
            w.at(1.2, lambda: self._cancel(job, tries - 1))

    def _look(self) -> None:
        """Ask about some jobs at every node, also long after they ended."""
        w = self.world
        w.at(LOOK_S, self._look)
        known = list(w.accepted)
        for job in self.rng.sample(known, min(len(known), 4)) + known[-4:]:
            for name in w.node_names:
                if self.rng.random() < 0.1:
                    w.ask(name, "submit", w.specs[job])
                else:
                    w.ask(name, "query", job)

    # --- troubles --------------------------------------------------------------------------

    def _trouble(self) -> None:
        w = self.world
        w.state.log_limit = self.rng.choice([20, 200, 10_000])
        w.state.page_limit = self.rng.choice([3, 20, 1000])
        share = self.rng.choice([0.0, 0.1, 0.4])
        w.answer_late = lambda node, call: self._delay(call, share)
        self._change_lags()
        w.late_commits = self.rng.choice([0.0, 0.0, 0.1])
        w.copies = self.rng.choice([0.0, 0.2])
        troubles = [self._fall, self._freeze, self._refuse, self._outage]
        troubles += [self._cut, self._lose_peers, self._hang]
        at = 15.0
        while at < BUSY_S + 20.0:
            w.at(at, self.rng.choice(troubles))
            at += self.rng.uniform(4.0, 15.0)

    def _delay(self, call: Any, share: float) -> float | None:
        """Late, or never in time."""
        if isinstance(call, (Get, CompareAndSwap)) and self.rng.random() < share:
            return self.rng.choice([self.rng.uniform(0.1, 1.1), 60.0])
        return None

    def _change_lags(self) -> None:
        w = self.world
        for name in w.node_names:
            w.watch_lag[name] = self.rng.choice([0.0, 0.0, 0.3, 1.0])
        w.at(5.0, self._change_lags)

    def _live(self) -> list[str]:
        return [name for name, core in self.world.cores.items() if isinstance(core, Controller)]

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
        w = self.world
        name = self._anyone()
        peers = [x for x in w.node_names if x != name] if self.rng.random() < 0.5 else []
        w.isolate(name, "state", *peers, hold=self.rng.random() < 0.5)
        w.at(self.rng.uniform(1.0, 14.0), w.heal)

    def _lose_peers(self) -> None:
        """Nodes do not reach one another."""
        w = self.world
        w.lost |= {"query", "cancel", "apply", "promise"}
        w.at(self.rng.uniform(1.0, 10.0), w.lost.clear)

    def _hang(self) -> None:
        """Machines stand still."""
        w = self.world
        up = [m for m in w.workers.values() if m.up and not m.deleted]
        for m in self.rng.sample(up, min(len(up), 3)):
            m.hung = True
            w.at(self.rng.uniform(1.0, 14.0), lambda m=m: setattr(m, "hung", False))

    def _outage(self) -> None:
        w = self.world
        w.state.outage(True, w.now)
        w.at(self.rng.uniform(1.0, 8.0), lambda: w.state.outage(False, w.now))


@pytest.mark.parametrize(
    ("nodes", "seed"), [(3, 0), (3, 8), (3, 31), (3, 36), (5, 2), (5, 10), (5, 19), (5, 31)]
)
def test_no_answer_goes_back_under_drawn_troubles(nodes: int, seed: int) -> None:
    # Each of these draws broke the rule before changes on their way counted as in doubt and
    # deletions were remembered.
    assert not Search(seed, 12, nodes, 40).run()


if __name__ == "__main__":
    machines, nodes, jobs, *seeds = [int(x) for x in sys.argv[1:]]
    for seed in seeds:
        broken = Search(seed, machines, nodes, jobs).run()
        print(f"{machines} machines, {nodes} nodes, {jobs} jobs, seed {seed}:", broken[:3])
