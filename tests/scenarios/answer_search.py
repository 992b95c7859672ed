"""A seeded search for answers that go back: many jobs and users under failures drawn at random.

By hand it also runs at other sizes, which take minutes:

    python -m tests.scenarios.answer_search MACHINES NODES JOBS SEED [SEED ...]
"""

from __future__ import annotations

import random
import sys
from typing import Any

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.runtime.store_requests import CompareAndSwap, Get, StoreRequest
from tests.fakes.agent import FakeAgent
from tests.fakes.network import STORE
from tests.fakes.samples import MACHINE_TYPES, job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import START_UP_S

#: time over which jobs are submitted, and after which the failures end
BUSY_S = 60.0
#: pause between two rounds of users who poll at every node
POLL_PAUSE_S = 0.1
#: longer than a controller waits for a response
NEVER_IN_TIME_S = 60.0


class AnswerSearch:
    """One deployment, its users and its failures, drawn from a seed."""

    def __init__(self, seed: int, machines: int, nodes: int, jobs: int) -> None:
        self.rng = random.Random(f"answers {seed}")
        cpus = machines * MACHINE_TYPES[1].cpus
        team = dict(name="red", cpus=cpus, cpus_max=cpus, gpus=0.0, gpus_max=0.0)
        self.deployment = SimulatedDeployment(
            seed, nodes, teams=[team], state=self._store_limits(jobs)
        )
        self.deployment.cloud.capacity = machines
        self.specs = [self._draw_job(number) for number in range(1, jobs + 1)]

    def _store_limits(self, jobs: int) -> dict[str, Any]:
        rate = max(40.0, 8.0 * jobs / BUSY_S)
        return dict(rps=3 * rate, write_rps=rate, value_kb=16.0, txn_ops=16)

    def _draw_job(self, number: int) -> JobSpec:
        task_count = self.rng.choice([1, 1, 2, 3, 6])
        return job_spec(number, task_count=task_count, estimated_run_s=self.rng.uniform(0.5, 6.0))

    def run(self) -> list[str]:
        """Play it all; the violations, and what is not answered in the end."""
        deployment = self.deployment
        deployment.run(START_UP_S)
        for spec in self.specs:
            deployment.schedule(
                self.rng.uniform(0.0, BUSY_S), lambda spec=spec: self._submit(spec, 20)
            )
        self._poll()
        self.schedule_failures()
        deployment.run(BUSY_S + 30.0)
        self._end_failures()
        deployment.run(40.0)
        return self._findings()

    def _end_failures(self) -> None:
        """End all failures, also those of single requests."""
        store_link = self.deployment.store_link
        store_link.response_delay_s = lambda node, request: None
        store_link.commit_delay_s = lambda node, commit: None
        store_link.watch_lag_s.clear()
        self.deployment.end_failures()

    def _findings(self) -> list[str]:
        unanswered = self.deployment.users.unanswered_jobs()
        return self.deployment.rules.violations + [f"unanswered: {job}" for job in unanswered]

    def draw_node(self) -> str:
        """Any node."""
        return self.rng.choice(self.deployment.nodes.names)

    def _submit(self, spec: JobSpec, tries: int) -> None:
        """Submit a job until it is accepted, and cancel one of four later."""
        deployment = self.deployment
        if spec.id not in deployment.rules.accepted_at and tries:
            deployment.users.request(self.draw_node(), "submit", spec)
            deployment.schedule(1.5, lambda: self._submit(spec, tries - 1))
            return
        if self.rng.random() < 0.25:
            deployment.schedule(self.rng.uniform(0.0, 8.0), lambda: self.cancel(spec.id, 20))

    def cancel(self, job: str, tries: int) -> None:
        """Cancel a job until its final state is answered."""
        deployment = self.deployment
        deployment.rules.cancel_requested.add(job)
        if job not in deployment.rules.final_answers and tries:
            deployment.users.request(self.draw_node(), "cancel", job)
            deployment.schedule(1.2, lambda: self.cancel(job, tries - 1))

    def _poll(self) -> None:
        """Poll some jobs at every node, also long after they ended."""
        deployment = self.deployment
        deployment.schedule(POLL_PAUSE_S, self._poll)
        known = list(deployment.rules.accepted_at)
        for job in self.rng.sample(known, min(len(known), 4)) + known[-4:]:
            for name in deployment.nodes.names:
                if self.rng.random() < 0.1:
                    deployment.users.request(name, "submit", deployment.tasks.specs[job])
                else:
                    deployment.users.request(name, "query", job)

    def schedule_failures(self) -> None:
        """Draw what fails, and when."""
        deployment, rng = self.deployment, self.rng
        deployment.store.watch_history_limit = rng.choice([20, 200, 10_000])
        deployment.store.page_limit = rng.choice([3, 20, 1000])
        late_ratio = rng.choice([0.0, 0.1, 0.4])
        deployment.store_link.response_delay_s = lambda node, request: self._draw_response_delay_s(
            request, late_ratio
        )
        self._change_watch_lags()
        deployment.store_link.late_commit_ratio = rng.choice([0.0, 0.0, 0.1])
        deployment.agent_link.duplicate_ratio = rng.choice([0.0, 0.2])
        failures = [
            self._kill_controller,
            self._freeze_controller,
            self._refuse_node,
            self._store_outage,
            self._isolate_controller,
            self._drop_peer_requests,
            self._hang_agents,
        ]
        delay_s = 15.0
        while delay_s < BUSY_S + 20.0:
            deployment.schedule(delay_s, rng.choice(failures))
            delay_s += rng.uniform(4.0, 15.0)

    def _draw_response_delay_s(self, request: StoreRequest, late_ratio: float) -> float | None:
        """How late a response is; some never come in time."""
        if isinstance(request, (Get, CompareAndSwap)) and self.rng.random() < late_ratio:
            return self.rng.choice([self.rng.uniform(0.1, 1.1), NEVER_IN_TIME_S])
        return None

    def _change_watch_lags(self) -> None:
        for name in self.deployment.nodes.names:
            self.deployment.store_link.watch_lag_s[name] = self.rng.choice([0.0, 0.0, 0.3, 1.0])
        self.deployment.schedule(5.0, self._change_watch_lags)

    def _kill_controller(self) -> None:
        names = self.deployment.nodes.running_names
        if names:
            self.deployment.nodes.kill(self.rng.choice(names), self.rng.choice([0.2, 3.0, 12.0]))

    def _freeze_controller(self) -> None:
        self.deployment.nodes.freeze(self.draw_node(), self.rng.uniform(0.5, 8.0))

    def _refuse_node(self) -> None:
        refused, name = self.deployment.store.refused_nodes, self.draw_node()
        refused.add(name)
        self.deployment.schedule(self.rng.uniform(1.0, 8.0), lambda: refused.discard(name))

    def _isolate_controller(self) -> None:
        """Cut a node from the store, or also from its peers; packets may be delayed."""
        deployment, name = self.deployment, self.draw_node()
        peers: list[str] = []
        if self.rng.random() < 0.5:
            peers = [other for other in deployment.nodes.names if other != name]
        deployment.network.isolate(name, STORE, *peers, delay=self.rng.random() < 0.5)
        deployment.schedule(self.rng.uniform(1.0, 14.0), deployment.network.heal)

    def _drop_peer_requests(self) -> None:
        dropped_tags = self.deployment.network.dropped_tags
        dropped_tags |= {"query", "cancel", "apply", "promise"}
        self.deployment.schedule(self.rng.uniform(1.0, 10.0), dropped_tags.clear)

    def _hang_agents(self) -> None:
        for agent in self.draw_agents():
            agent.hang(self.rng.uniform(1.0, 14.0))

    def draw_agents(self) -> list[FakeAgent]:
        """Up to three agents that serve."""
        agents = self.deployment.serving_agents
        return self.rng.sample(agents, min(len(agents), 3))

    def _store_outage(self) -> None:
        store = self.deployment.store
        store.start_outage()
        self.deployment.schedule(self.rng.uniform(1.0, 8.0), store.end_outage)


def main() -> None:
    """Search at a size and with seeds from the command line."""
    machines, nodes, jobs, *seeds = (int(argument) for argument in sys.argv[1:])
    for seed in seeds:
        findings = AnswerSearch(seed, machines, nodes, jobs).run()
        print(f"{machines} machines, {nodes} nodes, {jobs} jobs, seed {seed}:", findings[:3])


if __name__ == "__main__":
    main()
