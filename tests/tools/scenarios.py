"""The scenarios that are played on two versions."""

from __future__ import annotations

import pathlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tests.tools import (
    scenarios_cancels,
    scenarios_failures,
    scenarios_input,
    scenarios_jobs,
    scenarios_machines,
    scenarios_store,
    scenarios_storm,
)
from tests.tools.deployment import CLUSTER, Deployment, Plan

POLICY_SCRIPT = pathlib.Path(__file__).parent / "policy.star"
SIZES = (3, 5)


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


def _in_all_sizes(
    name: str, duration_s: float, arrange: Callable[[Deployment], None], **cluster: Any
) -> list[Scenario]:
    return [
        Scenario(f"{name}-{size}", Plan(size, cluster=cluster), duration_s, arrange)
        for size in SIZES
    ]


#: the store's limits become smaller later
LATER_LIMITS = {**CLUSTER["state"], "next": {"value_kb": 3.0, "txn_ops": 8, "write_rps": 30.0}}
#: half of the time for a cancel is over before the lease of an agent that hangs
QUICK_CANCELS = {**CLUSTER["workers"], "cancel_s": 12.0}
SOME_SOCKETS = {**CLUSTER["machine_limits"], "sockets": 150.0}
FEW_SOCKETS = {**CLUSTER["machine_limits"], "sockets": 90.0}

SCENARIOS: list[Scenario] = [
    Scenario("submissions-3", Plan(), 60.0, scenarios_jobs.submissions),
    *_in_all_sizes("steady", 140.0, scenarios_jobs.steady),
    Scenario("policy-3", Plan(policy_script=POLICY_SCRIPT), 90.0, scenarios_jobs.steady),
    *_in_all_sizes("contention", 150.0, scenarios_jobs.contention),
    *_in_all_sizes("starved", 230.0, scenarios_jobs.starved),
    *_in_all_sizes("cancels", 120.0, scenarios_cancels.cancels, workers=QUICK_CANCELS),
    *_in_all_sizes("pipelines", 140.0, scenarios_cancels.pipelines, state=LATER_LIMITS),
    *_in_all_sizes("deaths", 150.0, scenarios_failures.deaths),
    *_in_all_sizes("all-at-once", 120.0, scenarios_failures.all_at_once),
    *_in_all_sizes("cuts", 180.0, scenarios_failures.cuts),
    *_in_all_sizes("cut-pipelines", 130.0, scenarios_failures.cut_pipelines),
    *_in_all_sizes("store-outages", 160.0, scenarios_store.outages),
    *_in_all_sizes("store-answers", 160.0, scenarios_store.answers),
    *_in_all_sizes("machines", 180.0, scenarios_machines.machines, machine_limits=SOME_SOCKETS),
    *_in_all_sizes("cloud", 160.0, scenarios_machines.cloud_troubles),
    *_in_all_sizes("spot", 140.0, scenarios_machines.spot),
    *_in_all_sizes("storm", 180.0, scenarios_storm.storm),
    *_in_all_sizes("bad-input", 100.0, scenarios_input.bad_input_everywhere),
    *_in_all_sizes("crowd", 80.0, scenarios_input.crowd, machine_limits=FEW_SOCKETS),
]


def find(name: str) -> Scenario:
    """The scenario of a name."""
    return next(scenario for scenario in SCENARIOS if scenario.name == name)
