"""Simulated agents: one per machine; each sends heartbeats to a controller and runs tasks."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from tests.tools.cloud import AGENT_PORT, Machine
from tests.tools.http_service import HttpCaller, Responder, ServiceConnection, post
from tests.tools.messages import HttpMessage, unpack
from tests.tools.network import Address, Network
from tests.tools.tasks import STEP_S, Cause, Gangs, State, Task
from tests.tools.workload import Workload

#: timeout of a heartbeat
REPORT_TIMEOUT_S = 4.0
#: delay before an agent reports to the next controller after a failed heartbeat
NEXT_CONTROLLER_DELAY_S = 1.0
#: minimum time between two heartbeats
MIN_REPORT_GAP_S = 0.5
#: maximum random deviation of the heartbeat interval, as a share of it
REPORT_JITTER_SHARE = 0.25
#: bounds of the time from a machine's restart to its first heartbeat
RESTART_BOUNDS_S = (0.05, 0.5)
#: maximum number of images in a machine's cache
MAX_CACHED_IMAGES = 3
REPORT_PATH, COMMAND_PATH, INSPECT_PATH = "/v1/report", "/do", "/inspect"
MALFORMED_BODY = b"\xc1"
#: speed of tasks on a slow machine, relative to the nominal speed
SLOW_SPEED_FACTOR = 0.15


@dataclass(frozen=True)
class AgentSettings:
    """Settings that all agents share."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    #: addresses of the controllers by name
    controllers: dict[str, Address]


