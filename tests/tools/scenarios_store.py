"""Scenarios with faults of the store."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from tests.tools.deployment import Deployment
from tests.tools.scenarios_cancels import cancels, pipelines
from tests.tools.scenarios_jobs import submit_mix


def outages(deployment: Deployment) -> None:
    """Outages shorter and longer than a lease, for all or one controller, one during a crash."""
    submit_mix(deployment, 25, 110.0, first_number=200)
    cancels(deployment)
    store, controllers = deployment.store, deployment.controllers

    def refuse(number: int) -> None:
        store.refused_hosts.add(controllers.hosts[number].name)

    deployment.at(12.0, store.begin_outage)
    deployment.at(14.5, store.end_outage)
    deployment.at(24.0, store.begin_outage)
    deployment.at(40.0, store.end_outage)
    deployment.at(50.0, refuse, 0)
    deployment.at(53.0, store.refused_hosts.clear)
    deployment.at(60.0, refuse, 1)
    deployment.at(74.0, store.refused_hosts.clear)
    deployment.at(82.0, store.begin_outage)
    deployment.at(85.0, controllers.kill_and_restart, 2, 4.0)
    deployment.at(96.0, store.end_outage)
    deployment.at(108.0, refuse, 0)
    deployment.at(109.0, store.begin_outage)
    deployment.at(122.0, store.end_outage)
    deployment.at(130.0, store.refused_hosts.clear)


def faulty_answers(deployment: Deployment) -> None:
    """Slow and lost answers, late transactions, watches that have to be reopened, small pages."""
    submit_mix(deployment, 25, 110.0, first_number=200)
    pipelines(deployment)
    store, controllers = deployment.store, deployment.controllers
    store.max_page_items = 7

    def set_faults(**changes: Any) -> None:
        store.faults = replace(store.faults, **changes)

    def limit_log(max_log_changes: int) -> None:
        store.max_log_changes = max_log_changes

    deployment.at(15.0, set_faults, slowness_s=0.3)
    deployment.at(25.0, set_faults, slowness_s=0.0, lost_answers=0.15)
    deployment.at(40.0, set_faults, lost_answers=0.0, late_transactions=0.25)
    deployment.at(60.0, set_faults, late_transactions=0.0, watch_lag_s=1.5)
    deployment.at(70.0, set_faults, watch_lag_s=0.0)
    deployment.at(74.0, limit_log, 2)
    deployment.at(80.0, limit_log, 1000)
    deployment.at(84.0, set_faults, late_transactions=0.1, lost_answers=0.1, slowness_s=0.1)
    deployment.at(90.0, controllers.kill_and_restart, 1, 8.0)
    deployment.at(110.0, store.end_faults)
