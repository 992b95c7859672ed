"""Rentals that were recorded and not finished when their shard changed its leader."""

from __future__ import annotations

import pytest

from marblestair.core.leadership import progress_pages
from marblestair.core.runtime.cloud_requests import CloudRequest, CloudResponse, RentMachines
from marblestair.core.state import keys
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import START_UP_S, leader_of, start_deployment


def test_a_rental_left_uncertain_is_finished_by_the_next_leader() -> None:
    deployment = start_deployment(19)
    store = deployment.store
    deployment.cloud.is_down = True
    job = deployment.users.submit(job_spec(1, task_count=6, estimated_run_s=30.0))
    # Kill every node after the intents were written and before the cloud responded.
    assert deployment.run_until(lambda: bool(store.keys_with_prefix(keys.RENTAL_INTENTS)), 10.0)
    deployment.nodes.kill_all(restart_after_s=1.0)
    deployment.cloud.is_down = False
    assert deployment.users.wait_until_done(job, 200.0)
    deployment.run(120.0)
    assert not deployment.serving_agents
    assert not store.keys_with_prefix(keys.RENTAL_INTENTS)
    assert not deployment.rules.violations


def test_obsolete_intents_are_deleted_however_busy_a_shard_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    deployment = start_deployment(450, 1)
    deployment.users.submit(job_spec(1, task_count=4, estimated_run_s=300.0))
    deployment.run(15.0)
    controller = deployment.nodes.controller("n0")
    shard = controller.leadership.led_shards()[0]
    for number in range(20):
        key = keys.rental_intent(shard.shard_id, f"r-0-{number}")
        intent = ["t4", "a", False, 2, controller.context.wall_time]
        shard.obsolete_keys[key] = deployment.store.put(key, intent)
    # There is always progress to write.
    endless = [progress_pages.DirtyPage(next(iter(shard.slices.values())), 0)]
    monkeypatch.setattr(progress_pages, "dirty_pages", lambda shard, now: endless)
    deployment.run(60.0)
    assert not deployment.store.keys_with_prefix(f"{keys.RENTAL_INTENTS}0/r-0-")
    assert not deployment.rules.violations


class RentalRecorder:
    """Records the names of the rental requests that reach the cloud."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self.names: list[str] = []
        self._execute = deployment.cloud.execute
        deployment.cloud.execute = self._record

    def _record(self, request: CloudRequest) -> CloudResponse:
        if isinstance(request, RentMachines):
            self.names.append(request.name)
        return self._execute(request)


@pytest.mark.parametrize(("age_s", "is_sent"), [(300.0, False), (30.0, False), (5.0, True)])
def test_a_new_leader_does_not_send_old_refused_rentals_again(age_s: float, is_sent: bool) -> None:
    """Found on simulated days with a crash: a new leader sent refused requests of minutes before.

    It sent one after the other, and got machines for them long after the demand was over.
    """
    deployment = SimulatedDeployment(451, 3)
    deployment.cloud.capacity = 100
    deployment.run(START_UP_S)
    wall_time = deployment.nodes.controller("n0").context.wall_time
    for number in range(900, 920):
        key = keys.rental_intent(0, f"r-1-{number}")
        deployment.store.put(key, ["t4", "a", False, 2, wall_time - age_s])
    recorder = RentalRecorder(deployment)
    deployment.nodes.kill(leader_of(deployment, 0), restart_after_s=60.0)
    deployment.run(40.0)
    sent = [name for name in recorder.names if name.startswith("r-1-9")]
    assert bool(sent) is is_sent
    assert len(deployment.agents) == (40 if is_sent else 0)
    # None is left behind.
    assert not deployment.store.keys_with_prefix(f"{keys.RENTAL_INTENTS}0/r-1-9")
    assert not deployment.rules.violations


def test_a_rental_whose_response_is_lost_in_a_crash_is_used() -> None:
    deployment = start_deployment(452)
    execute = deployment.cloud.execute
    unanswered: list[str] = []

    def crash_before_the_response(request: CloudRequest) -> CloudResponse:
        response = execute(request)
        if isinstance(request, RentMachines) and request.name not in unanswered:
            unanswered.append(request.name)
            for name in deployment.nodes.running_names:
                deployment.nodes.kill(name, restart_after_s=1.0)
        return response

    deployment.cloud.execute = crash_before_the_response
    job = deployment.users.submit(job_spec(1, task_count=4, estimated_run_s=5.0))
    assert deployment.run_until(lambda: bool(unanswered), 20.0)
    deployment.cloud.execute = execute
    rented = set(deployment.cloud.rentals[unanswered[0]])
    assert deployment.users.wait_until_done(job, 90.0)
    assert rented & deployment.tasks.machines_of(job)
    assert not deployment.rules.violations
