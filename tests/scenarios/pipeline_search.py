"""Searches with random failures for violations around cancelled pipelines.

Users submit pipelines, cancel some of their jobs, and poll. Violations are a job that is reported
live after one of its ancestors was cancelled, a task that outlives its job, a start of a cancelled
job, and a start before all parents are done. The command line runs the search at other sizes,
which takes minutes:

    python -m tests.scenarios.pipeline_search MACHINES NODES PIPELINES SEED [SEED ...]
"""

from __future__ import annotations

import random
import sys

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.runtime.store_requests import CompareAndSwap, RequestPriority
from tests.fakes.samples import job_spec
from tests.helpers import START_UP_S
from tests.scenarios.answer_search import SUBMISSION_PERIOD_S, AnswerSearch

#: maximum number of jobs in one pipeline
MAX_PIPELINE_JOBS = 6
#: maximum number of submissions of one job of a pipeline
MAX_SUBMIT_ATTEMPTS = 30


class PipelineSearch(AnswerSearch):
    """Runs one deployment whose jobs form pipelines; some are cancelled at a random time."""

    def __init__(self, seed: int, machines: int, nodes: int, pipelines: int) -> None:
        super().__init__(seed, machines, nodes, pipelines * MAX_PIPELINE_JOBS)
        self.rng = random.Random(f"pipelines {seed}")
        self.specs = []
        self._pipelines = [self._random_pipeline(number) for number in range(pipelines)]

    def _random_pipeline(self, number: int) -> list[JobSpec]:
        """Return a chain of jobs in which some also depend on an earlier job or skip one."""
        first = 1 + number * MAX_PIPELINE_JOBS
        specs: list[JobSpec] = []
        for job_number in range(first, first + self.rng.randint(2, MAX_PIPELINE_JOBS)):
            earlier = [spec.id for spec in specs]
            depends_on = sorted({*earlier[-1:], *self.rng.sample(earlier, min(len(earlier), 1))})
            if len(earlier) > 1 and self.rng.random() < 0.3:
                depends_on = earlier[-2:-1]
            specs.append(
                job_spec(
                    job_number,
                    kind=self.rng.choice(["array", "array", "gang"]),
                    task_count=self.rng.choice([1, 2, 3, 6]),
                    estimated_run_s=self.rng.choice([1.0, 3.0, 10.0, 40.0]),
                    depends_on=depends_on,
                )
            )
        return specs

    def run(self) -> list[str]:
        """Run the search; return the rule violations and the accepted jobs left unanswered."""
        deployment, rng = self.deployment, self.rng
        deployment.run(START_UP_S)
        for pipeline in self._pipelines:
            submit_s = rng.uniform(0.0, SUBMISSION_PERIOD_S)
            deployment.schedule(
                submit_s, lambda specs=pipeline: self._submit_next(list(specs), MAX_SUBMIT_ATTEMPTS)
            )
            if rng.random() < 0.6:
                spec = rng.choice(pipeline[:2])
                cancel_s = submit_s + rng.uniform(2.0, 25.0)
                deployment.schedule(cancel_s, lambda job=spec.id: self._cancel_accepted(job))
        self._poll()
        self.schedule_failures()
        deployment.run(2.5 * SUBMISSION_PERIOD_S)
        self._end_failures()
        deployment.run(3.0 * deployment.cancel_s)
        return self._findings()

    def _submit_next(self, specs: list[JobSpec], attempts: int) -> None:
        """Submit the jobs of a pipeline in order, each after the previous one was accepted."""
        deployment = self.deployment
        while specs and specs[0].id in deployment.rules.accepted_at:
            specs.pop(0)
            attempts = MAX_SUBMIT_ATTEMPTS
        if not specs or not attempts:
            return
        deployment.users.request(self.random_node(), "submit", specs[0])
        deployment.schedule(
            self.rng.choice([0.3, 1.5]), lambda: self._submit_next(specs, attempts - 1)
        )

    def _cancel_accepted(self, job: str) -> None:
        if job in self.deployment.rules.accepted_at:
            self.cancel(job, 60)

    def schedule_failures(self) -> None:
        """Schedule random failures at random times."""
        super().schedule_failures()
        deployment, rng = self.deployment, self.rng
        if rng.random() < 0.5:
            deployment.store_link.commit_delay_s = lambda _node, commit: (
                self._random_progress_delay_s(commit)
            )
        failures = [self._refuse_node_then_outage, self._fail_agents, self._long_store_outage]
        delay_s = 12.0
        while delay_s < 2.0 * SUBMISSION_PERIOD_S:
            deployment.schedule(delay_s, rng.choice(failures))
            delay_s += rng.uniform(10.0, 60.0)

    def _random_progress_delay_s(self, commit: CompareAndSwap) -> float | None:
        """Return a long delay for most commits of priority PROGRESS, else None."""
        is_low = commit.priority == RequestPriority.PROGRESS and self.rng.random() < 0.8
        return self.rng.uniform(10.0, 60.0) if is_low else None

    def _refuse_node_then_outage(self) -> None:
        """Have the store refuse a node, perhaps isolate the node from its peers; then an outage."""
        deployment, rng, name = self.deployment, self.rng, self.random_node()
        refused = deployment.store.refused_nodes
        peers = [other for other in deployment.nodes.names if other != name]
        if rng.random() < 0.6:
            deployment.network.isolate(name, *peers, delay=rng.random() < 0.5)
        refused.add(name)
        outage_after_s = rng.uniform(1.0, 3.8)
        deployment.schedule(outage_after_s, self._long_store_outage)
        deployment.schedule(outage_after_s + rng.uniform(0.0, 0.6), deployment.network.heal)
        deployment.schedule(outage_after_s + 5.0, lambda: refused.discard(name))

    def _long_store_outage(self) -> None:
        """Start a store outage, which may outlast the time limit of a cancel."""
        deployment = self.deployment
        deployment.store.start_outage()
        outage_s = self.rng.uniform(0.3, 1.4) * deployment.cancel_s
        deployment.schedule(outage_s, deployment.store.end_outage)

    def _fail_agents(self) -> None:
        """Partition some agents in one direction, or make them unresponsive."""
        for agent in self.random_agents():
            fail = self.rng.choice([agent.partition_inbound, agent.partition_outbound, agent.hang])
            fail(self.rng.uniform(1.0, 30.0))


def main() -> None:
    """Run searches with the size and the seeds that the command line gives."""
    machines, nodes, pipelines, *seeds = (int(argument) for argument in sys.argv[1:])
    for seed in seeds:
        findings = PipelineSearch(seed, machines, nodes, pipelines).run()
        rules = sorted({finding.split(":")[0] for finding in findings})
        print(f"{machines} machines, {nodes} nodes, {pipelines} pipelines, seed {seed}:", rules)
        print("\n".join(f"  {finding}" for finding in findings[:4]), flush=True)


if __name__ == "__main__":
    main()
