"""Requests, messages and calls that one job costs, on fleets of 300 and of 900 machines."""

from __future__ import annotations

import functools
from typing import Any

import msgspec
import pytest

from marblestair.core.controller import Controller
from marblestair.core.runtime.requests import PeerRequest
from marblestair.core.runtime.store_requests import CompareAndSwap, Get
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.fakes.wire_message import WireMessage
from tests.helpers import manager_of
from tests.measurements import count_calls
from tests.scenarios.fleets import large_fleet, submit_arrays

#: number of jobs that are measured, one after another
MEASURED_JOBS = 8


class Cost(msgspec.Struct):
    """Requests, messages and bytes sent because of one job, and calls made by its requests."""

    reads: int = 0
    commits: int = 0
    changes: int = 0
    messages: int = 0
    bytes: int = 0
    calls: int = 0

    def plus(self, other: Cost) -> Cost:
        """Return the sum of both costs."""
        pairs = zip(msgspec.structs.astuple(self), msgspec.structs.astuple(other), strict=True)
        return Cost(*(own + others for own, others in pairs))


#: maximum mean cost over all measured jobs, of which half are cancelled and half finish. Calls
#: exclude those of the simulated environment; including them, the limits of 154, 52, 41 and 57
#: calls correspond to 200, 80, 80 and 80.
MAX_COSTS = {
    # The record, stored and sent to the two other nodes (some 200 bytes each; without these two
    # messages the limits would be 3 messages and 250 bytes), and the first progress of the slices.
    "accepted": Cost(reads=0, commits=1, changes=1, messages=5, bytes=650, calls=154),
    # The reply comes from memory; only the progress of the slices is sent meanwhile.
    "polled": Cost(reads=0, commits=0, changes=0, messages=2, bytes=60, calls=52),
    # One request to the manager of the job.
    "polled elsewhere": Cost(reads=0, commits=0, changes=0, messages=3, bytes=60, calls=41),
    # The commit of the cancel entry, the commit of the final state with the deletion of the record,
    # and a request to each other leader that has a slice of the job.
    "cancelled": Cost(reads=0, commits=1, changes=2, messages=8, bytes=400, calls=57),
    # Progress pages of three shards, the final state, and the deletions of pages and record.
    "finished": Cost(reads=1, commits=5, changes=6, messages=20, bytes=800, calls=0),
}


class CostMeter:
    """Counts the store requests and peer messages that concern one job."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._job = ""
        self._cost = Cost()
        self._execute_request = deployment.nodes.execute_request
        self._deliver = deployment.peer_link.deliver
        deployment.nodes.execute_request = self._count_request
        deployment.peer_link.deliver = self._count_message

    def start(self, job: str) -> Cost:
        """Start counting for a job; return the cost object that later counts are added to."""
        self._job, self._cost = job, Cost()
        return self._cost

    def _count_request(self, controller: Controller, number: int, request: Any) -> None:
        if isinstance(request, Get) and self._job in request.key:
            self._cost.reads += 1
        elif isinstance(request, CompareAndSwap):
            self._count_commit(request)
        elif isinstance(request, PeerRequest):
            if self._job in msgspec.structs.astuple(request.message):
                self._count_sent(request.message)
        self._execute_request(controller, number, request)

    def _count_commit(self, commit: CompareAndSwap) -> None:
        changed = [*(put.key for put in commit.puts), *commit.deletes]
        changes = sum(self._job in key for key in changed)
        if changes:
            values = [put.value for put in commit.puts if self._job in put.key]
            self._cost.commits += 1
            self._cost.changes += changes
            self._cost.bytes += len(msgspec.msgpack.encode(values))

    def _count_message(self, sender: str, node: str, message: WireMessage) -> None:
        if message.tag == "progress":
            progress = [item for item in message.arguments if item[0] == self._job]
            if progress:
                self._count_sent(progress, messages=len(progress))
        elif message.tag in ("record", "ended") and message.arguments[0] == self._job:
            self._count_sent(message.arguments)
        self._deliver(sender, node, message)

    def _count_sent(self, value: Any, messages: int = 1) -> None:
        self._cost.messages += messages
        self._cost.bytes += len(msgspec.msgpack.encode(value))


class CostMeasurement:
    """Measures the costs of accepting, polling, cancelling and finishing jobs on a fleet."""

    def __init__(self, machines: int) -> None:
        self._deployment = large_fleet(61, machines)
        submit_arrays(
            self._deployment, 1, machines // 10, 40, estimated_run_s=300.0, deadline_s=None
        )
        self._deployment.run(20.0)
        self._meter = CostMeter(self._deployment)
        self.total = {name: Cost() for name in MAX_COSTS}

    def run(self) -> dict[str, Cost]:
        """Measure the jobs one after another; return the sum of the costs for each step."""
        for number in range(5000, 5000 + MEASURED_JOBS):
            self._measure_job(number)
        assert not self._deployment.rules.violations
        return self.total

    def _measure_job(self, number: int) -> None:
        deployment, users = self._deployment, self._deployment.users
        is_cancelled = bool(number % 2)
        spec = job_spec(
            number, task_count=12, team="red", mem_gb=0.5, estimated_run_s=4.0, allows_spot=True
        )
        job = spec.id
        self._measure_request("accepted", "n0", "submit", spec, 0.1)
        self._meter.start("none")
        deployment.run(1.0)
        manager = manager_of(deployment, job)
        other = next(name for name in deployment.nodes.names if name != manager)
        self._measure_request("polled", manager, "query", job, 0.1)
        self._measure_request("polled elsewhere", other, "query", job, 0.1)
        if is_cancelled:
            self._measure_request("cancelled", manager, "cancel", job, 8.0)
        else:
            cost = self._meter.start(job)
            deployment.run(30.0)
            self.total["finished"] = self.total["finished"].plus(cost)
        assert deployment.run_until(lambda: bool(users.state_of(job)), 5.0)
        assert deployment.rules.last_state[job] == ("cancelled" if is_cancelled else "done")

    def _measure_request(
        self, name: str, node: str, kind: Any, argument: Any, seconds: float
    ) -> None:
        """Add the cost of one request and of its consequences within some seconds."""
        job = argument if isinstance(argument, str) else argument.id
        cost = self._meter.start(job)
        request = functools.partial(self._deployment.users.request, node, kind, argument)
        cost.calls += count_calls(request)
        self._deployment.run(seconds)
        self.total[name] = self.total[name].plus(cost)


@pytest.fixture(scope="module")
def small_fleet_costs() -> dict[str, Cost]:
    return CostMeasurement(300).run()


@pytest.fixture(scope="module")
def large_fleet_costs() -> dict[str, Cost]:
    return CostMeasurement(900).run()


@pytest.mark.parametrize("name", sorted(MAX_COSTS))
def test_what_a_job_costs_is_bounded_on_three_times_as_many_machines(
    name: str, small_fleet_costs: dict[str, Cost], large_fleet_costs: dict[str, Cost]
) -> None:
    small, large = small_fleet_costs[name], large_fleet_costs[name]
    for total in (small, large):
        for field, maximum in msgspec.structs.asdict(MAX_COSTS[name]).items():
            assert getattr(total, field) <= maximum * MEASURED_JOBS, (field, total)
    assert large.calls <= 1.1 * small.calls
