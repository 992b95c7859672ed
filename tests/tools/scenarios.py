"""The scenarios that are played on two versions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tests.tools.deployment import Deployment, Plan
from tests.tools.workload import describe


@dataclass(frozen=True)
class Scenario:
    """A scenario: a deployment, what happens in it, and for how long."""

    name: str
    plan: Plan
    duration_s: float
    arrange: Callable[[Deployment], None]

    @property
    def description(self) -> str:
        """What happens in it, in one line."""
        return (self.arrange.__doc__ or "").splitlines()[0]


def submissions(deployment: Deployment) -> None:
    """A few small jobs."""
    for number in range(12):
        at_s = 4.0 + 20.0 * deployment.random.random()
        deployment.at(at_s, deployment.users.submit, describe(number, pieces=1 + number))


SCENARIOS = [Scenario("submissions-3", Plan(), 60.0, submissions)]


def find(name: str) -> Scenario:
    """The scenario of a name."""
    return next(scenario for scenario in SCENARIOS if scenario.name == name)