class Agent:
    """The agent of one machine: sends heartbeats, executes orders and runs tasks."""

    def __init__(
        self, machine: Machine, settings: AgentSettings, shared: SharedState, seed: str
    ) -> None:
        self.machine = machine
        self._settings = settings
        self._shared = shared
        self._network = shared.network
        self._loop = shared.network.loop
        self._random = random.Random(f"{seed}/{machine.name}")
        self._caller = HttpCaller(self._network, machine.host)
        self._controller = self._random.choice(list(settings.controllers))
        self._timer = self._loop.call_later(0.0, self._report)
        self._last_report_s = 0.0
        self._last_token_report_s = 0.0
        self._incarnation = 1
        self._sequence = 0
        self._token = 0
        self._lease_start_s = self._loop.time()
        self._tasks: dict[str, Task] = {}
        self._images: dict[str, None] = {}
        self._reclaim_at_s: float | None = None
        self.speed = self._random.uniform(0.9, 1.1)
        self.is_terminated = False
        self.is_hung = False
        #: the agent applies no answers to its heartbeats (only redirects) and drops all direct
        #: commands and inspections
        self.ignores_controllers = False
        #: the agent sends no heartbeats
        self.suppresses_reports = False
        #: every task that is launched on the machine fails
        self.fails_tasks = False
        #: the agent answers commands and inspections with malformed bodies
        self.sends_malformed_answers = False
        #: share of the heartbeats of which a delayed duplicate is sent to a random controller
        self.late_copy_share = 0.0
        self._network.listen(
            (machine.host.address, AGENT_PORT), lambda: ServiceConnection(self._serve)
        )

    # faults

    def hang(self) -> None:
        """Suspend the agent and the traffic of its host until :meth:`resume`."""
        self.is_hung = True
        self._network.freeze(self.machine.host)

    def resume(self) -> None:
        """End a hang; the messages held back meanwhile are delivered."""
        if self.is_hung and not self.is_terminated:
            self.is_hung = False
            self._network.unfreeze(self.machine.host)
            self._expire_lease_if_due()
            self._schedule(0.0)

    def restart(self) -> None:
        """Restart the machine: all tasks are lost, and the agent reports a new incarnation."""
        self._begin_incarnation()
        self._schedule(self._random.uniform(*RESTART_BOUNDS_S))

    def announce_reclaim(self, notice_s: float) -> None:
        """Let the agent report that the cloud will reclaim the machine after a notice period."""
        self._reclaim_at_s = self._loop.time() + notice_s
        self._report_soon()

    def terminate(self) -> None:
        """Remove the machine with all its tasks."""
        self.is_terminated = True
        self._timer.cancel()
        self._tasks.clear()
        self._network.remove_host(self.machine.host)

    # heartbeats

    def _build_report(self) -> dict[str, Any]:
        self._sequence += 1
        machine = self.machine
        recall_s = None
        if self._reclaim_at_s is not None:
            recall_s = max(0.0, self._reclaim_at_s - self._loop.time())
        return {
            "bench": machine.name,
            "endpoint": f"{machine.host.address}:{AGENT_PORT}",
            "build": machine.machine_type["sku"],
            "room": machine.zone,
            "loaners": machine.is_spot,
            "shift": self._incarnation,
            "tally": self._sequence,
            "baton": self._token,
            "recall_s": recall_s,
            "pieces": [task.report() for task in self._tasks.values()],
        }

    def _schedule(self, pause_s: float) -> None:
        """Schedule a heartbeat after a pause; one that is scheduled earlier stays."""
        when_s = self._loop.time() + pause_s
        if self._timer.cancelled() or self._timer.when() > when_s or self._is_timer_past:
            self._timer.cancel()
            self._timer = self._loop.call_at(when_s, self._report)

    @property
    def _is_timer_past(self) -> bool:
        return self._timer.when() <= self._loop.time()

    def _report_soon(self) -> None:
        """Send a heartbeat as soon as the minimum gap allows, since reported state has changed."""
        if not self._caller.is_busy:
            elapsed_s = self._loop.time() - self._last_report_s
            self._schedule(max(0.0, MIN_REPORT_GAP_S - elapsed_s))

    def _report(self) -> None:
        if self.is_terminated or self.is_hung or self._caller.is_busy:
            return
        if self.suppresses_reports:
            self._schedule_next()
            return
        sent_s, incarnation = self._loop.time(), self._incarnation
        self._last_report_s = sent_s
        request = post(REPORT_PATH, self._build_report())
        address = self._settings.controllers[self._controller]
        self._caller.request(
            address,
            request,
            REPORT_TIMEOUT_S,
            lambda status, answer: self._handle_answer(status, answer, sent_s, incarnation),
        )
        if self.late_copy_share and self._random.random() < self.late_copy_share:
            delay_s = self._random.uniform(2.0, 3.0 * self._settings.lease_s)
            self._loop.call_later(delay_s, self._send_copy, request)

    def _send_copy(self, request: bytes) -> None:
        controllers = list(self._settings.controllers.values())
        address = self._random.choice(controllers)
        copies = HttpCaller(self._network, self.machine.host)
        copies.request(address, request, REPORT_TIMEOUT_S, lambda status, answer: copies.close())

    def _handle_answer(
        self, status: int, answer: HttpMessage | None, sent_s: float, incarnation: int
    ) -> None:
        if self.is_terminated or self.is_hung:
            return
        body = unpack(answer.body) if answer is not None else None
        body = body if isinstance(body, dict) else {}
        if status == 200:
            self._schedule_next()
            if incarnation == self._incarnation and not self.ignores_controllers:
                self._apply_answer(body, sent_s)
        elif status == 421:
            self._switch_controller(body.get("foreman"))
        else:
            self._switch_controller(None)

    def _schedule_next(self) -> None:
        factor = self._random.uniform(1 - REPORT_JITTER_SHARE, 1 + REPORT_JITTER_SHARE)
        self._schedule(self._settings.report_s * factor)

    def _switch_controller(self, name: str | None) -> None:
        """Report to another controller: the named one, or else the next in the list."""
        if name in self._settings.controllers and name != self._controller:
            self._controller = str(name)
            self._schedule(self._random.uniform(0.0, MIN_REPORT_GAP_S))
            return
        names = list(self._settings.controllers)
        self._controller = names[(names.index(self._controller) + 1) % len(names)]
        self._schedule(NEXT_CONTROLLER_DELAY_S)

    def _apply_answer(self, body: dict[str, Any], sent_s: float) -> None:
        """Renew the lease and execute the orders of an answer; ignore one with a stale token."""
        token = body.get("baton")
        if not isinstance(token, int) or token < self._token:
            return
        self._lease_start_s = max(self._lease_start_s, sent_s)
        self._raise_token(token)
        self._execute_orders(body.get("orders") or [])

    def _raise_token(self, token: int) -> None:
        if token > self._token:
            self._token = token
            now_s = self._loop.time()
            if now_s - self._last_token_report_s > self._settings.lease_s / 2:
                self._last_token_report_s = now_s
                self._report_soon()

    # commands

    def _serve(self, request: HttpMessage, responder: Responder) -> None:
        """Handle a direct command or an inspection from a controller."""
        if self.ignores_controllers or self.is_terminated:
            return
        self._expire_lease_if_due()
        if self.sends_malformed_answers:
            responder.answer_bytes(200, MALFORMED_BODY)
            return
        if request.method == "GET" and request.target == INSPECT_PATH:
            responder.answer(200, self._build_report())
            return
        body = unpack(request.body)
        if request.target != COMMAND_PATH or not isinstance(body, dict) or "baton" not in body:
            responder.answer(400, {})
            return
        if body["baton"] < self._token or body["shift"] != self._incarnation:
            responder.answer(409, self._build_report())
            return
        self._raise_token(body["baton"])
        self._execute_orders(body["orders"])
        responder.answer(200, self._build_report())

    def _execute_orders(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            task = self._tasks.get(order["piece"])
            is_same = task is not None and task.attempt == order["try"]
            if order["verb"] == "launch":
                if not is_same:
                    self._launch(order["piece"], order["try"], task)
            elif task is None or not is_same:
                continue
            elif order["verb"] == "stop" and task.is_live:
                task.stop(order["wind_down_s"])
                self._report_soon()
            elif order["verb"] == "reap" and not task.is_live:
                del self._tasks[order["piece"]]

    def _launch(self, task_id: str, attempt: int, previous: Task | None) -> None:
        name, _, index = task_id.rpartition("/")
        job = self._shared.workload.jobs.get(name)
        task = Task(task_id, attempt, job, int(index))
        self._report_soon()
        if previous is not None and previous.is_live:
            return
        self._tasks[task_id] = task
        if job is None or task.index >= job.description["pieces"]:
            task.end(Cause.UNKNOWN)
        elif not self._has_room(task):
            task.end(Cause.NO_ROOM)
        elif self.fails_tasks or job.always_fails:
            task.end(Cause.ERROR)
        else:
            if job.is_gang:
                self._shared.gangs.join(task, lambda: not self.is_hung and not self.is_terminated)
            task.fetch_left_s = self._image_fetch_s(job.description)

    def _has_room(self, task: Task) -> bool:
        jobs = [x.job for x in self._tasks.values() if x.is_live and x.job is not None]
        for name in ("cpus", "gpus", "mem_gb"):
            used = sum(x.description[name] for x in jobs)
            if used > self.machine.machine_type[name]:
                return False
        return True

    def _image_fetch_s(self, description: dict[str, Any]) -> float:
        image = description["bundle"]
        if image in self._images:
            return 0.0
        return float(description["size_gb"] / self.machine.machine_type["fetch_gb_per_s"])

    # simulated time

    def _begin_incarnation(self) -> None:
        self._incarnation += 1
        self._tasks.clear()
        self._lease_start_s = self._loop.time()

    def _expire_lease_if_due(self) -> None:
        if self._loop.time() - self._lease_start_s > self._settings.lease_s:
            self._begin_incarnation()
            self._report_soon()

    def step(self) -> None:
        """Advance all tasks by one time step."""
        if self.is_hung or self.is_terminated:
            return
        self._expire_lease_if_due()
        for task in list(self._tasks.values()):
            before = task.state
            self._step_task(task)
            if task.state != before:
                self._report_soon()

    def _step_task(self, task: Task) -> None:
        if task.state == State.FETCHING:
            self._step_fetching(task)
        elif task.state == State.WAITING:
            self._step_waiting(task)
        elif task.state == State.RUNNING:
            self._step_running(task)
        elif task.state == State.SAVING:
            task.save(STEP_S)

    def _step_fetching(self, task: Task) -> None:
        assert task.job is not None
        task.fetch_left_s -= STEP_S
        if task.fetch_left_s <= 0:
            self._images.pop(task.job.description["bundle"], None)
            self._images[task.job.description["bundle"]] = None
            while len(self._images) > MAX_CACHED_IMAGES:
                del self._images[next(iter(self._images))]
            if task.job.is_gang:
                task.state = State.WAITING
            else:
                task.start()

    def _step_waiting(self, task: Task) -> None:
        task.waited_s += STEP_S
        if self._shared.gangs.is_complete(task):
            for member in self._shared.gangs.members(task):
                if member.state == State.WAITING:
                    member.start()
        elif task.waited_s > self._settings.gang_wait_s:
            task.end(Cause.GANG_INCOMPLETE)

    def _step_running(self, task: Task) -> None:
        assert task.job is not None
        if task.job.is_gang and not self._shared.gangs.is_complete(task):
            task.gang_broken_s += STEP_S
            if task.gang_broken_s > self._settings.gang_peer_s:
                task.end(Cause.GANG_BROKEN)
            return
        task.gang_broken_s = 0.0
        if not task.run(STEP_S * self.speed):
            return
        members = self._shared.gangs.members(task) if task.job.is_gang else [task]
        for member in members:
            member.complete()


class SharedState:
    """Network, workload and gangs that all agents of a scenario share."""

    def __init__(self, network: Network, workload: Workload) -> None:
        self.network = network
        self.workload = workload
        self.gangs = Gangs()


class Agents:
    """All agents of a scenario."""

    def __init__(
        self, network: Network, workload: Workload, settings: AgentSettings, seed: str
    ) -> None:
        self._shared = SharedState(network, workload)
        self._loop = network.loop
        self._settings = settings
        self._seed = seed
        self._agents: dict[str, Agent] = {}
        self._step()

    def start(self, machine: Machine) -> None:
        """Start the agent of a machine that has booted."""
        self._agents[machine.name] = Agent(machine, self._settings, self._shared, self._seed)

    def stop(self, machine: Machine) -> None:
        """Terminate the agent of a machine that has stopped; no effect if it has none."""
        if machine.name in self._agents:
            self._agents[machine.name].terminate()

    @property
    def live(self) -> list[Agent]:
        """The agents whose machines have not been terminated."""
        return [agent for agent in self._agents.values() if not agent.is_terminated]

    def _step(self) -> None:
        for agent in self.live:
            agent.step()
        self._loop.call_later(STEP_S, self._step)
