"""What several test files share: deployments that have begun, and looks inside them."""

from __future__ import annotations

import itertools
import sys
from collections.abc import Callable
from typing import Any

import msgspec

from marblestair.core.controller import Controller
from marblestair.core.runtime.requests import InspectAgent, PeerRequest
from marblestair.core.runtime.store_requests import Get
from marblestair.core.state import keys
from tests.fakes.peer_wire import WireMessage
from tests.fakes.worker import Worker
from tests.fakes.world import World


def warm(seed: int = 1, **cluster: object) -> World:
    world = World(seed, **cluster)  # type: ignore[arg-type]
    world.run(4.0)
    return world


def owner(world: World, shard_id: int) -> str:
    return str(world.state.data[keys.SHARD_MAP][0][1][shard_id][0])


def busy(world: World) -> list[Worker]:
    return [
        worker
        for worker in world.workers.values()
        if worker.up and not worker.deleted and worker.live
    ]


def manager(world: World, job: str) -> str:
    """The controller that owns a job's manager part."""
    return owner(world, world.state.data[keys.JOBS + job][0][1])


def running(world: World, name: str) -> Controller:
    """A controller's core, at this moment."""
    controller = world.cores[name]
    assert controller is not None
    world.set_time(controller)
    return controller


def steps(do: Callable[[], Any]) -> int:
    """Calls made by the program while something is done; no time is measured."""
    count = 0

    def seen(_frame: Any, event: str, _arg: Any) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(seen)
    try:
        do()
    finally:
        sys.setprofile(None)
    return count


def cost(world: World, seconds: float) -> dict[str, float]:
    """Steps per report and per tick of the cores, and bytes per note, over some seconds."""
    total = {"heartbeat": 0, "tick": 0, "message": 0}
    count = {"heartbeat": 0, "tick": 0, "message": 0}
    plain = {"heartbeat": Controller.receive_heartbeat, "tick": Controller.tick}
    deliver = world._deliver

    def counted(name: str) -> Callable[..., Any]:
        def call(self: Controller, *args: Any) -> Any:
            out: list[Any] = []
            count[name] += 1
            total[name] += steps(lambda: out.append(plain[name](self, *args)))
            return out[0]

        return call

    def count_message(sender: str, node: str, message: WireMessage) -> None:
        count["message"] += 1
        total["message"] += len(msgspec.msgpack.encode([sender, *message]))
        deliver(sender, node, message)

    Controller.receive_heartbeat = counted("heartbeat")  # type: ignore[method-assign]
    Controller.tick = counted("tick")  # type: ignore[method-assign]
    world._deliver = count_message  # type: ignore[method-assign]
    try:
        world.run(seconds)
    finally:
        Controller.receive_heartbeat = plain["heartbeat"]  # type: ignore[method-assign]
        Controller.tick = plain["tick"]  # type: ignore[method-assign]
        world._deliver = deliver  # type: ignore[method-assign]
    return {name: total[name] / max(1, count[name]) for name in total}


class Recorder:
    """Records the calls that one node's flows make, and can hold back its reads."""

    def __init__(self, world: World, node: str) -> None:
        self.calls: list[Any] = []
        self.held: list[Any] = []
        self.holding = False
        self._world = world
        self._node = node
        self._plain = world._call
        world._call = self._call  # type: ignore[method-assign]

    def _call(self, core: Any, number: int, call: Any) -> None:
        if core.context.node == self._node:
            self.calls.append(call)
            if self.holding and isinstance(call, Get):
                self.held.append((core, number, call))
                return
        self._plain(core, number, call)

    def release(self) -> None:
        """Send the reads that were held back."""
        self.holding = False
        for core, number, call in self.held:
            self._plain(core, number, call)

    def reads(self, job: str) -> int:
        """How often a job's keys were read."""
        wanted = (keys.JOBS + job, keys.FINALS + job)
        return sum(isinstance(call, Get) and call.key in wanted for call in self.calls)

    def outside(self) -> int:
        """How many calls went to the state service or the cloud."""
        return sum(not isinstance(call, (PeerRequest, InspectAgent)) for call in self.calls)

    def count(self, kind: type) -> int:
        """How many calls of a kind were made."""
        return sum(isinstance(call, kind) for call in self.calls)


def manager_of(world: World, job: str) -> str:
    """The node that runs a job's ServerManager."""
    controller = world.cores["n0"]
    assert controller is not None
    return owner(world, controller.view.jobs[job].manager_shard)


def sessions(world: World) -> list[int]:
    return [worker.session for worker in world.workers.values() if worker.up and not worker.deleted]


def leader(world: World, job: str) -> str:
    """The controller whose machines run most of a job."""
    owners = [
        owner(world, world.state.data[keys.MACHINES + worker.name][0][0])
        for worker in holders(world, job)
    ]
    return max(sorted(owners), key=owners.count)


def part_owners(world: World, job: str) -> set[str]:
    """The controllers on whose machines a job runs."""
    return {
        owner(world, world.state.data[keys.MACHINES + worker.name][0][0])
        for worker in holders(world, job)
    }


def holders(world: World, job: str) -> list[Worker]:
    return [
        worker for worker in busy(world) if any(task.job == job for task in worker.live.values())
    ]


def keep_asking(world: World, jobs: list[str], seconds: float, cancel: bool = True) -> None:
    """Users withdraw and poll at every node each second, as ``_judge`` and ``_check`` watch."""
    end = world.now + seconds
    while world.now < end:
        for job in jobs:
            for x in world.node_names:
                if world.cores[x] is not None:
                    world.ask(x, "query", job)
            if cancel:
                world.ask(world.rng.choice(world.node_names), "cancel", job)
        world.run(1.0)


def apart(world: World) -> None:
    """Controllers cannot reach one another, but everything else."""
    for a, b in itertools.combinations(world.node_names, 2):
        world.isolate(a, b)
