"""The controllers' processes: starts, ends, pauses, and what goes into and out of their cores."""

from __future__ import annotations

import enum
import functools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from marblestair.core.controller import Controller
from marblestair.core.runtime.cloud_requests import (
    ListMachines,
    ListMachineTypes,
    ReleaseMachines,
    RentMachines,
)
from marblestair.core.runtime.requests import InspectAgent, PeerRequest
from marblestair.core.runtime.store_requests import Watch
from marblestair.core.shard.heartbeat_response import HeartbeatResponse
from tests.fakes.pending_call import PendingCall
from tests.fakes.production import ProductionController
from tests.fakes.samples import START_WALL_TIME_S, node_settings, raw_node_settings
from tests.fakes.store import RequestOrder

if TYPE_CHECKING:
    from tests.fakes.simulated_deployment import SimulatedDeployment

#: pause between two ticks of a controller
TICK_S = 0.2
#: by how much clocks run too fast or too slow, at most
MAX_CLOCK_DRIFT_FRACTION = 0.0005
#: by how much the steady clocks of two nodes differ
CLOCK_OFFSET_PER_NODE_S = 100

CLOUD_REQUESTS = (ListMachineTypes, RentMachines, ReleaseMachines, ListMachines)


class OutputKind(enum.StrEnum):
    """What a node is about to hand to the network."""

    REQUEST = "request"
    HEARTBEAT_RESPONSE = "heartbeat response"
    PEER_REPLY = "peer reply"


class SentReply(NamedTuple):
    """A reply to another controller, and the tag of the message that it answers."""

    tag: str
    value: Any


