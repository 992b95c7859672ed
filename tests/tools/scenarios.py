"""The scenarios that ``compare_versions`` runs on two versions."""

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
    scenarios_random_faults,
    scenarios_store,
)
from tests.tools.deployment import CLUSTER_SETTINGS, Deployment, DeploymentConfig

POLICY_SCRIPT = pathlib.Path(__file__).parent / "policy.star"
CONTROLLER_COUNTS = (3, 5)


@dataclass(frozen=True)
class Scenario:
    """A deployment, the events scheduled in it by ``arrange``, and the simulated duration."""

    name: str
    config: DeploymentConfig
    duration_s: float
    arrange: Callable[[Deployment], None]

    @property
    def description(self) -> str:
        """Summary line of the scenario, for ``compare_versions --list``."""
        return (self.arrange.__doc__ or "").splitlines()[0]


def _for_each_size(
    name: str, duration_s: float, arrange: Callable[[Deployment], None], **cluster: Any
) -> list[Scenario]:
    return [
        Scenario(f"{name}-{size}", DeploymentConfig(size, cluster=cluster), duration_s, arrange)
        for size in CONTROLLER_COUNTS
    ]


#: settings in which the store's next limits are lower than its present ones
STATE_WITH_LOWER_NEXT_LIMITS = {
    **CLUSTER_SETTINGS["state"],
    "next": {"value_kb": 3.0, "txn_ops": 8, "write_rps": 30.0},
}
#: half of the cancel deadline passes before the lease of a hung agent expires
WORKERS_WITH_SHORT_CANCEL = {**CLUSTER_SETTINGS["workers"], "cancel_s": 12.0}
LIMITS_WITH_150_SOCKETS = {**CLUSTER_SETTINGS["machine_limits"], "sockets": 150.0}
LIMITS_WITH_90_SOCKETS = {**CLUSTER_SETTINGS["machine_limits"], "sockets": 90.0}

SCENARIOS: list[Scenario] = [
    Scenario("submissions-3", DeploymentConfig(), 60.0, scenarios_jobs.submissions),
    *_for_each_size("steady", 140.0, scenarios_jobs.steady),
    Scenario(
        "policy-3", DeploymentConfig(policy_script=POLICY_SCRIPT), 90.0, scenarios_jobs.steady
    ),
    *_for_each_size("contention", 150.0, scenarios_jobs.contention),
    *_for_each_size("starved", 230.0, scenarios_jobs.starved),
    *_for_each_size("cancels", 120.0, scenarios_cancels.cancels, workers=WORKERS_WITH_SHORT_CANCEL),
    *_for_each_size(
        "pipelines", 140.0, scenarios_cancels.pipelines, state=STATE_WITH_LOWER_NEXT_LIMITS
    ),
    *_for_each_size("deaths", 150.0, scenarios_failures.controller_crashes),
    *_for_each_size("all-at-once", 120.0, scenarios_failures.simultaneous_crashes),
    *_for_each_size("cuts", 180.0, scenarios_failures.partitions),
    *_for_each_size("cut-pipelines", 130.0, scenarios_failures.partitioned_pipelines),
    *_for_each_size("store-outages", 160.0, scenarios_store.outages),
    *_for_each_size("store-answers", 160.0, scenarios_store.faulty_answers),
    *_for_each_size(
        "machines", 180.0, scenarios_machines.machines, machine_limits=LIMITS_WITH_150_SOCKETS
    ),
    *_for_each_size("cloud", 160.0, scenarios_machines.cloud_faults),
    *_for_each_size("spot", 140.0, scenarios_machines.spot),
    *_for_each_size("storm", 180.0, scenarios_random_faults.random_faults),
    *_for_each_size("bad-input", 100.0, scenarios_input.bad_input_everywhere),
    *_for_each_size("crowd", 80.0, scenarios_input.overload, machine_limits=LIMITS_WITH_90_SOCKETS),
]


def find_scenario(name: str) -> Scenario:
    """Return the scenario with a name."""
    return next(scenario for scenario in SCENARIOS if scenario.name == name)
