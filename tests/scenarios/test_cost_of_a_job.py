"""What one job costs from its acceptance to its end, on 300 machines and on 900."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from marblestair.core.runtime.requests import PeerRequest
from marblestair.core.runtime.store_requests import CompareAndSwap, Get
from tests.fakes.deployment import spec
from tests.fakes.peer_wire import WireMessage
from tests.fakes.world import World
from tests.helpers import manager, steps
from tests.scenarios.fleets import fill, fleet

#: jobs that are measured, each by itself
JOBS = 8


class Cost(msgspec.Struct):
    """What was sent because of one job."""

    reads: int = 0
    commits: int = 0
    changes: int = 0
    messages: int = 0
    bytes: int = 0
    steps: int = 0

    def added(self, other: Cost) -> Cost:
        """The sum of both."""
        pairs = zip(msgspec.structs.astuple(self), msgspec.structs.astuple(other), strict=True)
        return Cost(*(a + b for a, b in pairs))


#: the most that one job may cost on the average of all that are measured; half of them are
#: cancelled, the others finish
MOST = {
    # Its record, kept and told to the two other nodes (some 200 bytes each, which were not sent
    # when this was 3 messages and 250 bytes), and the first reports of its slices.
    "accepted": Cost(reads=0, commits=1, changes=1, messages=5, bytes=650, steps=200),
    # From memory, but for what its parts report.
    "polled": Cost(reads=0, commits=0, changes=0, messages=2, bytes=60, steps=80),
    # One call to the manager's owner.
    "polled elsewhere": Cost(reads=0, commits=0, changes=0, messages=3, bytes=60, steps=80),
    # The entry, and the final state together with the deletion of the record; a call to each
    # other owner that holds a slice.
    "cancelled": Cost(reads=0, commits=1, changes=2, messages=8, bytes=400, steps=80),
    # Pages of progress of three parts, the final state, the deletions.
    "finished": Cost(reads=1, commits=5, changes=6, messages=20, bytes=800, steps=0),
}


class Meter:
    """Counts what the nodes send to the state service and to one another about a job."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.job = ""
        self.cost = Cost()
        self._call, self._deliver = world._call, world._deliver
        world._call = self._count_call  # type: ignore[method-assign]
        world._deliver = self._count_message  # type: ignore[method-assign]

    def about(self, job: str) -> Cost:
        """Begin to count for a job."""
        self.job, self.cost = job, Cost()
        return self.cost

    def _count_call(self, core: Any, number: int, call: Any) -> None:
        if isinstance(call, Get) and self.job in call.key:
            self.cost.reads += 1
        elif isinstance(call, CompareAndSwap):
            changed = [*(put.key for put in call.puts), *call.deletes]
            mine = sum(self.job in key for key in changed)
            self.cost.commits += bool(mine)
            self.cost.changes += mine
            values = [put.value for put in call.puts if self.job in put.key]
            self.cost.bytes += len(msgspec.msgpack.encode(values)) if mine else 0
        elif isinstance(call, PeerRequest) and self.job in msgspec.structs.astuple(call.message):
            self.cost.messages += 1
            self.cost.bytes += len(msgspec.msgpack.encode(call.message))
        self._call(core, number, call)

    def _count_message(self, sender: str, node: str, message: WireMessage) -> None:
        if message.tag == "progress":
            reports = [report for report in message.arguments if report[0] == self.job]
            self.cost.messages += len(reports)
            self.cost.bytes += len(msgspec.msgpack.encode(reports)) if reports else 0
        elif message.tag in ("record", "ended") and message.arguments[0] == self.job:
            self.cost.messages += 1
            self.cost.bytes += len(msgspec.msgpack.encode(message.arguments))
        self._deliver(sender, node, message)


class Ask(msgspec.Struct):
    """One request, whose steps are counted."""

    world: World
    node: str
    what: str
    arg: Any

    def __call__(self) -> None:
        self.world.ask(self.node, self.what, self.arg)


def costs(machines: int) -> dict[str, Cost]:
    """What accepted, polled, cancelled and finished jobs cost, summed over some of each."""
    world = fleet(61, machines)
    fill(world, 1, machines // 10, 40, estimated_run_s=300.0, deadline_s=None)
    world.run(20.0)
    meter = Meter(world)
    total = {name: Cost() for name in MOST}

    def count(name: str, ask: Ask | None, job: str, seconds: float) -> None:
        cost = meter.about(job)
        if ask is not None:
            cost.steps += steps(ask)
        world.run(seconds)
        total[name] = total[name].added(cost)

    for number in range(5000, 5000 + JOBS):
        job = spec(
            number, task_count=12, team="red", mem_gb=0.5, estimated_run_s=4.0, allows_spot=True
        )
        world.specs[job.id] = job
        count("accepted", Ask(world, "n0", "submit", job), job.id, 0.1)
        meter.about("none")
        world.run(1.0)
        home = manager(world, job.id)
        away = next(name for name in world.node_names if name != home)
        count("polled", Ask(world, home, "query", job.id), job.id, 0.1)
        count("polled elsewhere", Ask(world, away, "query", job.id), job.id, 0.1)
        if number % 2:
            world.cancel_asked.add(job.id)
            count("cancelled", Ask(world, home, "cancel", job.id), job.id, 8.0)
        else:
            count("finished", None, job.id, 30.0)
        assert world.until(lambda: bool(world.state_of(job.id)), 5.0)  # noqa: B023 - asked at once
        assert world.told[job.id] == ("cancelled" if number % 2 else "done")
    assert not world.broken, world.broken[:3]
    return total


@pytest.fixture(scope="module")
def both() -> tuple[dict[str, Cost], dict[str, Cost]]:
    return costs(300), costs(900)


@pytest.mark.parametrize("name", sorted(MOST))
def test_what_a_job_costs_is_bounded_on_three_times_as_many_machines(
    name: str, both: tuple[dict[str, Cost], dict[str, Cost]]
) -> None:
    for total in both:
        for field, most in msgspec.structs.asdict(MOST[name]).items():
            assert getattr(total[name], field) <= most * JOBS, (field, total[name])
    small, large = both
    assert large[name].steps <= 1.1 * small[name].steps, (small[name], large[name])
