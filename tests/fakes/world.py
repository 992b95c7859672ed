"""A simulated deployment: controllers' cores, state service, cloud, workers and users.

Time is simulated and every choice comes from one seeded generator, so a test repeats exactly.
The world checks the users' rules at every step: ``broken`` lists what it saw.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from marblestair.core.controller import Controller
from marblestair.core.domain.agents import Heartbeat
from marblestair.core.domain.jobs import JobKind, JobSpec
from marblestair.core.runtime.cloud_requests import (
    CloudResponse,
    ListedMachine,
    ListMachines,
    ListMachineTypes,
    ReleaseMachines,
    RentMachines,
)
from marblestair.core.runtime.outbox import DirectCommand
from marblestair.core.runtime.requests import InspectAgent, PeerRequest
from marblestair.core.runtime.store_requests import NOT_SENT, CompareAndSwap, StoreResponse, Watch
from tests.fakes.deployment import EPOCH, TYPES, raw_settings, settings
from tests.fakes.peer_wire import WireMessage, deliver, deliver_request, encode
from tests.fakes.production import ProductionController, over_the_wire
from tests.fakes.rules import Rules
from tests.fakes.state import FakeState
from tests.fakes.worker import FakeTask, Worker


class Answer:
    """The answer to one call of a node's flow; only the first one counts."""

    def __init__(self, world: World, controller: Controller, call: int) -> None:
        self.given = False
        self._world = world
        self._core = controller
        self._call = call

    def __call__(self, result: Any) -> None:
        if not self.given:
            self.given = True
            self._world._complete(self._core, self._call, result)


