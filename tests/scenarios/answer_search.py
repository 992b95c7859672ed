"""Searches with random failures for replies that contradict earlier replies to users.

An example is a job that a reply reports as done and a later reply as running. The command line
runs the search at other sizes, which takes minutes:

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

#: period over which jobs are submitted; failures are injected until shortly after it
SUBMISSION_PERIOD_S = 60.0
#: interval between the rounds in which users poll every node
POLL_INTERVAL_S = 0.1
#: response delay beyond the controllers' request timeout
DELAY_PAST_TIMEOUT_S = 60.0


class AnswerSearch:
    """Runs one deployment with users' requests and failures that a seed determines."""

    def __init__(self, seed: int, machines: int, nodes: int, jobs: int) -> None:
        self.rng = random.Random(f"answers {seed}")
        cpus = machines * MACHINE_TYPES[1].cpus
        team = dict(name="red", cpus=cpus, cpus_max=cpus, gpus=0.0, gpus_max=0.0)
        self.deployment = SimulatedDeployment(
            seed, nodes, teams=[team], state=self._store_limits(jobs)
        )
        self.deployment.cloud.capacity = machines
        self.specs = [self._random_job(number) for number in range(1, jobs + 1)]

    def _store_limits(self, jobs: int) -> dict[str, Any]:
        rate = max(40.0, 8.0 * jobs / SUBMISSION_PERIOD_S)
        return dict(rps=3 * rate, write_rps=rate, value_kb=16.0, txn_ops=16)

    def _random_job(self, number: int) -> JobSpec:
        task_count = self.rng.choice([1, 1, 2, 3, 6])
        return job_spec(number, task_count=task_count, estimated_run_s=self.rng.uniform(0.5, 6.0))

    def run(self) -> list[str]:
        """Run the search; return the rule violations and the accepted jobs left unanswered."""
        deployment = self.deployment
        deployment.run(START_UP_S)
        for spec in self.specs:
            deployment.schedule(
                self.rng.uniform(0.0, SUBMISSION_PERIOD_S), lambda spec=spec: self._submit(spec, 20)
            )
        self._poll()
        self.schedule_failures()
        deployment.run(SUBMISSION_PERIOD_S + 30.0)
        self._end_failures()
        deployment.run(40.0)
        return self._findings()

    def _end_failures(self) -> None:
        """End all failures, including delays of single requests."""
        store_link = self.deployment.store_link
        store_link.response_delay_s = lambda node, request: None
        store_link.commit_delay_s = lambda node, commit: None
        store_link.watch_lag_s.clear()
        self.deployment.end_failures()

    def _findings(self) -> list[str]:
        unanswered = self.deployment.users.unanswered_jobs()
        return self.deployment.rules.violations + [f"unanswered: {job}" for job in unanswered]

    def random_node(self) -> str:
        """Return the name of a random node."""
        return self.rng.choice(self.deployment.nodes.names)

    def _submit(self, spec: JobSpec, attempts: int) -> None:
        """Submit a job, repeatedly until it is accepted, and later cancel a quarter of the jobs."""
        deployment = self.deployment
        if spec.id not in deployment.rules.accepted_at and attempts:
            deployment.users.request(self.random_node(), "submit", spec)
            deployment.schedule(1.5, lambda: self._submit(spec, attempts - 1))
            return
        if self.rng.random() < 0.25:
            deployment.schedule(self.rng.uniform(0.0, 8.0), lambda: self.cancel(spec.id, 20))

    def cancel(self, job: str, attempts: int) -> None:
        """Request the cancel of a job, repeatedly until a reply reports its final state."""
        deployment = self.deployment
        deployment.rules.cancel_requested.add(job)
        if job not in deployment.rules.final_answers and attempts:
            deployment.users.request(self.random_node(), "cancel", job)
            deployment.schedule(1.2, lambda: self.cancel(job, attempts - 1))

    def _poll(self) -> None:
        """Poll some jobs at every node, including jobs that ended long ago."""
        deployment = self.deployment
        deployment.schedule(POLL_INTERVAL_S, self._poll)
        known = list(deployment.rules.accepted_at)
        for job in self.rng.sample(known, min(len(known), 4)) + known[-4:]:
            for name in deployment.nodes.names:
                if self.rng.random() < 0.1:
                    deployment.users.request(name, "submit", deployment.tasks.specs[job])
                else:
                    deployment.users.request(name, "query", job)

    def schedule_failures(self) -> None:
        """Schedule random failures at random times."""
        deployment, rng = self.deployment, self.rng
        deployment.store.watch_history_limit = rng.choice([20, 200, 10_000])
        deployment.store.page_limit = rng.choice([3, 20, 1000])
        late_ratio = rng.choice([0.0, 0.1, 0.4])
        deployment.store_link.response_delay_s = lambda node, request: (
            self._random_response_delay_s(request, late_ratio)
        )
        self._change_watch_lags()
        deployment.store_link.late_commit_ratio = rng.choice([0.0, 0.0, 0.1])
        deployment.agent_link.duplicate_ratio = rng.choice([0.0, 0.2])
        failures = [
            self._kill_controller,
            self._freeze_controller,
            self._refuse_requests_of_node,
            self._store_outage,
            self._isolate_controller,
            self._drop_peer_requests,
            self._hang_agents,
        ]
        delay_s = 15.0
        while delay_s < SUBMISSION_PERIOD_S + 20.0:
            deployment.schedule(delay_s, rng.choice(failures))
            delay_s += rng.uniform(4.0, 15.0)

    def _random_response_delay_s(self, request: StoreRequest, late_ratio: float) -> float | None:
        """Return how late a response arrives: None for no extra delay, or beyond the timeout."""
        if isinstance(request, (Get, CompareAndSwap)) and self.rng.random() < late_ratio:
            return self.rng.choice([self.rng.uniform(0.1, 1.1), DELAY_PAST_TIMEOUT_S])
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
        self.deployment.nodes.freeze(self.random_node(), self.rng.uniform(0.5, 8.0))

    def _refuse_requests_of_node(self) -> None:
        refused, name = self.deployment.store.refused_nodes, self.random_node()
        refused.add(name)
        self.deployment.schedule(self.rng.uniform(1.0, 8.0), lambda: refused.discard(name))

    def _isolate_controller(self) -> None:
        """Isolate a node from the store and perhaps its peers; packets are dropped or delayed."""
        deployment, name = self.deployment, self.random_node()
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
        for agent in self.random_agents():
            agent.hang(self.rng.uniform(1.0, 14.0))

    def random_agents(self) -> list[FakeAgent]:
        """Return up to three random serving agents."""
        agents = self.deployment.serving_agents
        return self.rng.sample(agents, min(len(agents), 3))

    def _store_outage(self) -> None:
        store = self.deployment.store
        store.start_outage()
        self.deployment.schedule(self.rng.uniform(1.0, 8.0), store.end_outage)


def main() -> None:
    """Run searches with the size and the seeds that the command line gives."""
    machines, nodes, jobs, *seeds = (int(argument) for argument in sys.argv[1:])
    for seed in seeds:
        findings = AnswerSearch(seed, machines, nodes, jobs).run()
        print(f"{machines} machines, {nodes} nodes, {jobs} jobs, seed {seed}:", findings[:3])


if __name__ == "__main__":
    main()
