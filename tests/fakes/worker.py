"""A machine of the simulated deployment, with its worker and its tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marblestair.core.domain.agents import Heartbeat, TaskCommand, TaskStatus
from marblestair.core.domain.jobs import JobKind
from marblestair.core.domain.machines import MachineType

if TYPE_CHECKING:
    from tests.fakes.world import World


class FakeTask:
    """A task on a worker."""

    def __init__(self, job: str, index: int, attempt: int) -> None:
        self.job, self.index, self.attempt = job, index, attempt
        self.state = "fetching"
        self.why = ""
        self.left = 0.0
        self.fetch = 0.0
        self.waited = 0.0


class Worker:
    """One machine, its worker and its cloud entry."""

    def __init__(
        self, world: World, name: str, machine_type: MachineType, zone: str, spot: bool
    ) -> None:
        self.world = world
        self.name, self.type, self.zone, self.spot = name, machine_type, zone, spot
        self.rented = world.now
        self.up = False
        self.deleted = False
        self.hung = False
        #: reports arrive, but answers and commands do not
        self.deaf = False
        #: reports do not leave, while direct commands arrive
        self.mute = False
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], FakeTask] = {}
        self.renewed = 0.0
        self.target = 0
        self.waiting_for = 0
        self.notice: float | None = None
        self.fails = False

    @property
    def live(self) -> dict[tuple[str, int], FakeTask]:
        return {k: task for k, task in self.tasks.items() if task.state != "exited"}

    def boot(self) -> None:
        if self.deleted:
            return
        self.up = True
        self.renewed = self.world.now
        self.step()
        self.report()

    def body(self) -> Heartbeat:
        self.seq += 1
        tasks = [
            TaskStatus(task.job, task.index, task.attempt, task.state, task.why)
            for task in self.tasks.values()
        ]
        left = None if self.notice is None else max(0.0, self.notice - self.world.now)
        return Heartbeat(
            self.name,
            f"{self.name}:9000",
            self.type.name,
            self.zone,
            self.spot,
            self.session,
            self.seq,
            self.token,
            left,
            tasks,
        )

    def report(self) -> None:
        world = self.world
        if self.deleted:
            return
        if self.hung:
            world.at(0.5, self.report)
            return
        heartbeat, sent, session = self.body(), world.now, self.session
        self.waiting_for += 1
        ticket = self.waiting_for
        node = world.node_names[self.target % len(world.node_names)]

        def answered(status: int, token: int, commands: list[TaskCommand], to: str | None) -> None:
            if self.deleted or ticket != self.waiting_for:
                return
            self.waiting_for += 1
            if self.hung:
                world.at(0.5, self.report)
                return
            if status == 200:
                if session == self.session and token >= self.token:
                    self.token = token
                    self.renewed = max(self.renewed, sent)
                    self.obey(commands)
                world.at(world.rng.uniform(0.75, 1.25), self.report)
            elif status == 421 and to in world.node_names and to != node:
                self.target = world.node_names.index(to)
                world.at(world.rng.uniform(0.0, 0.5), self.report)
            else:
                self.target += 1
                world.at(1.0, self.report)

        def timeout() -> None:
            if not self.deleted and ticket == self.waiting_for:
                self.waiting_for += 1
                self.target += 1
                world.at(1.0, self.report)

        world.at(4.0, timeout)
        world.send_report(node, heartbeat, answered)

    def direct(self, token: int, session: int, commands: list[TaskCommand]) -> None:
        """A direct command, perhaps late."""
        if self.deleted or not self.up:
            return
        if self.hung:
            self.world.at(0.5, lambda: self.direct(token, session, commands))
            return
        self.expire()
        if token < self.token or session != self.session:
            return
        self.token = token
        assert all(command.verb != "start" for command in commands), "a launch by direct command"
        self.obey(commands)

    def obey(self, commands: list[TaskCommand]) -> None:
        for command in commands:
            key = (command.job, command.index)
            task = self.tasks.get(key)
            if command.verb == "start":
                if task is not None and task.attempt == command.attempt:
                    continue
                self.start(command, task)
            elif command.verb == "stop":
                if task is not None and task.attempt == command.attempt and task.state != "exited":
                    task.state, task.why = "exited", "stopped"
            elif task is not None and task.attempt == command.attempt and task.state == "exited":
                del self.tasks[key]

    def start(self, command: TaskCommand, old: FakeTask | None) -> None:
        world = self.world
        key = (command.job, command.index)
        t = FakeTask(command.job, command.index, command.attempt)
        spec = world.specs[command.job]
        need = spec.resources
        free = [
            a - sum(world.specs[x.job].resources[i] for x in self.live.values())
            for i, a in enumerate(self.type.capacity)
        ]
        if old is not None and old.state != "exited":
            return
        self.tasks[key] = t
        world.holders.setdefault(command.job, {})[self.name] = self
        if any(n > f for n, f in zip(need, free, strict=True)):
            t.state, t.why = "exited", "no_room"
            return
        if self.fails or spec.job_class == "bad":
            t.state, t.why = "exited", "error"
            return
        world.check_start(self, t)
        t.left = 0.2 if key in world.results else world.durations.get(key) or world.run_s(spec)
        t.fetch = world.fetch_s

    def expire(self) -> None:
        world = self.world
        if world.now - self.renewed > world.lease_s:
            self.tasks = {}
            self.session += 1
            self.renewed = world.now
            self.waiting_for += 1
            world.at(0.1, self.report)

    def back_at_once(self) -> None:
        """The machine restarts within a fraction of a second: a new session, nothing on it."""
        self.tasks = {}
        self.session += 1
        self.renewed = self.world.now
        self.waiting_for += 1
        self.world.at(self.world.rng.uniform(0.05, 0.5), self.report)

    def step(self) -> None:
        """A quarter of a second passes."""
        world = self.world
        if self.deleted:
            return
        world.at(0.25, self.step)
        if self.hung:
            if world.now - self.renewed > world.lease_s:
                self.tasks = {}
            return
        self.expire()
        for task in list(self.tasks.values()):
            if task.state == "fetching":
                self._fetch(task)
            elif task.state == "waiting":
                self._wait(task)
            elif task.state == "running":
                self._run(task)

    def _fetch(self, task: FakeTask) -> None:
        """A task waits for its image."""
        if task.fetch > 0.0:
            task.fetch -= 0.25
        else:
            task.state = "waiting" if self.world.specs[task.job].kind == JobKind.GANG else "running"

    def _wait(self, t: FakeTask) -> None:
        """A gang's task waits for the others."""
        world = self.world
        t.waited += 0.25
        gang = world.gang(t)
        if len(gang) == world.specs[t.job].task_count and all(
            x.state == "waiting" for _, x in gang
        ):
            for _, x in gang:
                x.state = "running"
        elif t.waited > world.settings[0].cluster.workers.gang_wait_s:
            t.state, t.why = "exited", "alone"

    def _run(self, t: FakeTask) -> None:
        """A task runs, unless its gang is not whole."""
        world = self.world
        spec = world.specs[t.job]
        gang = world.gang(t) if spec.kind == JobKind.GANG else []
        if spec.kind == JobKind.GANG and (
            len(gang) < spec.task_count or any(worker.hung for worker, _ in gang)
        ):
            t.waited += 0.25
            if t.waited > world.settings[0].cluster.workers.gang_peer_s:
                t.state, t.why = "exited", "peers"
            return
        t.waited = 0.0
        t.left -= 0.25
        if t.left <= 0:
            for x in [x for _, x in gang] or [t]:
                x.state, x.why = "exited", "done"
                world.results.add((x.job, x.index))
                world.done_at[x.job] = world.now
