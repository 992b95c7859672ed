"""A machine of the simulated deployment, with its worker and its tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marblestair.core.domain.model import GANG, Heartbeat, MachineType, TaskCommand, TaskStatus

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

    def __init__(self, world: World, name: str, t: MachineType, zone: str, spot: bool) -> None:
        self.world = world
        self.name, self.type, self.zone, self.spot = name, t, zone, spot
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
        return {k: t for k, t in self.tasks.items() if t.state != "exited"}

    def boot(self) -> None:
        if self.deleted:
            return
        self.up = True
        self.renewed = self.world.now
        self.step()
        self.report()

    def body(self) -> Heartbeat:
        self.seq += 1
        tasks = [TaskStatus(t.job, t.index, t.attempt, t.state, t.why) for t in self.tasks.values()]
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
        w = self.world
        if self.deleted:
            return
        if self.hung:
            w.at(0.5, self.report)
            return
        rep, sent, session = self.body(), w.now, self.session
        self.waiting_for += 1
        ticket = self.waiting_for
        node = w.node_names[self.target % len(w.node_names)]

        def answered(status: int, token: int, orders: list[TaskCommand], to: str | None) -> None:
            if self.deleted or ticket != self.waiting_for:
                return
            self.waiting_for += 1
            if self.hung:
                w.at(0.5, self.report)
                return
            if status == 200:
                if session == self.session and token >= self.token:
                    self.token = token
                    self.renewed = max(self.renewed, sent)
                    self.obey(orders)
                w.at(w.rng.uniform(0.75, 1.25), self.report)
            elif status == 421 and to in w.node_names and to != node:
                self.target = w.node_names.index(to)
                w.at(w.rng.uniform(0.0, 0.5), self.report)
            else:
                self.target += 1
                w.at(1.0, self.report)

        def timeout() -> None:
            if not self.deleted and ticket == self.waiting_for:
                self.waiting_for += 1
                self.target += 1
                w.at(1.0, self.report)

        w.at(4.0, timeout)
        w.send_report(node, rep, answered)

    def direct(self, token: int, session: int, orders: list[TaskCommand]) -> None:
        """A direct command, perhaps late."""
        if self.deleted or not self.up:
            return
        if self.hung:
            self.world.at(0.5, lambda: self.direct(token, session, orders))
            return
        self.expire()
        if token < self.token or session != self.session:
            return
        self.token = token
        assert all(o.verb != "start" for o in orders), "a launch by direct command"
        self.obey(orders)

    def obey(self, orders: list[TaskCommand]) -> None:
        for o in orders:
            key = (o.job, o.index)
            t = self.tasks.get(key)
            if o.verb == "start":
                if t is not None and t.attempt == o.attempt:
                    continue
                self.start(o, t)
            elif o.verb == "stop":
                if t is not None and t.attempt == o.attempt and t.state != "exited":
                    t.state, t.why = "exited", "stopped"
            elif t is not None and t.attempt == o.attempt and t.state == "exited":
                del self.tasks[key]

    def start(self, o: TaskCommand, old: FakeTask | None) -> None:
        w = self.world
        key = (o.job, o.index)
        t = FakeTask(o.job, o.index, o.attempt)
        s = w.specs[o.job]
        need = s.resources
        free = [
            a - sum(w.specs[x.job].resources[i] for x in self.live.values())
            for i, a in enumerate(self.type.capacity)
        ]
        if old is not None and old.state != "exited":
            return
        self.tasks[key] = t
        w.holders.setdefault(o.job, {})[self.name] = self
        if any(n > f for n, f in zip(need, free, strict=True)):
            t.state, t.why = "exited", "no_room"
            return
        if self.fails or s.job_class == "bad":
            t.state, t.why = "exited", "error"
            return
        w.check_start(self, t)
        t.left = 0.2 if key in w.results else w.durations.get(key) or w.run_s(s)
        t.fetch = w.fetch_s

    def expire(self) -> None:
        w = self.world
        if w.now - self.renewed > w.lease_s:
            self.tasks = {}
            self.session += 1
            self.renewed = w.now
            self.waiting_for += 1
            w.at(0.1, self.report)

    def back_at_once(self) -> None:
        """The machine restarts within a fraction of a second: a new session, nothing on it."""
        self.tasks = {}
        self.session += 1
        self.renewed = self.world.now
        self.waiting_for += 1
        self.world.at(self.world.rng.uniform(0.05, 0.5), self.report)

    def step(self) -> None:
        """A quarter of a second passes."""
        w = self.world
        if self.deleted:
            return
        w.at(0.25, self.step)
        if self.hung:
            if w.now - self.renewed > w.lease_s:
                self.tasks = {}
            return
        self.expire()
        for t in list(self.tasks.values()):
            if t.state == "fetching":
                self._fetch(t)
            elif t.state == "waiting":
                self._wait(t)
            elif t.state == "running":
                self._run(t)

    def _fetch(self, t: FakeTask) -> None:
        """A task waits for its image."""
        if t.fetch > 0.0:
            t.fetch -= 0.25
        else:
            t.state = "waiting" if self.world.specs[t.job].kind == GANG else "running"

    def _wait(self, t: FakeTask) -> None:
        """A gang's task waits for the others."""
        w = self.world
        t.waited += 0.25
        gang = w.gang(t)
        if len(gang) == w.specs[t.job].task_count and all(x.state == "waiting" for _, x in gang):
            for _, x in gang:
                x.state = "running"
        elif t.waited > w.settings[0].cluster.workers.gang_wait_s:
            t.state, t.why = "exited", "alone"

    def _run(self, t: FakeTask) -> None:
        """A task runs, unless its gang is not whole."""
        w = self.world
        s = w.specs[t.job]
        gang = w.gang(t) if s.kind == GANG else []
        if s.kind == GANG and (len(gang) < s.task_count or any(m.hung for m, _ in gang)):
            t.waited += 0.25
            if t.waited > w.settings[0].cluster.workers.gang_peer_s:
                t.state, t.why = "exited", "peers"
            return
        t.waited = 0.0
        t.left -= 0.25
        if t.left <= 0:
            for x in [x for _, x in gang] or [t]:
                x.state, x.why = "exited", "done"
                w.results.add((x.job, x.index))
                w.done_at[x.job] = w.now
