"""Agents: one per machine, each reports to a controller and runs tasks."""

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

#: time for an answer to a report
REPORT_TIMEOUT_S = 4.0
#: pause before the next controller is tried
NEXT_CONTROLLER_DELAY_S = 1.0
#: least time between two reports
MIN_REPORT_GAP_S = 0.5
#: reports come this share earlier or later than their interval
REPORT_JITTER_SHARE = 0.25
#: bounds of the time after which a machine that restarts reports
RESTART_BOUNDS_S = (0.05, 0.5)
#: images that a machine keeps
MAX_CACHED_IMAGES = 3
REPORT_PATH, COMMAND_PATH, INSPECT_PATH = "/v1/report", "/do", "/inspect"
MALFORMED_BODY = b"\xc1"
#: a faulty machine runs this much slower
SLOW_SPEED_FACTOR = 0.15


@dataclass(frozen=True)
class AgentSettings:
    """What all agents know."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    #: controllers by name
    controllers: dict[str, Address]


class Agent:
    """The agent of one machine."""

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
        #: answers and commands have no effect on it; it stays with its controller
        self.ignores_controllers = False
        #: its reports do not leave
        self.suppresses_reports = False
        #: every task that starts on it fails
        self.fails_tasks = False
        #: what it answers to commands and questions is malformed
        self.sends_malformed_answers = False
        #: share of the reports of which a copy arrives late, at any controller
        self.late_copy_share = 0.0
        self._network.listen(
            (machine.host.address, AGENT_PORT), lambda: ServiceConnection(self._serve)
        )

    # troubles

    def hang(self) -> None:
        """Stop executing anything until :meth:`resume`."""
        self.is_hung = True
        self._network.freeze(self.machine.host)

    def resume(self) -> None:
        """Go on, with all that has arrived meanwhile."""
        if self.is_hung and not self.is_terminated:
            self.is_hung = False
            self._network.unfreeze(self.machine.host)
            self._expire_lease()
            self._schedule(0.0)

    def restart(self) -> None:
        """Lose everything and be back within a fraction of a second."""
        self._begin_incarnation()
        self._schedule(self._random.uniform(*RESTART_BOUNDS_S))

    def announce_reclaim(self, notice_s: float) -> None:
        """The cloud is about to take the machine."""
        self._reclaim_at_s = self._loop.time() + notice_s
        self._report_soon()

    def terminate(self) -> None:
        """The machine is gone, with everything on it."""
        self.is_terminated = True
        self._timer.cancel()
        self._tasks.clear()
        self._network.remove_host(self.machine.host)

    # reports

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
        """Report after a pause, or earlier if that is planned already."""
        when_s = self._loop.time() + pause_s
        if self._timer.cancelled() or self._timer.when() > when_s or self._is_timer_past:
            self._timer.cancel()
            self._timer = self._loop.call_at(when_s, self._report)

    @property
    def _is_timer_past(self) -> bool:
        return self._timer.when() <= self._loop.time()

    def _report_soon(self) -> None:
        """Something that is reported has changed."""
        if not self._caller.is_busy:
            since_s = self._loop.time() - self._last_report_s
            self._schedule(max(0.0, MIN_REPORT_GAP_S - since_s))

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
        """Report to another controller: the one that was named, or the next."""
        if name in self._settings.controllers and name != self._controller:
            self._controller = str(name)
            self._schedule(self._random.uniform(0.0, MIN_REPORT_GAP_S))
            return
        names = list(self._settings.controllers)
        self._controller = names[(names.index(self._controller) + 1) % len(names)]
        self._schedule(NEXT_CONTROLLER_DELAY_S)

    def _apply_answer(self, body: dict[str, Any], sent_s: float) -> None:
        """Follow an answer to a report, unless its token is too low."""
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
        """A direct command or question of a controller."""
        if self.ignores_controllers or self.is_terminated:
            return
        self._expire_lease()
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

    # the passing of time

    def _begin_incarnation(self) -> None:
        self._incarnation += 1
        self._tasks.clear()
        self._lease_start_s = self._loop.time()

    def _expire_lease(self) -> None:
        if self._loop.time() - self._lease_start_s > self._settings.lease_s:
            self._begin_incarnation()
            self._report_soon()

    def step(self) -> None:
        """Let a step of time pass for all tasks."""
        if self.is_hung or self.is_terminated:
            return
        self._expire_lease()
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
    """What all agents of a scenario share."""

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
        """A machine is up."""
        self._agents[machine.name] = Agent(machine, self._settings, self._shared, self._seed)

    def stop(self, machine: Machine) -> None:
        """A machine is gone."""
        if machine.name in self._agents:
            self._agents[machine.name].terminate()

    @property
    def live(self) -> list[Agent]:
        """The agents whose machines are there."""
        return [agent for agent in self._agents.values() if not agent.is_terminated]

    def _step(self) -> None:
        for agent in self.live:
            agent.step()
        self._loop.call_later(STEP_S, self._step)