class World(Rules):
    """Everything around the controllers, and the checks."""

    def __init__(
        self, seed: int = 1, nodes: int = 3, *, in_production: bool = False, **cluster: Any
    ) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self.node_names = [f"n{i}" for i in range(nodes)]
        self.raw_settings = [raw_settings(i, nodes, **cluster) for i in range(nodes)]
        self.settings = [settings(i, nodes, **cluster) for i in range(nodes)]
        #: nodes that start with the version in production
        self.old_nodes = set(self.node_names) if in_production else set()
        self.lease_s = self.settings[0].cluster.workers.lease_s
        self.cancel_s = self.settings[0].cluster.workers.cancel_s
        self.state = FakeState()
        self.limit_state(self.raw_settings[0]["cluster"]["state"])
        self.cores: dict[str, Controller | None] = dict.fromkeys(self.node_names)
        self.cut: set[frozenset[str]] = set()
        self.hold: list[Callable[[], None]] = []
        self.held: set[frozenset[str]] = set()
        self.workers: dict[str, Worker] = {}
        self.hires: dict[str, list[str]] = {}
        self.cloud_down = False
        self.capacity = 12
        self.types = TYPES
        self.specs: dict[str, JobSpec] = {}
        #: workers that were ever told to start a task of a job
        self.holders: dict[str, dict[str, Worker]] = {}
        self.results: set[tuple[str, int]] = set()
        self.cancel_asked: set[str] = set()
        #: share of state calls whose answer is lost although they are carried out
        self.lose_answers = 0.0
        #: usual time that the state service takes over an operation, when it is slow
        self.state_slow = 0.0
        #: share of reports of which a copy comes late, from seconds to several leases
        self.copies = 0.0
        #: share of commits that are carried out only after a while, unanswered
        self.late_commits = 0.0
        #: time that the fetch of an image takes
        self.fetch_s = 0.0
        #: run times of tasks for which they are set
        self.durations: dict[tuple[str, int], float] = {}
        #: how much later a commit of a node is carried out, unanswered; None: at once
        self.late: Callable[[str, CompareAndSwap], float | None] = lambda node, commit: None
        #: how much later the answer to what a node asked of the state service arrives, though
        #: it was carried out at once; None: soon. What exceeds the node's patience never does.
        self.answer_late: Callable[[str, Any], float | None] = lambda node, call: None
        #: how long what a node's watch returns is on its way
        self.watch_lag: dict[str, float] = {}
        #: messages between controllers that get lost, by their tag
        self.lost: set[str] = set()
        #: nodes that stand still while time passes, and until when
        self.frozen: dict[str, float] = {}
        #: called with what a node is about to hand to the network: ``call``, ``answer``, ``reply``
        self.on_point: Callable[[str, str, Any], None] | None = None
        #: the controllers' log: time, node and line
        self.log: collections.deque[tuple[float, str, str]] = collections.deque(maxlen=20_000)
        self.drift = {x: 1.0 + self.rng.uniform(-0.0005, 0.0005) for x in self.node_names}
        self._waiters: dict[int, Callable[[Any], None]] = {}
        #: what a controller was asked by another
        self._tags: dict[int, str] = {}
        self._watches: list[tuple[float, str, int, int, Watch, Controller]] = []
        self._ids = itertools.count(1)
        for x in self.node_names:
            self.start_node(x)
        self._check()

    # --- time ------------------------------------------------------------------------------

    def at(self, delay: float, do: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._count), do))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            t, _, do = heapq.heappop(self._events)
            self.now = max(self.now, t)
            do()
        self.now = end

    def until(self, what: Callable[[], bool], most: float) -> bool:
        """Let time pass until something holds."""
        end = self.now + most
        while self.now < end:
            if what():
                return True
            self.run(0.25)
        return what()

    # --- nodes -----------------------------------------------------------------------------

    def start_node(self, name: str) -> None:
        core = self._new_core(name)
        self.cores[name] = core
        core.start()
        self.flush(name)
        self._tick(name, core)

    def _new_core(self, name: str) -> Any:
        i = self.node_names.index(name)
        start = (
            self.rng.getrandbits(50),
            random.Random(self.rng.getrandbits(32)),
            self.now * self.drift[name] + 100 * i,
            EPOCH + self.now,
        )
        if name in self.old_nodes:
            return ProductionController(self.raw_settings[i], *start)
        return Controller(self.settings[i], *start)

    def upgrade(self, name: str, back_after: float) -> None:
        """A node's process ends, and comes back with the present version."""
        self.old_nodes.discard(name)
        self.kill(name, back_after)

    def limit_state(self, limits: dict[str, Any]) -> None:
        """The state service has these limits of values and transactions from now on."""
        self.state.value_limit = int(limits.get("value_kb", 64) * 1024)
        self.state.ops_limit = int(limits.get("txn_ops", 1 << 30))

    def kill(self, name: str, back_after: float | None = None) -> None:
        """A node's process ends, and starts again later."""
        self.cores[name] = None
        if back_after is not None:
            self.at(back_after, lambda: self.start_node(name))

    def freeze(self, name: str, seconds: float) -> None:
        """A node stands still: it reads, computes and sends nothing until it goes on."""
        self.frozen[name] = max(self.frozen.get(name, 0.0), self.now + seconds)

    def asleep(self, name: str, do: Callable[[], None]) -> bool:
        """Whether a node stands still; what it would do comes when it goes on, in order."""
        left = self.frozen.get(name, 0.0) - self.now
        if left <= 0:
            return False
        self.at(left, do)
        return True

    def _tick(self, name: str, controller: Controller) -> None:
        if self.cores[name] is not controller:
            return
        if self.asleep(name, lambda: self._tick(name, controller)):
            return
        self.set_time(controller)
        controller.tick()
        self.flush(name)
        self.at(0.2, lambda: self._tick(name, controller))

    def set_time(self, controller: Controller) -> None:
        i = self.node_names.index(controller.context.node)
        steady = self.now * self.drift[controller.context.node] + 100 * i
        controller.set_time(steady, EPOCH + self.now)

    def flush(self, name: str) -> None:
        """Carry out what a node's core has left to be sent."""
        controller = self.cores[name]
        if controller is None:
            return
        if self.asleep(name, lambda: self.flush(name)):
            return
        while controller.context.coroutines.requests:
            coroutines = controller.context.coroutines
            calls, coroutines.requests = coroutines.requests, []
            for n, call in calls:
                self._point("call", name, call)
                if not self.asleep(
                    name, lambda n=n, call=call: self._call_late(controller, n, call)
                ):
                    self._call(controller, n, call)
        outbox = controller.context.outbox
        replies, outbox.user_replies = outbox.user_replies, []
        for reply in replies:
            done = self._waiters.pop(reply.request_id, None)
            if done is not None:
                done(reply)
        commands, outbox.direct_commands = outbox.direct_commands, []
        self._send_commands(name, commands)
        messages, outbox.messages = outbox.messages, []
        for outgoing in messages:
            message = encode(outgoing.message)
            if message.tag not in self.lost:
                to = outgoing.node
                self.send(name, to, lambda to=to, m=message: self._deliver(name, to, m))
        answers, outbox.peer_replies = outbox.peer_replies, []
        for answer in answers:
            self._answer_peer(name, answer.request_id, over_the_wire(answer.value))
        lines, outbox.log_lines = outbox.log_lines, []
        errors = [line.text for line in lines if line.level == "error"]
        assert not errors, errors
        self.log += [(self.now, name, line.text) for line in lines]

    def logged(self, *words: str) -> list[tuple[float, str, str]]:
        """The lines of the controllers' logs that hold all of some words."""
        return [line for line in self.log if all(word in line[2] for word in words)]

    def _send_commands(self, name: str, commands: list[DirectCommand]) -> None:
        for command in commands:
            worker = self.workers.get(command.address.split(":")[0])
            if worker is not None and not worker.deaf:
                args = (command.fencing_token, command.agent_incarnation, command.commands)
                self.send(name, worker.name, lambda w=worker, a=args: w.direct(*a))

    def _answer_peer(self, name: str, n: int, value: Any) -> None:
        done = self._waiters.pop(n, None)
        if done is None:
            return
        self._point("reply", name, (self._tags.pop(n, ""), value))
        if not self.asleep(name, lambda: done(value)):
            done(value)

    def _point(self, what: str, node: str, value: Any) -> None:
        if self.on_point is not None:
            self.on_point(what, node, value)

    def _call_late(self, controller: Controller, n: int, call: Any) -> None:
        """A call that was made before a pause and is sent after it."""
        if self.cores.get(controller.context.node) is controller:
            self._call(controller, n, call)

    def _deliver(self, sender: str, node: str, message: WireMessage) -> None:
        """A one-way message arrives at a node."""
        if self.asleep(node, lambda: self._deliver(sender, node, message)):
            return
        controller = self.cores.get(node)
        if controller is not None:
            self.set_time(controller)
            deliver(controller, sender, message)
            self.flush(node)

    def send(self, a: str, b: str, do: Callable[[], None]) -> None:
        """Deliver between two hosts, unless cut; a holding cut delivers when it ends."""
        pair = frozenset((a, b))
        if pair in self.held:
            self.hold.append(do)
        elif pair not in self.cut:
            self.at(self.rng.uniform(0.001, 0.01), do)

    def isolate(self, name: str, *others: str, hold: bool = False) -> None:
        """Cut a host from others (all hosts when none are named)."""
        every = [*self.node_names, *self.workers, "state", "cloud", "users"]
        for x in others or every:
            (self.held if hold else self.cut).add(frozenset((name, x)))

    def heal(self) -> None:
        """End all cuts; what was held is delivered in order."""
        self.cut.clear()
        self.held.clear()
        late, self.hold = self.hold, []
        for do in late:
            self.at(0.001, do)

    def _complete(self, controller: Controller, n: int, result: Any) -> None:
        if self.asleep(controller.context.node, lambda: self._complete(controller, n, result)):
            return
        if self.cores.get(controller.context.node) is controller:
            self.set_time(controller)
            controller.complete(n, result)
            self.flush(controller.context.node)

    def _call(self, controller: Controller, n: int, call: Any) -> None:
        """Carry out a call of a node's flow."""
        answer = Answer(self, controller, n)
        if isinstance(call, PeerRequest):
            self._call_peer(controller.context.node, call, answer)
        elif isinstance(call, InspectAgent):
            self._call_worker(controller.context.node, call, answer)
        elif isinstance(call, (ListMachineTypes, RentMachines, ReleaseMachines, ListMachines)):
            self._call_cloud(controller.context.node, call, answer)
        elif isinstance(call, Watch):
            self._watch(controller.context.node, call, answer)
        else:
            process = controller.context.incarnation
            self._call_state(controller.context.node, call, answer, (process, n))

    def _call_peer(self, name: str, call: PeerRequest, answer: Answer) -> None:
        self.at(call.timeout_s, lambda: answer(None))
        if self.lost and encode(call.message).tag in self.lost:
            return

        def arrive() -> None:
            if self.asleep(call.node, arrive):
                return
            peer = self.cores.get(call.node)
            if peer is None:
                return
            ask = next(self._ids)
            self._waiters[ask] = lambda v: self.send(call.node, name, lambda: answer(v))
            message = encode(call.message)
            self._tags[ask] = message.tag
            self.set_time(peer)
            deliver_request(peer, ask, name, message)
            self.flush(call.node)

        self.send(name, call.node, arrive)

    def _call_worker(self, name: str, call: InspectAgent, answer: Answer) -> None:
        self.at(1.5, lambda: answer(None))
        seen = self.workers.get(call.address.split(":")[0])
        if seen is None:
            return

        def look() -> None:
            if seen.up and not seen.deleted and not seen.hung and not seen.deaf:
                heartbeat = seen.body()
                self.send(seen.name, name, lambda: answer(heartbeat))

        self.send(name, seen.name, look)

    def _call_cloud(self, name: str, call: Any, answer: Answer) -> None:
        self.at(4.0, lambda: answer(CloudResponse(0)))

        def execute() -> None:
            response = self.cloud(call)
            self.send("cloud", name, lambda: answer(response))

        self.send(name, "cloud", execute)

    def _watch(self, name: str, call: Watch, answer: Answer) -> None:
        self.at(call.wait_ms / 1000 + 1.2, lambda: answer(StoreResponse(0)))
        end = self.now + call.wait_ms / 1000

        def poll() -> None:
            if answer.given:
                return
            if not self.state.down and name not in self.state.refused_nodes:
                response = self.state.changes(call.prefix, call.after_revision)
                if response.events or response.status != 200 or self.now >= end:
                    lag = self.watch_lag.get(name, 0.0)
                    self.at(lag, lambda: self.send("state", name, lambda: answer(response)))
                    return
            self.at(0.02, poll)

        self.send(name, "state", poll)

    def _call_state(self, name: str, call: Any, answer: Answer, order: tuple[int, int]) -> None:
        self.at(1.2, lambda: answer(StoreResponse(0)))

        def execute() -> None:
            late = self.late(name, call) if isinstance(call, CompareAndSwap) else None
            if isinstance(call, CompareAndSwap) and self.rng.random() < self.late_commits:
                late = self.rng.uniform(0.5, 20.0)
            if late is not None:
                self.at(late, lambda: self.state.execute(call, name, self.now, order))
                return
            response = self.state.execute(call, name, self.now, order)
            if self.rng.random() < self.lose_answers:
                return
            delay = self.answer_late(name, call) or 0.0
            self.at(delay, lambda: self.send("state", name, lambda: answer(response)))

        if frozenset((name, "state")) in self.cut:
            self.at(0.3, lambda: answer(StoreResponse(NOT_SENT)))
        elif self.state_slow:
            late = self.rng.uniform(0.5, 1.5) * self.state_slow
            self.at(late, lambda: self.send(name, "state", execute))
        else:
            self.send(name, "state", execute)

    def cloud(self, call: Any) -> CloudResponse:
        """The cloud's side."""
        if self.cloud_down:
            return CloudResponse(503)
        if isinstance(call, ListMachineTypes):
            return CloudResponse(200, machine_types=self.types)
        if isinstance(call, RentMachines):
            if call.name not in self.hires:
                alive = sum(1 for worker in self.workers.values() if not worker.deleted)
                n = min(call.count, self.capacity - alive)
                if n <= 0:
                    return CloudResponse(503, no_capacity=True)
                names = []
                machine_type = next(x for x in self.types if x.name == call.machine_type)
                for _ in range(n):
                    worker = Worker(
                        self, f"host-{len(self.workers):06d}", machine_type, call.zone, call.spot
                    )
                    self.workers[worker.name] = worker
                    names.append(worker.name)
                    self.at(self.rng.uniform(0.6, 1.5) * machine_type.boot_s, worker.boot)
                self.hires[call.name] = names
            return CloudResponse(200, machines=self.hires[call.name])
        if isinstance(call, ReleaseMachines):
            for name in call.machines:
                if name in self.workers:
                    self.workers[name].deleted = True
                    self.workers[name].tasks = {}
            return CloudResponse(200)
        lag = 5.0
        listed = [
            ListedMachine(
                worker.name,
                f"{worker.name}:9000",
                worker.type.name,
                worker.zone,
                worker.spot,
                "running",
                self.now - worker.rented,
            )
            for worker in self.workers.values()
            if not worker.deleted and worker.rented < self.now - lag
        ]
        return CloudResponse(200, listed=listed)

    def send_report(self, node: str, heartbeat: Heartbeat, answered: Callable[..., None]) -> None:
        def deliver() -> None:
            if self.asleep(node, deliver):
                return
            controller = self.cores.get(node)
            if controller is None:
                # The connection is refused, and the worker turns to the next node.
                self.at(0.001, lambda: answered(0, 0, [], None))
                return
            self.set_time(controller)
            result = controller.receive_heartbeat(heartbeat)
            self.flush(node)
            self._point("answer", node, result)
            for command in result[2]:
                if command.verb == "start" and command.job in self.cancel_told:
                    self.broken.append(f"started_cancelled: {command.job} by {node}")

            def answer() -> None:
                if not self.asleep(node, answer) and not self.workers[heartbeat.machine].deaf:
                    self.send(node, heartbeat.machine, lambda: answered(*result))

            answer()

        if self.workers[heartbeat.machine].mute:
            return
        self.send(heartbeat.machine, node, deliver)
        if self.copies and self.rng.random() < self.copies:
            # A copy of the report comes late, at any node; nobody waits for its answer.
            other = self.rng.choice(self.node_names)
            self.at(self.rng.uniform(2.0, 3.5 * self.lease_s), lambda: self._copy(other, heartbeat))

    def _copy(self, node: str, heartbeat: Heartbeat) -> None:
        if self.asleep(node, lambda: self._copy(node, heartbeat)):
            return
        controller = self.cores.get(node)
        if controller is not None:
            self.set_time(controller)
            controller.receive_heartbeat(heartbeat)
            self.flush(node)

    def cut_off(self, group: list[str]) -> None:
        """Cut a group of hosts from all others, the state service and the cloud."""
        every = [*self.node_names, *self.workers, "state", "cloud", "users"]
        for x in group:
            self.isolate(x, *(y for y in every if y not in group))

    def calm(self) -> None:
        """All troubles end; what is alive goes on."""
        self.heal()
        self.state.refused_nodes.clear()
        if self.state.down:
            self.state.outage(False, self.now)
        self.cloud_down = False
        self.state_slow = self.late_commits = self.lose_answers = self.copies = 0.0
        for worker in self.workers.values():
            worker.hung = worker.deaf = worker.mute = False
        for x in self.node_names:
            if self.cores[x] is None:
                self.start_node(x)
        self.quiet_since = self.now

    def unanswered(self, most: float = 75.0) -> list[str]:
        """Accepted jobs about which nobody answers within the time, each asked by itself."""
        left = [j for j in self.accepted]
        end = self.now + most
        while left and self.now < end:
            outs = {j: self.ask(self.rng.choice(self.node_names), "query", j) for j in left}
            self.run(2.0)
            left = [j for j in left if not (outs[j] and outs[j][0].status == 200)]
        return left

    # --- users -----------------------------------------------------------------------------

    def ask(self, node: str, what: str, arg: Any) -> list[Any]:
        """One request; the list gets its answer."""
        out: list[Any] = []
        controller = self.cores.get(node)
        if controller is None:
            return out
        n = next(self._ids)

        def done(r: Any) -> None:
            out.append(r)
            self._judge(what, arg, r, n)

        self._waiters[n] = done

        def deliver() -> None:
            if self.cores.get(node) is controller and not self.asleep(node, deliver):
                self.set_time(controller)
                if isinstance(controller, ProductionController):
                    controller.request(what, n, arg)
                else:
                    controller.context.spawn(getattr(controller.user_requests, what)(n, arg))
                self.flush(node)

        deliver()
        return out

    def submit(self, spec: JobSpec, node: str | None = None) -> str:
        """Submit as a user does, with retries, until accepted or refused for good."""
        self.specs[spec.id] = spec
        for _ in range(40):
            up = [x for x in self.node_names if self.cores[x] is not None]
            out = self.ask(node or self.rng.choice(up or self.node_names), "submit", spec)
            self.until(lambda o=out: bool(o), 5.0)
            if out and out[0].status in (200, 201, 400, 422):
                return spec.id
            self.run(1.0)
        raise AssertionError(f"{spec.id} was not accepted")

    def cancel(self, job: str) -> str:
        """Cancel as a user does, with retries; the state told."""
        self.cancel_asked.add(job)
        for _ in range(60):
            up = [x for x in self.node_names if self.cores[x] is not None]
            out = self.ask(self.rng.choice(up or self.node_names), "cancel", job)
            self.until(lambda o=out: bool(o), 5.0)
            if out and out[0].status == 200:
                return str(out[0].state)
            self.run(1.0)
        raise AssertionError(f"{job} was not cancelled")

    def state_of(self, job: str, node: str | None = None) -> str:
        """Poll once; '' when it could not be told."""
        up = [x for x in self.node_names if self.cores[x] is not None]
        out = self.ask(node or self.rng.choice(up or self.node_names), "query", job)
        self.until(lambda: bool(out), 2.0)
        return str(out[0].state) if out and out[0].status == 200 else ""

    def finish(self, job: str, most: float) -> bool:
        """Poll until done."""
        end = self.now + most
        while self.now < end:
            if self.state_of(job) == "done":
                return True
            self.run(1.0)
        return False

    def run_s(self, spec: JobSpec) -> float:
        return (
            spec.estimated_run_s
            if spec.kind == JobKind.GANG
            else spec.estimated_run_s * self.rng.uniform(0.5, 1.5)
        )

    def gang(self, t: FakeTask) -> list[tuple[Worker, FakeTask]]:
        """The members of a task's gang that are there, of the same attempt."""
        return [
            (worker, x)
            for worker in self.holders.get(t.job, {}).values()
            if not worker.deleted
            for x in worker.tasks.values()
            if x.job == t.job and x.attempt == t.attempt and x.state in ("waiting", "running")
        ]
