"""What one job costs from its acceptance to its end, on 300 machines and on 900."""

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

#: jobs that are measured, each by itself
MEASURED_JOBS = 8


class Cost(msgspec.Struct):
    """What was sent because of one job, and the calls that its requests made."""

    reads: int = 0
    commits: int = 0
    changes: int = 0
    messages: int = 0
    bytes: int = 0
    calls: int = 0

    def added(self, other: Cost) -> Cost:
        """The sum of both."""
        pairs = zip(msgspec.structs.astuple(self), msgspec.structs.astuple(other), strict=True)
        return Cost(*(mine + theirs for mine, theirs in pairs))


#: the most that one job may cost on the average of all that are measured; half of them are
#: cancelled, the others finish. Calls are those of the program: with the environment's own the
#: bounds were 200, 80, 80 and 80, which left the program 154, 52, 41 and 57.
MAX_COSTS = {
    # Its record, stored and sent to the two other nodes (some 200 bytes each, which were not sent
    # when this was 3 messages and 250 bytes), and the first progress of its slices.
    "accepted": Cost(reads=0, commits=1, changes=1, messages=5, bytes=650, calls=154),
    # From memory, but for the progress of its slices.
    "polled": Cost(reads=0, commits=0, changes=0, messages=2, bytes=60, calls=52),
    # One request to the manager.
    "polled elsewhere": Cost(reads=0, commits=0, changes=0, messages=3, bytes=60, calls=41),
    # The entry, and the final state together with the deletion of the record; a request to each
    # other leader with a slice.
    "cancelled": Cost(reads=0, commits=1, changes=2, messages=8, bytes=400, calls=57),
    # Pages of progress of three shards, the final state, the deletions.
    "finished": Cost(reads=1, commits=5, changes=6, messages=20, bytes=800, calls=0),
}


class CostMeter:
    """Counts what the nodes send to the store and to one another about a job."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._job = ""
        self._cost = Cost()
        self._carry_out = deployment.nodes.execute_request
        self._deliver = deployment.peer_link.deliver
        deployment.nodes.execute_request = self._count_request
        deployment.peer_link.deliver = self._count_message

    def begin(self, job: str) -> Cost:
        """Begin to count for a job; what is returned grows."""
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
        self._carry_out(controller, number, request)

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
    """Costs of accepted, polled, cancelled and finished jobs on a fleet, summed over some."""

    def __init__(self, machines: int) -> None:
        self._deployment = large_fleet(61, machines)
        submit_arrays(
            self._deployment, 1, machines // 10, 40, estimated_run_s=300.0, deadline_s=None
        )
        self._deployment.run(20.0)
        self._meter = CostMeter(self._deployment)
        self.total = {name: Cost() for name in MAX_COSTS}

    def run(self) -> dict[str, Cost]:
        """Measure each job by itself; the sums."""
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
        self._meter.begin("none")
        deployment.run(1.0)
        manager = manager_of(deployment, job)
        other = next(name for name in deployment.nodes.names if name != manager)
        self._measure_request("polled", manager, "query", job, 0.1)
        self._measure_request("polled elsewhere", other, "query", job, 0.1)
        if is_cancelled:
            self._measure_request("cancelled", manager, "cancel", job, 8.0)
        else:
            cost = self._meter.begin(job)
            deployment.run(30.0)
            self.total["finished"] = self.total["finished"].added(cost)
        assert deployment.run_until(lambda: bool(users.state_of(job)), 5.0)
        assert deployment.rules.last_state[job] == ("cancelled" if is_cancelled else "done")

    def _measure_request(
        self, name: str, node: str, kind: Any, argument: Any, seconds: float
    ) -> None:
        """Count what one request costs, and what follows from it within some seconds."""
        job = argument if isinstance(argument, str) else argument.id
        cost = self._meter.begin(job)
        request = functools.partial(self._deployment.users.request, node, kind, argument)
        cost.calls += count_calls(request)
        self._deployment.run(seconds)
        self.total[name] = self.total[name].added(cost)


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
        for field, most in msgspec.structs.asdict(MAX_COSTS[name]).items():
            assert getattr(total, field) <= most * MEASURED_JOBS, (field, total)
    assert large.calls <= 1.1 * small.calls
