"""A seeded search for what cancels leave behind: pipelines, cancels and failures together.

Jobs called live after one before them was cancelled, tasks that outlive their job, starts of
cancelled jobs and starts before all parents are done are looked for from the outside.

By hand it also runs at other sizes, which take minutes:

    python -m tests.scenarios.pipeline_search MACHINES NODES PIPELINES SEED [SEED ...]
"""

from __future__ import annotations

import random
import sys

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.runtime.store_requests import CompareAndSwap, RequestPriority
from tests.fakes.samples import job_spec
from tests.helpers import START_UP_S
from tests.scenarios.answer_search import BUSY_S, AnswerSearch

#: most jobs in one pipeline
MAX_STAGES = 6
#: tries after which a job of a pipeline is not submitted again
MAX_TRIES = 30


class PipelineSearch(AnswerSearch):
    """A deployment whose jobs form pipelines, some of which are cancelled at a drawn moment."""

    def __init__(self, seed: int, machines: int, nodes: int, pipelines: int) -> None:
        super().__init__(seed, machines, nodes, pipelines * MAX_STAGES)
        self.rng = random.Random(f"pipelines {seed}")
        self.specs = []
        self._pipelines = [self._draw_pipeline(number) for number in range(pipelines)]

    def _draw_pipeline(self, number: int) -> list[JobSpec]:
        """A chain with a wide stage in it, a diamond at its end."""
        first = 1 + number * MAX_STAGES
        specs: list[JobSpec] = []
        for job_number in range(first, first + self.rng.randint(2, MAX_STAGES)):
            before = [spec.id for spec in specs]
            depends_on = sorted({*before[-1:], *self.rng.sample(before, min(len(before), 1))})
            if len(before) > 1 and self.rng.random() < 0.3:
                depends_on = before[-2:-1]
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
        """Play it all; the violations, and what is not answered in the end."""
        deployment, rng = self.deployment, self.rng
        deployment.run(START_UP_S)
        for pipeline in self._pipelines:
            begin_s = rng.uniform(0.0, BUSY_S)
            deployment.schedule(
                begin_s, lambda specs=pipeline: self._submit_next(list(specs), MAX_TRIES)
            )
            if rng.random() < 0.6:
                spec = rng.choice(pipeline[:2])
                cancel_s = begin_s + rng.uniform(2.0, 25.0)
                deployment.schedule(cancel_s, lambda job=spec.id: self._cancel_accepted(job))
        self._poll()
        self.schedule_failures()
        deployment.run(2.5 * BUSY_S)
        self._end_failures()
        deployment.run(3.0 * deployment.cancel_s)
        return self._findings()

    def _submit_next(self, specs: list[JobSpec], tries: int) -> None:
        """Submit the jobs of a pipeline one after another, each once those before are accepted."""
        deployment = self.deployment
        while specs and specs[0].id in deployment.rules.accepted_at:
            specs.pop(0)
            tries = MAX_TRIES
        if not specs or not tries:
            return
        deployment.users.request(self.draw_node(), "submit", specs[0])
        deployment.schedule(
            self.rng.choice([0.3, 1.5]), lambda: self._submit_next(specs, tries - 1)
        )

    def _cancel_accepted(self, job: str) -> None:
        if job in self.deployment.rules.accepted_at:
            self.cancel(job, 60)

    def schedule_failures(self) -> None:
        """Draw what fails, and when."""
        super().schedule_failures()
        deployment, rng = self.deployment, self.rng
        if rng.random() < 0.5:
            deployment.store_link.commit_delay_s = lambda _node, commit: (
                self._draw_low_lane_delay_s(commit)
            )
        failures = [self._refuse_then_outage, self._fail_agents, self._long_store_outage]
        delay_s = 12.0
        while delay_s < 2.0 * BUSY_S:
            deployment.schedule(delay_s, rng.choice(failures))
            delay_s += rng.uniform(10.0, 60.0)

    def _draw_low_lane_delay_s(self, commit: CompareAndSwap) -> float | None:
        """Changes in the lowest lane may be delayed for long behind the others."""
        is_low = commit.priority == RequestPriority.PROGRESS and self.rng.random() < 0.8
        return self.rng.uniform(10.0, 60.0) if is_low else None

    def _refuse_then_outage(self) -> None:
        """A node loses the store, perhaps its peers, and then the store is out."""
        deployment, rng, name = self.deployment, self.rng, self.draw_node()
        refused = deployment.store.refused_nodes
        peers = [other for other in deployment.nodes.names if other != name]
        if rng.random() < 0.6:
            deployment.network.isolate(name, *peers, delay=rng.random() < 0.5)
        refused.add(name)
        alone_s = rng.uniform(1.0, 3.8)
        deployment.schedule(alone_s, self._long_store_outage)
        deployment.schedule(alone_s + rng.uniform(0.0, 0.6), deployment.network.heal)
        deployment.schedule(alone_s + 5.0, lambda: refused.discard(name))

    def _long_store_outage(self) -> None:
        """The store is out, perhaps for longer than a cancel may take."""
        deployment = self.deployment
        deployment.store.start_outage()
        outage_s = self.rng.uniform(0.3, 1.4) * deployment.cancel_s
        deployment.schedule(outage_s, deployment.store.end_outage)

    def _fail_agents(self) -> None:
        """Agents are cut off in one direction, or unresponsive."""
        for agent in self.draw_agents():
            fail = self.rng.choice([agent.partition_inbound, agent.partition_outbound, agent.hang])
            fail(self.rng.uniform(1.0, 30.0))


def main() -> None:
    """Search at a size and with seeds from the command line."""
    machines, nodes, pipelines, *seeds = (int(argument) for argument in sys.argv[1:])
    for seed in seeds:
        findings = PipelineSearch(seed, machines, nodes, pipelines).run()
        rules = sorted({finding.split(":")[0] for finding in findings})
        print(f"{machines} machines, {nodes} nodes, {pipelines} pipelines, seed {seed}:", rules)
        print("\n".join(f"  {finding}" for finding in findings[:4]), flush=True)


if __name__ == "__main__":
    main()
