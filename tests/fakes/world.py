"""A simulated deployment: controllers' cores, state service, cloud, workers and users.

Time is simulated and every choice comes from one seeded generator, so a story repeats exactly.
The world checks the users' rules at every step: ``broken`` lists what it saw.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from marblestair import settings as st
from marblestair.core.calls import (
    NOT_SENT,
    CloudDelete,
    CloudList,
    CloudRent,
    CloudResult,
    CloudTypes,
    Commit,
    Inspect,
    Listed,
    PeerCall,
    StateResult,
    Watch,
)
from marblestair.core.controller import Controller
from marblestair.core.model import GANG, JobSpec, MachineType, Order, Report, TaskReport
from tests.fakes.state import FakeState

EPOCH = 1_000_000.0


def spec(n: int, **changes: Any) -> JobSpec:
    """A small job, with changes."""
    base: dict[str, Any] = dict(
        id=f"job-{n:06d}",
        cls="c",
        team="red",
        kind="array",
        priority="normal",
        tasks=6,
        cpus=1.0,
        gpus=0.0,
        mem_gb=1.0,
        image="img",
        image_gb=0.1,
        types=None,
        zone=None,
        one_zone=False,
        spread=False,
        spot=False,
        estimate_s=5.0,
        checkpoint_s=0.0,
        save_s=0.0,
        deadline_s=None,
    )
    base.update(changes)
    return JobSpec(**base)


def settings(me: int, n: int = 3, **cluster: Any) -> st.Settings:
    """Settings of one node of a small deployment."""
    names = [f"n{i}" for i in range(n)]
    base: dict[str, Any] = dict(
        size=n,
        zones=["a"],
        skew_ms=100.0,
        teams=[
            dict(name="red", cpus=8.0, cpus_max=24.0, gpus=0.0, gpus_max=0.0),
            dict(name="blue", cpus=8.0, cpus_max=12.0, gpus=0.0, gpus_max=0.0),
        ],
        objectives=[],
        workers=dict(report_s=1.0, lease_s=10.0, gang_wait_s=30.0, gang_peer_s=5.0, cancel_s=30.0),
        state=dict(rps=100.0, write_rps=40.0, value_kb=16.0, txn_ops=16),
        cloud=dict(rps=10.0, list_lag_s=5.0),
        machine_limits=dict(core_share=0.3, mem_mb=100.0, sockets=500.0),
    )
    base.update(cluster)
    return st.parse(
        dict(
            node=names[me],
            public_addr=f"10.0.0.{me + 1}:8080",
            cluster_listen=f"10.0.0.{me + 1}:8081",
            others=[
                dict(node=x, address=f"10.0.0.{i + 1}:8081") for i, x in enumerate(names) if i != me
            ],
            external=dict(cloud="10.2.0.2:1", state="10.2.0.1:1"),
            cluster=base,
        )
    )


TYPES = [
    MachineType("t4", 4.0, 0.0, 16.0, 50.0, 1.0, 0.4, 0.15, 5.0, ["a", "b"]),
    MachineType("t8", 8.0, 0.0, 32.0, 50.0, 1.0, 0.8, 0.3, 5.0, ["a", "b"]),
]


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

    def body(self) -> Report:
        self.seq += 1
        tasks = [TaskReport(t.job, t.index, t.attempt, t.state, t.why) for t in self.tasks.values()]
        left = None if self.notice is None else max(0.0, self.notice - self.world.now)
        return Report(
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

        def answered(status: int, token: int, orders: list[Order], to: str | None) -> None:
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

    def direct(self, token: int, session: int, orders: list[Order]) -> None:
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
        assert all(o.op != "start" for o in orders), "a launch by direct command"
        self.obey(orders)

    def obey(self, orders: list[Order]) -> None:
        for o in orders:
            key = (o.job, o.index)
            t = self.tasks.get(key)
            if o.op == "start":
                if t is not None and t.attempt == o.attempt:
                    continue
                self.start(o, t)
            elif o.op == "stop":
                if t is not None and t.attempt == o.attempt and t.state != "exited":
                    t.state, t.why = "exited", "stopped"
            elif t is not None and t.attempt == o.attempt and t.state == "exited":
                del self.tasks[key]

    def start(self, o: Order, old: FakeTask | None) -> None:
        w = self.world
        key = (o.job, o.index)
        t = FakeTask(o.job, o.index, o.attempt)
        s = w.specs[o.job]
        need = s.need
        free = [
            a - sum(w.specs[x.job].need[i] for x in self.live.values())
            for i, a in enumerate(self.type.size)
        ]
        if old is not None and old.state != "exited":
            return
        self.tasks[key] = t
        w.holders.setdefault(o.job, {})[self.name] = self
        if any(n > f for n, f in zip(need, free, strict=True)):
            t.state, t.why = "exited", "no_room"
            return
        if self.fails or s.cls == "bad":
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
            s = w.specs[t.job]
            if t.state == "fetching" and t.fetch > 0.0:
                t.fetch -= 0.25
            elif t.state == "fetching":
                t.state = "waiting" if s.kind == GANG else "running"
            elif t.state == "waiting":
                t.waited += 0.25
                gang = w.gang(t)
                if len(gang) == s.tasks and all(x.state == "waiting" for _, x in gang):
                    for _, x in gang:
                        x.state = "running"
                elif t.waited > w.settings[0].cluster.workers.gang_wait_s:
                    t.state, t.why = "exited", "alone"
            elif t.state == "running":
                gang = w.gang(t) if s.kind == GANG else []
                if s.kind == GANG and (len(gang) < s.tasks or any(m.hung for m, _ in gang)):
                    t.waited += 0.25
                    if t.waited > w.settings[0].cluster.workers.gang_peer_s:
                        t.state, t.why = "exited", "peers"
                    continue
                t.waited = 0.0
                t.left -= 0.25
                if t.left <= 0:
                    for x in [x for _, x in gang] or [t]:
                        x.state, x.why = "exited", "done"
                        w.results.add((x.job, x.index))


class World:
    """Everything around the controllers, and the checks."""

    def __init__(self, seed: int = 1, nodes: int = 3, **cluster: Any) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self.node_names = [f"n{i}" for i in range(nodes)]
        self.settings = [settings(i, nodes, **cluster) for i in range(nodes)]
        self.lease_s = self.settings[0].cluster.workers.lease_s
        self.cancel_s = self.settings[0].cluster.workers.cancel_s
        self.state = FakeState()
        limits = self.settings[0].cluster.state
        self.state.value_limit = int(limits.value_kb * 1024)
        self.state.ops_limit = limits.txn_ops
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
        self.broken: list[str] = []
        self.accepted: dict[str, float] = {}
        self.told: dict[str, str] = {}
        #: job -> the final state that a user was told first, and the place of that answer in the
        #: order of all requests and such answers
        self.final_told: dict[str, tuple[str, int]] = {}
        self.cancel_told: dict[str, float] = {}
        self.cancel_asked: set[str] = set()
        self.starts: list[tuple[float, str, int, str, int]] = []
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
        #: since when the troubles are over, as the story says; what waits is judged from then on
        self.quiet_since: float | None = None
        #: job -> since when it has waited beside room
        self._beside: dict[str, float] = {}
        #: how much later a commit of a node is carried out, unanswered; None: at once
        self.late: Callable[[str, Commit], float | None] = lambda node, commit: None
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
        i = self.node_names.index(name)
        core = Controller(
            self.settings[i],
            self.rng.getrandbits(50),
            random.Random(self.rng.getrandbits(32)),
            self.now * self.drift[name] + 100 * i,
            EPOCH + self.now,
        )
        self.cores[name] = core
        core.start()
        self.flush(name)
        self._tick(name, core)

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

    def _tick(self, name: str, core: Controller) -> None:
        if self.cores[name] is not core:
            return
        if self.asleep(name, lambda: self._tick(name, core)):
            return
        self.set_time(core)
        core.tick()
        self.flush(name)
        self.at(0.2, lambda: self._tick(name, core))

    def set_time(self, core: Controller) -> None:
        i = self.node_names.index(core.node)
        core.set_time(self.now * self.drift[core.node] + 100 * i, EPOCH + self.now)

    def flush(self, name: str) -> None:
        core = self.cores[name]
        if core is None:
            return
        if self.asleep(name, lambda: self.flush(name)):
            return
        while core.runner.calls:
            calls, core.runner.calls = core.runner.calls, []
            for n, call in calls:
                self._point("call", name, call)
                if not self.asleep(name, lambda n=n, call=call: self._call_late(core, n, call)):
                    self._call(core, n, call)
        for r in core.replies:
            done = self._waiters.pop(r.request, None)
            if done is not None:
                done(r)
        core.replies = []
        for c in core.commands:
            worker = self.workers.get(c.addr.split(":")[0])
            if worker is not None:
                args = (c.token, c.session, c.orders)
                if not worker.deaf:
                    self.send(name, worker.name, lambda w=worker, a=args: w.direct(*a))
        core.commands = []
        for note in [n for n in core.notes if n.tag not in self.lost]:
            self.send(name, note.node, lambda n=note: self._note(name, n))
        core.notes = []
        for n, value in core.peer_replies:
            done = self._waiters.pop(n, None)
            if done is not None:
                self._point("reply", name, (self._tags.pop(n, ""), value))
                if not self.asleep(name, lambda done=done, value=value: done(value)):
                    done(value)
        core.peer_replies = []
        errors = [t for level, t in core.lines if level == "error"]
        assert not errors, errors
        core.lines = []

    def _point(self, what: str, node: str, value: Any) -> None:
        if self.on_point is not None:
            self.on_point(what, node, value)

    def _call_late(self, core: Controller, n: int, call: Any) -> None:
        """A call that was made before a pause and is sent after it."""
        if self.cores.get(core.node) is core:
            self._call(core, n, call)

    def _note(self, sender: str, n: Any) -> None:
        if self.asleep(n.node, lambda: self._note(sender, n)):
            return
        core = self.cores.get(n.node)
        if core is not None:
            self.set_time(core)
            core.note(sender, n.tag, n.args)
            self.flush(n.node)

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

    def _complete(self, core: Controller, n: int, result: Any) -> None:
        if self.asleep(core.node, lambda: self._complete(core, n, result)):
            return
        if self.cores.get(core.node) is core:
            self.set_time(core)
            core.complete(n, result)
            self.flush(core.node)

    def _call(self, core: Controller, n: int, call: Any) -> None:
        name = core.node
        answered = [False]

        def answer(result: Any) -> None:
            if not answered[0]:
                answered[0] = True
                self._complete(core, n, result)

        if isinstance(call, PeerCall):
            self.at(call.timeout_s, lambda: answer(None))
            if call.tag in self.lost:
                return

            def deliver() -> None:
                if self.asleep(call.node, deliver):
                    return
                peer = self.cores.get(call.node)
                if peer is None:
                    return
                ask = next(self._ids)
                self._waiters[ask] = lambda v: self.send(call.node, name, lambda: answer(v))
                self._tags[ask] = call.tag
                self.set_time(peer)
                peer.peer_request(ask, name, call.tag, call.args)
                self.flush(call.node)

            self.send(name, call.node, deliver)
            return
        if isinstance(call, Inspect):
            self.at(1.5, lambda: answer(None))
            seen = self.workers.get(call.addr.split(":")[0])
            if seen is not None:

                def look(m: Worker) -> None:
                    if m.up and not m.deleted and not m.hung and not m.deaf:
                        rep = m.body()
                        self.send(m.name, name, lambda: answer(rep))

                self.send(name, seen.name, lambda: look(seen))
            return
        if isinstance(call, (CloudTypes, CloudRent, CloudDelete, CloudList)):
            self.at(4.0, lambda: answer(CloudResult(0)))
            self.send(
                name,
                "cloud",
                lambda: (lambda r: self.send("cloud", name, lambda: answer(r)))(self.cloud(call)),
            )
            return
        if isinstance(call, Watch):
            self.at(call.wait_ms / 1000 + 1.2, lambda: answer(StateResult(0)))
            end = self.now + call.wait_ms / 1000

            def poll() -> None:
                if answered[0]:
                    return
                down = self.state.down or name in self.state.refused_nodes
                if not down:
                    r = self.state.changes(call.prefix, call.rev)
                    if r.events or r.status != 200 or self.now >= end:
                        lag = self.watch_lag.get(name, 0.0)
                        self.at(lag, lambda: self.send("state", name, lambda: answer(r)))
                        return
                self.at(0.02, poll)

            self.send(name, "state", poll)
            return
        self.at(1.2, lambda: answer(StateResult(0)))
        order = (core.incarnation, n)

        def execute() -> None:
            late = self.late(name, call) if isinstance(call, Commit) else None
            if isinstance(call, Commit) and self.rng.random() < self.late_commits:
                late = self.rng.uniform(0.5, 20.0)
            if late is not None:
                self.at(late, lambda: self.state.execute(call, name, self.now, order))
                return
            r = self.state.execute(call, name, self.now, order)
            if self.rng.random() < self.lose_answers:
                return
            delay = self.answer_late(name, call) or 0.0
            self.at(delay, lambda: self.send("state", name, lambda: answer(r)))

        if frozenset((name, "state")) in self.cut:
            self.at(0.3, lambda: answer(StateResult(NOT_SENT)))
        elif self.state_slow:
            late = self.rng.uniform(0.5, 1.5) * self.state_slow
            self.at(late, lambda: self.send(name, "state", execute))
        else:
            self.send(name, "state", execute)

    def cloud(self, call: Any) -> CloudResult:
        """The cloud's side."""
        if self.cloud_down:
            return CloudResult(503)
        if isinstance(call, CloudTypes):
            return CloudResult(200, types=self.types)
        if isinstance(call, CloudRent):
            if call.name not in self.hires:
                alive = sum(1 for m in self.workers.values() if not m.deleted)
                n = min(call.count, self.capacity - alive)
                if n <= 0:
                    return CloudResult(503, no_capacity=True)
                names = []
                t = next(x for x in self.types if x.name == call.type)
                for _ in range(n):
                    m = Worker(self, f"host-{len(self.workers):06d}", t, call.zone, call.spot)
                    self.workers[m.name] = m
                    names.append(m.name)
                    self.at(self.rng.uniform(0.6, 1.5) * t.boot_s, m.boot)
                self.hires[call.name] = names
            return CloudResult(200, machines=self.hires[call.name])
        if isinstance(call, CloudDelete):
            for name in call.machines:
                if name in self.workers:
                    self.workers[name].deleted = True
                    self.workers[name].tasks = {}
            return CloudResult(200)
        lag = 5.0
        listed = [
            Listed(
                m.name,
                f"{m.name}:9000",
                m.type.name,
                m.zone,
                m.spot,
                "running",
                self.now - m.rented,
            )
            for m in self.workers.values()
            if not m.deleted and m.rented < self.now - lag
        ]
        return CloudResult(200, listed=listed)

    def send_report(self, node: str, rep: Report, answered: Callable[..., None]) -> None:
        def deliver() -> None:
            if self.asleep(node, deliver):
                return
            core = self.cores.get(node)
            if core is None:
                # The connection is refused, and the worker turns to the next node.
                self.at(0.001, lambda: answered(0, 0, [], None))
                return
            self.set_time(core)
            result = core.report(rep)
            self.flush(node)
            self._point("answer", node, result)
            for o in result[2]:
                if o.op == "start" and o.job in self.cancel_told:
                    self.broken.append(f"started_cancelled: {o.job} by {node}")

            def answer() -> None:
                if not self.asleep(node, answer) and not self.workers[rep.machine].deaf:
                    self.send(node, rep.machine, lambda: answered(*result))

            answer()

        if self.workers[rep.machine].mute:
            return
        self.send(rep.machine, node, deliver)
        if self.copies and self.rng.random() < self.copies:
            # A copy of the report comes late, at any node; nobody waits for its answer.
            other = self.rng.choice(self.node_names)
            self.at(self.rng.uniform(2.0, 3.5 * self.lease_s), lambda: self._copy(other, rep))

    def _copy(self, node: str, rep: Report) -> None:
        if self.asleep(node, lambda: self._copy(node, rep)):
            return
        core = self.cores.get(node)
        if core is not None:
            self.set_time(core)
            core.report(rep)
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
        for m in self.workers.values():
            m.hung = m.deaf = m.mute = False
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
        core = self.cores.get(node)
        if core is None:
            return out
        n = next(self._ids)

        def done(r: Any) -> None:
            out.append(r)
            self._judge(what, arg, r, n)

        self._waiters[n] = done

        def deliver() -> None:
            if self.cores.get(node) is core and not self.asleep(node, deliver):
                self.set_time(core)
                core.spawn(getattr(core.requests, what)(n, arg))
                self.flush(node)

        deliver()
        return out

    def _judge(self, what: str, arg: Any, r: Any, begun: int | None = None) -> None:
        """Judge an answer to a request that began at a place in the order of all requests."""
        if begun is None:
            begun = next(self._ids)
        job = arg.id if what == "submit" else arg
        if what == "submit":
            if r.status in (200, 201):
                self.accepted.setdefault(job, self.now)
            elif r.status in (400, 422) and job in self.accepted:
                self.broken.append(f"forgotten: {job} refused with {r.status}")
        if r.status == 404 and job in self.accepted:
            self.broken.append(f"forgotten: {job} answered 404")
        if r.status in (200, 201):
            if job not in self.specs:
                self.broken.append(f"invented: {job}")
                return
            self._judge_order(job, r.state, begun)
            if r.state == "cancelled" and job not in self.cancel_asked:
                self.broken.append(f"went_back: {job} cancelled by nobody")
            if r.state == "done":
                missing = [i for i in range(self.specs[job].tasks) if (job, i) not in self.results]
                if missing:
                    self.broken.append(f"not_done: {job} lacks {missing}")
            if r.state == "cancelled":
                self.cancel_told.setdefault(job, self.now)
            self.told[job] = r.state

    def _judge_order(self, job: str, state: str, begun: int) -> None:
        """Judge that no answer goes back.

        What began before a final state was told may be answered with what was true when it
        began; two final states may never differ.
        """
        final, since = self.final_told.get(job, ("", 0))
        is_final = state in ("done", "cancelled")
        if final and state != final and (begun > since or is_final):
            self.broken.append(f"went_back: {job} from {final} to {state}")
        if is_final and not final:
            self.final_told[job] = (state, next(self._ids))

    def submit(self, s: JobSpec, node: str | None = None) -> str:
        """Submit as a user does, with retries, until accepted or refused for good."""
        self.specs[s.id] = s
        for _ in range(40):
            up = [x for x in self.node_names if self.cores[x] is not None]
            out = self.ask(node or self.rng.choice(up or self.node_names), "submit", s)
            self.until(lambda o=out: bool(o), 5.0)
            if out and out[0].status in (200, 201, 400, 422):
                return s.id
            self.run(1.0)
        raise AssertionError(f"{s.id} was not accepted")

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

    # --- rules -----------------------------------------------------------------------------

    def run_s(self, s: JobSpec) -> float:
        return s.estimate_s if s.kind == GANG else s.estimate_s * self.rng.uniform(0.5, 1.5)

    def gang(self, t: FakeTask) -> list[tuple[Worker, FakeTask]]:
        """The members of a task's gang that are there, of the same attempt."""
        return [
            (m, x)
            for m in self.holders.get(t.job, {}).values()
            if not m.deleted
            for x in m.tasks.values()
            if x.job == t.job and x.attempt == t.attempt and x.state in ("waiting", "running")
        ]

    def check_start(self, m: Worker, t: FakeTask) -> None:
        """The rules that concern a start."""
        self.starts.append((self.now, t.job, t.index, m.name, t.attempt))
        s = self.specs[t.job]
        for other in self.holders.get(t.job, {}).values():
            x = other.tasks.get((t.job, t.index))
            if x is not None and x is not t and x.state != "exited" and not other.deleted:
                self.broken.append(f"ran_twice: {t.job}/{t.index} on {m.name} and {other.name}")
        if (s.types is not None and m.type.name not in s.types) or (
            s.zone is not None and m.zone != s.zone
        ):
            self.broken.append(f"wrong_place: {t.job} on {m.name}")
        if m.spot and not s.spot:
            self.broken.append(f"wrong_place: {t.job} on spot {m.name}")
        zones = [
            x.zone
            for x in self.holders.get(t.job, {}).values()
            if not x.deleted
            for y in x.live.values()
            if y.job == t.job
        ]
        if s.one_zone and len(set(zones)) > 1:
            self.broken.append(f"wrong_place: {t.job} in {set(zones)}")
        if s.spread and zones.count(m.zone) > (s.tasks + 1) // 2:
            self.broken.append(f"wrong_place: {t.job} has too many in {m.zone}")
        told = self.cancel_told.get(t.job)
        if told is not None and self.now > told + self.cancel_s:
            self.broken.append(f"ran_cancelled: {t.job} starts")

    def _check(self) -> None:
        self.at(0.25, self._check)
        self._watch_waiting()
        self.broken += self.state.unsafe
        self.state.unsafe.clear()
        used: dict[str, float] = {}
        for m in self.workers.values():
            if m.deleted:
                continue
            for t in m.live.values():
                s = self.specs[t.job]
                used[s.team] = used.get(s.team, 0.0) + s.cpus
                told = self.cancel_told.get(t.job)
                if told is not None and self.now > told + self.cancel_s:
                    self.broken.append(f"ran_cancelled: {t.job} on {m.name}")
        for team in self.settings[0].cluster.teams:
            if used.get(team.name, 0.0) > team.cpu_limit + 1e-9:
                self.broken.append(f"quota: {team.name} uses {used[team.name]}")

    def _watch_waiting(self) -> None:
        """Once troubles are over, no job waits 90 s beside a machine with room for it while its
        team is under its limit.
        """
        if self.quiet_since is None:
            self._beside.clear()
            return
        limits = {t.name: t.cpu_limit for t in self.settings[0].cluster.teams}
        rooms = []
        for m in self.workers.values():
            if not m.deleted and m.up and not m.hung and m.notice is None:
                live = [self.specs[t.job].need for t in m.live.values()]
                free = [a - sum(n[i] for n in live) for i, a in enumerate(m.type.size)]
                rooms.append((m, free))
                for t in m.live.values():
                    s = self.specs[t.job]
                    limits[s.team] -= s.cpus
        for job in self.accepted:
            s = self.specs[job]
            on = {
                t.index
                for m in self.holders.get(job, {}).values()
                for t in m.live.values()
                if t.job == job and not m.deleted
            }
            done = {i for j, i in self.results if j == job}
            waits = s.tasks - len(on | done)
            over = self.told.get(job) in ("done", "cancelled")
            if job in self.cancel_asked or waits <= 0 or over:
                self._beside.pop(job, None)
                continue
            whole = s.kind == GANG
            fits = sum(
                min((f // n for f, n in zip(free, s.need, strict=True) if n), default=0)
                for m, free in rooms
                if s.may_run_on(m.type.name, m.zone, m.spot)
                and (not s.one_zone or not on or m.zone in self._zones_of(job))
            )
            enough = fits >= (s.tasks if whole else 1) and not (whole and on)
            if not enough or limits[s.team] < s.cpus * (s.tasks if whole else 1):
                self._beside.pop(job, None)
                continue
            since = self._beside.setdefault(job, self.now)
            last = max((t for t, j, *_ in self.starts[-200:] if j == job), default=0.0)
            if self.now - max(since, last) > 90.0:
                self.broken.append(f"waits: {job} beside room")
                self._beside[job] = self.now

    def _zones_of(self, job: str) -> set[str]:
        return {
            m.zone
            for m in self.holders.get(job, {}).values()
            if not m.deleted and any(t.job == job for t in m.live.values())
        }

    def unserved(self) -> list[str]:
        """Classes and teams of which less than half of what was accepted and not cancelled is
        done, and jobs that did not begin within four minutes.
        """
        out = []
        began: dict[str, float] = {}
        for t, job, *_ in self.starts:
            began.setdefault(job, t)
        jobs = [j for j in self.accepted if j not in self.cancel_asked]
        kinds: dict[str, list[bool]] = {}
        for j in jobs:
            over = all((j, i) in self.results for i in range(self.specs[j].tasks))
            for kind in (f"class {self.specs[j].cls}", f"team {self.specs[j].team}"):
                kinds.setdefault(kind, []).append(over)
            if began.get(j, self.now) - self.accepted[j] > 240.0:
                out.append(f"late: {j}")
        return out + [f"unserved: {k}" for k, v in kinds.items() if 2 * sum(v) < len(v)]
