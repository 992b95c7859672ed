"""Steps of scenarios on a simulated deployment, with random choices from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from tests.fakes.agent import FakeAgent
from tests.fakes.samples import job_spec
from tests.helpers import start_deployment


class ScenarioDriver:
    """Submits and cancels jobs, polls them and kills controllers in a simulated deployment."""

    def __init__(self, seed: int) -> None:
        self.deployment = start_deployment(seed)
        self.rng = random.Random(seed)
        self.jobs: list[str] = []

    def submit(self, count: int = 1, **changes: Any) -> list[str]:
        """Submit random arrays and gangs, with some fields given; return their ids."""
        ids = []
        for _ in range(count):
            kind = self.rng.choice(["array", "array", "gang"])
            base: dict[str, Any] = dict(
                kind=kind,
                team=self.rng.choice(["red", "blue"]),
                task_count=self.rng.randint(1, 5 if kind == "gang" else 10),
                estimated_run_s=self.rng.uniform(4.0, 30.0),
                allows_spot=self.rng.random() < 0.5,
            )
            spec = job_spec(len(self.jobs) + 1, **{**base, **changes})
            ids.append(self.deployment.users.submit(spec))
            self.jobs.append(spec.id)
        return ids

    def wait(self, low_s: float, high_s: float) -> None:
        """Run for a random time between two bounds, while users poll some jobs each second."""
        deployment = self.deployment
        end = deployment.now + self.rng.uniform(low_s, high_s)
        while deployment.now < end:
            for job in self.rng.sample(self.jobs, min(3, len(self.jobs))):
                deployment.users.request(self.random_node(), "query", job)
            deployment.run(min(1.0, max(0.01, end - deployment.now)))

    def wait_leases(self, low: float, high: float) -> None:
        """Do the same as ``wait``, with the bounds in lease durations."""
        self.wait(low * self.deployment.lease_s, high * self.deployment.lease_s)

    def cancel(self, job: str, times: int, pause_s: float) -> None:
        """Schedule repeated requests to cancel a job, each to a random node."""
        self.deployment.rules.cancel_requested.add(job)
        for number in range(times):
            self.deployment.schedule(number * pause_s, self._cancel_at(self.random_node(), job))

    def _cancel_at(self, node: str, job: str) -> Callable[[], object]:
        return lambda: self.deployment.users.request(node, "cancel", job)

    def cancel_some(self, count: int) -> None:
        """Cancel some random jobs at once, with repeated requests for a minute."""
        cancelled = self.deployment.rules.cancel_requested
        live = [job for job in self.jobs if job not in cancelled]
        for job in self.rng.sample(live, min(count, len(live))):
            self.cancel(job, times=40, pause_s=1.5)

    def random_busy_agents(self, ratio: float = 0.4) -> list[FakeAgent]:
        """Return a random share of the agents with tasks, at least one if there is any."""
        agents = self.deployment.busy_agents
        return self.rng.sample(agents, max(1, int(ratio * len(agents)))) if agents else []

    def random_node(self) -> str:
        """Return the name of a random node."""
        return self.rng.choice(self.deployment.nodes.names)

    def kill(self, node: str, *restart_after_s: float) -> None:
        """Kill a controller, which restarts after a random one of the given delays."""
        self.deployment.nodes.kill(node, self.rng.choice(restart_after_s))

    def random_leases_s(self, low: float, high: float) -> float:
        """Return a random time in seconds, with the bounds in lease durations."""
        return self.rng.uniform(low, high) * self.deployment.lease_s