class SimulatedNodes:
    """Runs the controllers, each with a clock of its own."""

    def __init__(
        self, deployment: SimulatedDeployment, count: int, in_production: bool, **cluster: Any
    ) -> None:
        self._deployment = deployment
        self.names = [f"n{index}" for index in range(count)]
        self._raw_settings = [raw_node_settings(index, count, **cluster) for index in range(count)]
        self.settings = [node_settings(index, count, **cluster) for index in range(count)]
        #: nodes that start with the version in production
        self.in_production = set(self.names) if in_production else set()
        self.controllers: dict[str, Controller | None] = dict.fromkeys(self.names)
        #: speed of each node's steady clock
        self.clock_rate = {
            name: 1.0 + deployment.rng.uniform(-MAX_CLOCK_DRIFT_FRACTION, MAX_CLOCK_DRIFT_FRACTION)
            for name in self.names
        }
        #: nodes that stand still while time passes, and until when
        self._frozen_until: dict[str, float] = {}
        #: carries a request of a controller out, by its number; a test may put another function
        #: in its place
        self.execute_request: Callable[[Controller, int, Any], None] = self._execute_request
        #: called with a node and what it is about to hand to the network
        self.on_output: Callable[[OutputKind, str, Any], None] | None = None

    @property
    def raw_settings(self) -> dict[str, Any]:
        """The settings of the first node, as its file contains them."""
        return self._raw_settings[0]

    @property
    def running(self) -> list[Controller]:
        """The controllers that run."""
        return [item for item in self.controllers.values() if item is not None]

    @property
    def running_names(self) -> list[str]:
        """The nodes whose controllers run."""
        return [name for name in self.names if self.controllers[name] is not None]

    def controller(self, name: str) -> Controller:
        """The controller of a node, which must run; its clock is that of its last input."""
        controller = self.controllers[name]
        assert controller is not None, f"{name} does not run"
        return controller

    def current(self, name: str) -> Controller:
        """The controller of a node, which must run, with its clock at this moment."""
        controller = self.controller(name)
        self.set_time(controller)
        return controller

    def start(self, name: str) -> None:
        """Start a controller's process."""
        controller = self._new_controller(name)
        self.controllers[name] = controller
        controller.start()
        self.flush(name)
        self._tick(name, controller)

    def _new_controller(self, name: str) -> Any:
        rng, now = self._deployment.rng, self._deployment.now
        index = self.names.index(name)
        incarnation = rng.getrandbits(50)
        own_rng = random.Random(rng.getrandbits(32))
        clocks = self._steady_time(name), START_WALL_TIME_S + now
        if name in self.in_production:
            return ProductionController(self._raw_settings[index], incarnation, own_rng, *clocks)
        return Controller(self.settings[index], incarnation, own_rng, *clocks)

    def kill(self, name: str, restart_after_s: float | None = None) -> None:
        """End a controller's process; it may start again later."""
        self.controllers[name] = None
        if restart_after_s is not None:
            self._deployment.schedule(restart_after_s, lambda: self.start(name))

    def kill_all(self, restart_after_s: float) -> None:
        """End all controllers' processes, which start again together."""
        for name in self.names:
            self.kill(name, restart_after_s)

    def upgrade(self, name: str, restart_after_s: float) -> None:
        """End a controller's process; it starts again with the present version."""
        self.in_production.discard(name)
        self.kill(name, restart_after_s)

    def freeze(self, name: str, seconds: float) -> None:
        """Have a node stand still: it reads, computes and sends nothing until it goes on."""
        end = self._deployment.now + seconds
        self._frozen_until[name] = max(self._frozen_until.get(name, 0.0), end)

    def defer_while_frozen(self, name: str, action: Callable[[], object]) -> bool:
        """Whether a node stands still; its action then comes when it goes on, in order."""
        remaining_s = self._frozen_until.get(name, 0.0) - self._deployment.now
        if remaining_s <= 0:
            return False
        self._deployment.schedule(remaining_s, action)
        return True

    def _tick(self, name: str, controller: Controller) -> None:
        if self.controllers[name] is not controller:
            return
        if self.defer_while_frozen(name, lambda: self._tick(name, controller)):
            return
        self.set_time(controller)
        controller.tick()
        self.flush(name)
        self._deployment.schedule(TICK_S, lambda: self._tick(name, controller))

    def _steady_time(self, name: str) -> float:
        offset_s = CLOCK_OFFSET_PER_NODE_S * self.names.index(name)
        return self._deployment.now * self.clock_rate[name] + offset_s

    def set_time(self, controller: Controller) -> None:
        """Set a controller's clocks to this moment."""
        controller.set_time(
            self._steady_time(controller.context.node), START_WALL_TIME_S + self._deployment.now
        )

    def complete(self, controller: Controller, number: int, result: Any) -> None:
        """Hand the result of a request to the controller that made it, if it still runs."""
        name = controller.context.node
        if self.defer_while_frozen(name, lambda: self.complete(controller, number, result)):
            return
        if self.controllers.get(name) is controller:
            self.set_time(controller)
            controller.complete(number, result)
            self.flush(name)

    def flush(self, name: str) -> None:
        """Carry out what a controller has to be sent."""
        controller = self.controllers[name]
        if controller is None:
            return
        if self.defer_while_frozen(name, lambda: self.flush(name)):
            return
        self._flush_requests(name, controller)
        deployment, outbox = self._deployment, controller.context.outbox
        user_replies, outbox.user_replies = outbox.user_replies, []
        deployment.users.receive(user_replies)
        direct_commands, outbox.direct_commands = outbox.direct_commands, []
        deployment.agent_link.send_commands(name, direct_commands)
        messages, outbox.messages = outbox.messages, []
        deployment.peer_link.send_messages(name, messages)
        peer_replies, outbox.peer_replies = outbox.peer_replies, []
        deployment.peer_link.send_replies(name, peer_replies)
        log_lines, outbox.log_lines = outbox.log_lines, []
        deployment.append_log(name, log_lines)

    def _flush_requests(self, name: str, controller: Controller) -> None:
        coroutines = controller.context.coroutines
        while coroutines.requests:
            requests, coroutines.requests = coroutines.requests, []
            for number, request in requests:
                self._report(OutputKind.REQUEST, name, request)
                late = functools.partial(
                    self._execute_deferred_request, controller, number, request
                )
                if not self.defer_while_frozen(name, late):
                    self.execute_request(controller, number, request)

    def _execute_deferred_request(self, controller: Controller, number: int, request: Any) -> None:
        """Carry out a request that was made before a pause."""
        if self.controllers.get(controller.context.node) is controller:
            self.execute_request(controller, number, request)

    def _execute_request(self, controller: Controller, number: int, request: Any) -> None:
        deployment, node = self._deployment, controller.context.node
        call = PendingCall(self, controller, number)
        if isinstance(request, PeerRequest):
            deployment.peer_link.request(node, request, call)
        elif isinstance(request, InspectAgent):
            deployment.agent_link.inspect(node, request, call)
        elif isinstance(request, CLOUD_REQUESTS):
            deployment.cloud.send(node, request, call)
        elif isinstance(request, Watch):
            deployment.store_link.watch(node, request, call)
        else:
            order = RequestOrder(controller.context.incarnation, number)
            deployment.store_link.send(node, request, call, order)

    def report_heartbeat_response(self, node: str, response: HeartbeatResponse) -> None:
        """Call ``on_output`` with a response that a node is about to send."""
        self._report(OutputKind.HEARTBEAT_RESPONSE, node, response)

    def report_peer_reply(self, node: str, tag: str, value: Any) -> None:
        """Call ``on_output`` with a reply that a node is about to send."""
        self._report(OutputKind.PEER_REPLY, node, SentReply(tag, value))

    def _report(self, kind: OutputKind, node: str, value: Any) -> None:
        if self.on_output is not None:
            self.on_output(kind, node, value)
