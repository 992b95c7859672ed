"""Stand-ins of the machines: each is a worker with its reports, lease and tasks."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from standins.record import Record
from standins.wire import Client, Request, port_of, serve

#: how long a worker waits for the answer to a report, and before it tries the next node
ANSWER_TIMEOUT_S, NEXT_NODE_S = 4.0, 1.0
#: least time between two reports
MIN_REPORT_S = 0.5
#: step in which tasks advance
STEP_S = 0.05


class Jobs:
    """The descriptions that users uploaded, and the true run time of their tasks."""

    def __init__(self) -> None:
        self.specs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}
        #: jobs that were submitted with a mistake: their tasks fail as soon as they start
        self.mistaken: set[str] = set()


class Gangs:
    """How the tasks of a gang find one another, by job and attempt."""

    def __init__(self, jobs: Jobs) -> None:
        self._jobs = jobs
        self._ready: dict[tuple[str, int], set[int]] = {}
        self._started: set[tuple[str, int]] = set()
        #: ends of started gangs: whether one task is done, or one is gone
        self.ends: dict[tuple[str, int], str] = {}

    def is_complete(self, job: str, attempt: int, index: int) -> bool:
        """Note that a task is ready; return whether all tasks of the attempt are or were."""
        gang = (job, attempt)
        ready = self._ready.setdefault(gang, set())
        ready.add(index)
        if len(ready) == self._jobs.specs[job]["pieces"]:
            self._started.add(gang)
        return gang in self._started

    def leave(self, job: str, attempt: int, index: int, cause: str) -> None:
        """Note that a task is no longer there."""
        gang = (job, attempt)
        self._ready.get(gang, set()).discard(index)
        if gang in self._started:
            self.ends.setdefault(gang, "done" if cause == "done" else "mates_gone")


class Observer:
    """Sees what is on the machines, and writes down which rules that breaks."""

    def __init__(self, record: Record, jobs: Jobs, limits: dict[str, float]) -> None:
        self._record = record
        self._jobs = jobs
        self._limits = limits
        self.gangs = Gangs(jobs)
        #: task -> machines that it is on
        self.on: dict[str, set[str]] = {}
        #: job -> tasks that completed, and number of starts
        self.done: dict[str, set[int]] = {}
        self.starts: dict[str, int] = {}
        self.broken: list[str] = []
        #: job -> time until which its tasks may be there after its cancellation was told
        self.gone_by: dict[str, float] = {}

    def started(self, machine: str, job: str, index: int) -> None:
        """A task has its image and is on its machine."""
        task = f"{job}/{index}"
        machines = self.on.setdefault(task, set())
        self._record.write(f"machine {machine}: {task} on")
        self.starts[job] = self.starts.get(job, 0) + 1
        if machines:
            self._break(f"ran_twice: {task} starts on {machine} while on {sorted(machines)}")
        machines.add(machine)
        self._check_limit(self._jobs.specs[job]["owner"])
        self.check_cancelled()

    def ended(self, machine: str, job: str, index: int, cause: str) -> None:
        """A task is no longer on its machine."""
        task = f"{job}/{index}"
        self.on[task].discard(machine)
        if not self.on[task]:
            del self.on[task]
        self._record.write(f"machine {machine}: {job}/{index} off, {cause}")
        if cause == "done":
            self.done.setdefault(job, set()).add(index)

    def _check_limit(self, team: str) -> None:
        limit = self._limits.get(team, 0.0)
        used = 0.0
        for task, machines in self.on.items():
            spec = self._jobs.specs[task.rpartition("/")[0]]
            if spec["owner"] == team:
                used += len(machines) * spec["cpus"]
        if limit and used > limit + 1e-6:
            self._break(f"quota: {team} uses {used:g} CPUs of {limit:g}")

    def check_cancelled(self) -> None:
        """Check that no task of a cancelled job is on a machine for too long."""
        now = time.monotonic()
        for task, machines in self.on.items():
            job = task.rpartition("/")[0]
            if machines and job in self.gone_by and now > self.gone_by[job]:
                self._break(f"ran_cancelled: {task} is on {sorted(machines)}")

    def _break(self, text: str) -> None:
        if text not in self.broken:
            self.broken.append(text)
            self._record.write(f"BROKEN {text}")


class _Task:
    def __init__(self, job: str, index: int, attempt: int, image_at: float) -> None:
        self.job, self.index, self.attempt = job, index, attempt
        self.status, self.cause = "pulling", ""
        self.image_at = image_at
        self.waits_since = 0.0
        self.left_s = 0.0

    @property
    def is_on(self) -> bool:
        """Whether the task has its image and has not ended."""
        return self.status in ("waiting", "running")

    def report(self) -> dict[str, Any]:
        found = {"piece": f"{self.job}/{self.index}", "try": self.attempt, "status": self.status}
        if self.status == "exited":
            found["cause"] = self.cause
        return found


class Agent:
    """One machine with its worker."""

    def __init__(  # noqa: PLR0913 - what a machine is, and what it talks to
        self,
        name: str,
        kind: dict[str, Any],
        room: str,
        loaners: bool,
        workers: dict[str, float],
        nodes: dict[str, str],
        jobs: Jobs,
        observer: Observer,
        record: Record,
        rng: random.Random,
    ) -> None:
        self.name, self.kind, self.room, self.loaners = name, kind, room, loaners
        self._workers, self._nodes, self._jobs = workers, nodes, jobs
        self._observer, self._record, self._rng = observer, record, rng
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks: dict[tuple[str, int, int], _Task] = {}
        self._images: dict[str, float] = {}
        self._results: set[tuple[str, int]] = set()
        self._lease_from = 0.0
        self._client = Client()
        self._changed = asyncio.Event()
        self._target = rng.choice(sorted(nodes))
        self._server: asyncio.Server | None = None
        self._running: list[asyncio.Task[None]] = []
        self.endpoint = ""
        #: the machine hangs: nothing is executed, sent or received
        self.hangs = False
        #: every task fails as soon as it starts
        self.faulty = False
        #: answers and direct commands do not reach the machine
        self.deaf = False

    async def start(self, host: str) -> None:
        """Begin to report and to run tasks."""
        self._server = await serve(host, self._direct)
        self.endpoint = f"{host}:{port_of(self._server)}"
        self._lease_from = time.monotonic()
        self._record.write(f"machine {self.name}: up")
        self._running = [
            asyncio.create_task(self._report_forever()),
            asyncio.create_task(self._advance_forever()),
        ]

    def stop(self, why: str) -> None:
        """The machine is gone, with everything on it."""
        for running in self._running:
            running.cancel()
        if self._server is not None:
            self._server.close()
        self._client.close()
        self._drop_all(why)
        self._record.write(f"machine {self.name}: gone, {why}")

    # --- reports -----------------------------------------------------------------------------

    def _report(self) -> dict[str, Any]:
        self.tally += 1
        return {
            "bench": self.name,
            "endpoint": self.endpoint,
            "build": self.kind["sku"],
            "room": self.room,
            "loaners": self.loaners,
            "shift": self.shift,
            "tally": self.tally,
            "baton": self.baton,
            "recall_s": None,
            "pieces": [task.report() for task in self.tasks.values()],
        }

    async def _report_forever(self) -> None:
        while True:
            await self._wait_while_hanging()
            self._changed.clear()
            sent_at, shift = time.monotonic(), self.shift
            status, body, _ = await self._client.request(
                self._nodes[self._target], "POST", "/v1/report", self._report(), ANSWER_TIMEOUT_S
            )
            if self.deaf:
                status, body = 0, None
            await self._wait_while_hanging()
            if time.monotonic() - sent_at > ANSWER_TIMEOUT_S:
                status, body = 0, None
            if status == 200:
                self._take_answer(sent_at, shift, body)
                await self._pause(sent_at)
            elif status == 421 and self._is_other(body.get("foreman")):
                self._client.close()
                self._target = body["foreman"]
                await asyncio.sleep(0.5 * self._rng.random())
            else:
                self._client.close()
                names = sorted(self._nodes)
                self._target = names[(names.index(self._target) + 1) % len(names)]
                await asyncio.sleep(NEXT_NODE_S)

    def _is_other(self, node: str | None) -> bool:
        return node is not None and node in self._nodes and node != self._target

    async def _pause(self, sent_at: float) -> None:
        pause_s = self._workers["report_s"] * (0.75 + 0.5 * self._rng.random())
        earliest = sent_at + MIN_REPORT_S
        try:
            async with asyncio.timeout(pause_s):
                await self._changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(max(0.0, earliest - time.monotonic()))

    def _take_answer(self, sent_at: float, shift: int, body: Any) -> None:
        token = int(body.get("baton") or 0)
        if token < self.baton or shift != self.shift:
            return
        self.baton = token
        self._lease_from = sent_at
        self._execute(body.get("orders") or [])

    # --- commands ----------------------------------------------------------------------------

    async def _direct(self, request: Request) -> tuple[int, Any] | None:
        if self.deaf or self.hangs:
            return None
        if request.path == "/inspect":
            return 200, self._report()
        body = request.decoded()
        if "baton" not in body or "shift" not in body:
            return 400, {"error": "baton or shift is missing"}
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return 409, self._report()
        self.baton = body["baton"]
        self._execute(body.get("orders") or [])
        return 200, self._report()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            job, _, index = order["piece"].rpartition("/")
            key = (job, int(index), int(order["try"]))
            if order["verb"] == "launch":
                self._launch(*key)
            elif order["verb"] == "stop" and key in self.tasks:
                self._exit(self.tasks[key], "halted")
            elif order["verb"] == "reap":
                task = self.tasks.get(key)
                if task is not None and task.status == "exited":
                    del self.tasks[key]
        if orders:
            self._changed.set()

    def _launch(self, job: str, index: int, attempt: int) -> None:
        if (job, index, attempt) in self.tasks:
            return
        spec = self._jobs.specs.get(job)
        task = self.tasks[(job, index, attempt)] = _Task(job, index, attempt, 0.0)
        self._record.write(f"machine {self.name}: launch {job}/{index} try {attempt}")
        others = [other for other in self.tasks.values() if other is not task]
        live = [other for other in others if other.status != "exited"]
        if spec is None or index >= spec["pieces"]:
            self._refuse(task, "unknown")
        elif any((other.job, other.index) == (job, index) for other in live):
            self._refuse(task, "in_use")
        elif not self._has_room(spec, live):
            self._refuse(task, "no_room")
        else:
            fetch_s = spec["size_gb"] / self.kind["fetch_gb_per_s"]
            ready_at = self._images.setdefault(spec["bundle"], time.monotonic() + fetch_s)
            task.image_at = ready_at

    def _has_room(self, spec: dict[str, Any], live: list[_Task]) -> bool:
        for name in ("cpus", "gpus", "mem_gb"):
            used = sum(self._jobs.specs[other.job][name] for other in live)
            if used + spec[name] > self.kind[name] + 1e-9:
                return False
        return True

    def _refuse(self, task: _Task, cause: str) -> None:
        task.status, task.cause = "exited", cause
        self._changed.set()

    def _exit(self, task: _Task, cause: str) -> None:
        if task.status == "exited":
            return
        if task.is_on:
            self._observer.ended(self.name, task.job, task.index, cause)
            if self._is_gang(task):
                self._observer.gangs.leave(task.job, task.attempt, task.index, cause)
        task.status, task.cause = "exited", cause
        if cause == "done":
            self._results.add((task.job, task.index))
        self._changed.set()

    # --- time --------------------------------------------------------------------------------

    async def _wait_while_hanging(self) -> None:
        while self.hangs:
            await asyncio.sleep(STEP_S)

    async def _advance_forever(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            if now - self._lease_from > self._workers["lease_s"]:
                self._end_session(now)
            if not self.hangs:
                for task in list(self.tasks.values()):
                    self._advance(task, now, now - last)
            last = now

    def _is_gang(self, task: _Task) -> bool:
        return bool(self._jobs.specs[task.job]["shape"] == "group")

    def _advance(self, task: _Task, now: float, elapsed_s: float) -> None:
        if task.status == "pulling" and now >= task.image_at:
            task.status, task.waits_since = "waiting", now
            task.left_s = self._jobs.run_s[task.job]
            if (task.job, task.index) in self._results:
                task.left_s = 0.0
            self._observer.started(self.name, task.job, task.index)
            self._changed.set()
            if self.faulty or task.job in self._jobs.mistaken:
                self._exit(task, "error")
        if task.status == "waiting":
            self._wait_for_gang(task, now)
        elif task.status == "running":
            end = self._observer.gangs.ends.get((task.job, task.attempt))
            task.left_s -= elapsed_s
            if end is not None or task.left_s <= 0:
                self._exit(task, end or "done")

    def _wait_for_gang(self, task: _Task, now: float) -> None:
        gangs = self._observer.gangs
        if not self._is_gang(task) or gangs.is_complete(task.job, task.attempt, task.index):
            task.status = "running"
            self._changed.set()
        elif now - task.waits_since > self._workers["gang_wait_s"]:
            self._exit(task, "alone")

    def _end_session(self, now: float) -> None:
        self._record.write(f"machine {self.name}: lease over, session {self.shift + 1} begins")
        self._drop_all("killed")
        self.shift += 1
        self._lease_from = now

    def _drop_all(self, why: str) -> None:
        for task in self.tasks.values():
            if task.is_on:
                self._observer.ended(self.name, task.job, task.index, why)
                if self._is_gang(task):
                    self._observer.gangs.leave(task.job, task.attempt, task.index, why)
        self.tasks.clear()


class Cloud:
    """Stand-in of the cloud: rents machines by the second."""

    def __init__(
        self,
        kinds: list[dict[str, Any]],
        list_lag_s: float,
        make_agent: Callable[[str, dict[str, Any], str, bool], Agent],
        record: Record,
    ) -> None:
        self._kinds = {kind["sku"]: kind for kind in kinds}
        self._lag_s, self._make_agent, self._record = list_lag_s, make_agent, record
        self._hires: dict[str, list[str]] = {}
        self._count = 0
        self.machines: dict[str, Agent] = {}
        self._rented_at: dict[str, float] = {}
        self._up: set[str] = set()
        #: times and contents of the machine list, oldest first
        self._lists: list[tuple[float, list[dict[str, Any]]]] = []
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._host = ""
        #: machines of one kind and room that the cloud has
        self.capacity = 50
        #: number of rental requests that were refused or filled only in part
        self.refusals = 0
        #: number of machines that were rented
        self.rented = 0
        #: called with each machine that is rented
        self.on_rented: Callable[[Agent], None] = lambda agent: None

    async def start(self, host: str) -> str:
        """Start to serve; return the address."""
        self._host = host
        self._server = await serve(host, self._handle)
        self._tasks.append(asyncio.create_task(self._keep_lists()))
        return f"{host}:{port_of(self._server)}"

    def stop(self) -> None:
        """Stop all machines."""
        for task in self._tasks:
            task.cancel()
        for agent in self.machines.values():
            agent.stop("end of the run")

    async def _handle(self, request: Request) -> tuple[int, Any]:
        if request.path == "/machine_types":
            fields = ("run_boot_s",)
            builds = [
                {name: value for name, value in kind.items() if name not in fields}
                for kind in self._kinds.values()
            ]
            return 200, {"builds": builds}
        if request.path == "/rentals/release":
            for name in request.decoded()["benches"]:
                self._release(name)
            return 200, {}
        if request.path == "/rentals" and request.method == "POST":
            return self._rent(request.decoded())
        if request.path == "/rentals":
            return self._list(request.query)
        return 400, {"error": "malformed"}

    def _rent(self, body: dict[str, Any]) -> tuple[int, Any]:
        hire = body["hire"]
        if hire in self._hires:
            return 200, {"benches": self._hires[hire]}
        kind = self._kinds.get(body["build"])
        if kind is None or body["room"] not in kind["rooms"] or not 1 <= body["how_many"] <= 50:
            return 400, {"error": "malformed"}
        same = [
            agent
            for agent in self.machines.values()
            if (agent.kind, agent.room, agent.loaners) == (kind, body["room"], body["loaners"])
        ]
        count = min(body["how_many"], self.capacity - len(same))
        self.refusals += count < body["how_many"]
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = [self._add(kind, body["room"], body["loaners"]) for _ in range(count)]
        self._hires[hire] = names
        self._record.write(f"cloud: rented {names} as {hire}")
        return 200, {"benches": names}

    def _add(self, kind: dict[str, Any], room: str, loaners: bool) -> str:
        self._count += 1
        name = f"host-{self._count:06d}"
        self.machines[name] = self._make_agent(name, kind, room, loaners)
        self.rented += 1
        self.on_rented(self.machines[name])
        self._rented_at[name] = time.monotonic()
        self._tasks.append(asyncio.create_task(self._boot(name)))
        return name

    async def _boot(self, name: str) -> None:
        agent = self.machines[name]
        await asyncio.sleep(agent.kind["run_boot_s"])
        if name in self.machines:
            self._up.add(name)
            await agent.start(self._host)

    def _release(self, name: str) -> None:
        agent = self.machines.pop(name, None)
        if agent is not None:
            self._record.write(f"cloud: released {name}")
            self._up.discard(name)
            agent.stop("released")

    async def _keep_lists(self) -> None:
        while True:
            now = time.monotonic()
            listed = [
                {
                    "ref": name,
                    "endpoint": agent.endpoint or "127.0.0.1:9",
                    "build": agent.kind["sku"],
                    "room": agent.room,
                    "loaners": agent.loaners,
                    "status": "running" if name in self._up else "booting",
                    "age_s": now - self._rented_at[name],
                }
                for name, agent in sorted(self.machines.items())
            ]
            self._lists.append((now, listed))
            del self._lists[:-600]
            await asyncio.sleep(0.2)

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        until = time.monotonic() - self._lag_s
        listed: list[dict[str, Any]] = []
        for at, contents in self._lists:
            if at <= until:
                listed = contents
        after, limit = query.get("from", ""), min(int(query.get("limit", "500")), 500)
        found = [machine for machine in listed if machine["ref"] > after]
        return 200, {"benches": found[:limit], "more": len(found) > limit}
