"""A small deployment on loopback: controllers as processes, everything else as stand-ins.

The stand-ins follow the protocol page: state service, cloud, workers and users, on the real clock.
``World.rules`` checks what clients, workers and the platform can see.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from http_ import NO_ANSWER, ROOT, Client, Server  # noqa: E402
from state import State  # noqa: E402


def free_port() -> int:
    """Return a free port below the range that the system uses for outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(10000, 30000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


class Config:
    """Sizes of the deployment; by default those of the emmc-cuenca site, with quicker boots."""

    def __init__(self) -> None:
        self.nodes = 3
        self.node_zones = ["cuenca-centro"]
        self.report_s, self.lease_s = 1.0, 11.0
        self.gang_wait_s, self.gang_peer_s, self.cancel_s = 40.0, 5.0, 36.0
        self.rps, self.write_rps, self.value_kb, self.txn_ops = 60.0, 20.0, 4.0, 12
        self.cloud_rps, self.list_lag_s = 4.0, 8.0
        self.sockets, self.mem_mb, self.core = 600, 146.0, 0.288
        self.restart_s = 8.0
        self.teams = [
            ("ventas-sala", 112.0, 248.0),
            ("logistica-bodega", 144.0, 408.0),
            ("mercadeo-visual", 96.0, 328.0),
        ]
        self.rooms = ["cuenca-centro"]
        #: name, cpus, memory, price, spot price, boot seconds, fetch rate
        self.types = [
            ("taller-chico", 8.0, 32.0, 0.53, 0.2, 25.0, 1.0),
            ("taller-medio", 16.0, 64.0, 0.96, 0.35, 40.0, 0.2),
            ("taller-grande", 32.0, 128.0, 1.88, 0.71, 40.0, 0.2),
        ]
        #: (type, room, spot) -> machines that the cloud has
        self.capacity = {
            ("taller-chico", 0): (11, 4),
            ("taller-medio", 0): (7, 1),
            ("taller-grande", 0): (4, 1),
        }
        self.boot_factor = 1.0
        #: aims, as tables of ``cluster.objectives``: one dict of fields each
        self.objectives: list[dict[str, Any]] = []


class Proxy:
    """Forwards TCP connections to a port; can be cut (silent, held or reset)."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.mode = "open"
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.opened = asyncio.Event()
        self.opened.set()

    async def start(self) -> int:
        """Start."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def set(self, mode: str) -> None:
        """``open``; ``hold`` keeps bytes back until open; ``reset`` resets connections."""
        self.mode = mode
        if mode == "open":
            self.opened.set()
        else:
            self.opened.clear()
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        other = None
        try:
            if self.mode == "reset":
                return
            await self.opened.wait()
            other_reader, other = await asyncio.open_connection("127.0.0.1", self.target)
            self.writers.add(other)
            await asyncio.gather(self._pump(reader, other), self._pump(other_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for used in (writer, other):
                if used is not None:
                    self.writers.discard(used)
                    used.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            data = await reader.read(65536)
            await self.opened.wait()
            if not data:
                await writer.drain()
                writer.close()
                return
            writer.write(data)
            await writer.drain()

    def close(self) -> None:
        """Close all."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Node:
    """One controller process, started with the run command of the deploy file."""

    def __init__(self, world: World, index: int) -> None:
        self.world, self.index = world, index
        self.name = f"werkbank-{index}"
        self.public, self.cluster = free_port(), free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.expected_end = False
        self.settings = os.path.join(world.folder, f"{self.name}.toml")
        self.log_path = os.path.join(world.folder, f"{self.name}.log")
        #: worker reports to this node are lost
        self.cut_from_workers = False
        self.cut_from_users = False
        #: the node is in a zone that is cut off: it reaches only the machines of that zone
        self.zone_cut = False
        self.frozen = False

    def write_settings(self) -> None:
        """Write the controller's settings file."""
        world, config = self.world, self.world.config
        zones = config.node_zones
        lines = [
            f'node = "{self.name}"',
            f'domain = "{zones[self.index % len(zones)]}"',
            f'public_addr = "127.0.0.1:{self.public}"',
            f'cluster_listen = "127.0.0.1:{self.cluster}"',
        ]
        for other in world.nodes:
            if other is not self:
                port = world.links[(self.name, other.name)].port
                lines += [
                    "[[others]]",
                    f'node = "{other.name}"',
                    f'domain = "{zones[other.index % len(zones)]}"',
                    f'address = "127.0.0.1:{port}"',
                ]
        lines += [
            "[external]",
            f'cloud = "127.0.0.1:{world.cloud.server.port}"',
            f'state = "127.0.0.1:{world.state.servers[self.name].port}"',
            "[cluster]",
            f"size = {config.nodes}",
            f"zones = [{', '.join(repr(z).replace(chr(39), chr(34)) for z in zones)}]",
            "skew_ms = 1000.0",
        ]
        for name, cpus, cpus_max in config.teams:
            lines += [
                "[[cluster.teams]]",
                f'name = "{name}"',
                f"cpus = {cpus}",
                f"cpus_max = {cpus_max}",
                "gpus = 0.0",
                "gpus_max = 0.0",
            ]
        for aim in config.objectives:
            lines.append("[[cluster.objectives]]")
            lines += [
                f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}"
                for key, value in aim.items()
            ]
        lines += [
            "[cluster.workers]",
            f"report_s = {config.report_s}",
            f"lease_s = {config.lease_s}",
            f"gang_wait_s = {config.gang_wait_s}",
            f"gang_peer_s = {config.gang_peer_s}",
            f"cancel_s = {config.cancel_s}",
            "[cluster.state]",
            f"rps = {config.rps}",
            f"write_rps = {config.write_rps}",
            f"value_kb = {config.value_kb}",
            f"txn_ops = {config.txn_ops}",
            "[cluster.cloud]",
            f"rps = {config.cloud_rps}",
            f"list_lag_s = {config.list_lag_s}",
            "[cluster.machine_limits]",
            f"core_share = {config.core}",
            f"mem_mb = {config.mem_mb}",
            f"sockets = {config.sockets}",
        ]
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start."""
        if self.process is not None and self.process.poll() is None:
            return
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            command = shlex.split(tomllib.load(file)["run"])
        log = open(self.log_path, "ab")  # noqa: SIM115
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.process = subprocess.Popen(
            [*command, self.settings],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env=environment,
        )
        log.close()
        self.expected_end = self.frozen = False
        self.world.log("node-start", node=self.name, pid=self.process.pid)

    def kill(self) -> None:
        """Kill the process with no signal to catch."""
        self.world.log("node-kill", node=self.name)
        self.expected_end = True
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def freeze(self, frozen: bool) -> None:
        """Stop the process, or let it go on."""
        self.world.log("node-freeze", node=self.name, on=frozen)
        self.frozen = frozen
        if self.process is not None:
            self.process.send_signal(signal.SIGSTOP if frozen else signal.SIGCONT)

    async def crash(self, down_s: float) -> None:
        """Kill the process, and start it again after some seconds."""
        self.kill()
        await asyncio.sleep(down_s)
        self.start()

    def ended(self) -> int | None:
        """Return the exit code of a process that has ended."""
        return None if self.process is None else self.process.poll()


class Cloud:
    """The cloud's interface."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.server = Server(self.handle)
        self.out = False
        self.requests: dict[str, list[str]] = {}
        self.next = 1
        self.machines: dict[str, Worker] = {}
        #: (time, lines) snapshots of the list
        self.boot: Any = None

    async def handle(self, method: str, path: str, args: dict[str, str], body: Any) -> Any:
        """Answer one request."""
        await asyncio.sleep(0.02)
        config = self.world.config
        if self.out:
            return 503, {"error": "trouble"}
        if path == "/machine_types":
            return 200, {
                "builds": [
                    {
                        "sku": n,
                        "cpus": c,
                        "gpus": 0.0,
                        "mem_gb": m,
                        "local_gb": 80.0,
                        "fetch_gb_per_s": f,
                        "hourly": p,
                        "market_price": s,
                        "startup_s": b,
                        "rooms": list(config.rooms),
                    }
                    for n, c, m, p, s, b, f in config.types
                ]
            }
        if path == "/rentals" and method == "POST":
            return self.rent(body)
        if path == "/rentals/release":
            for name in body["benches"]:
                worker = self.machines.get(name)
                if worker is not None and not worker.gone:
                    self.world.log("cloud-release", machine=name, tasks=worker.live_keys())
                    worker.end()
            return 200, {}
        if path == "/rentals":
            return self.list(args)
        return 400, {"error": path}

    def rent(self, body: Any) -> Any:
        """Rent machines."""
        name = body["hire"]
        if name in self.requests:
            return 200, {"benches": self.requests[name]}
        config = self.world.config
        room = config.rooms.index(body["room"])
        ordinary, spot = config.capacity.get((body["build"], room), (0, 0))
        limit = spot if body["loaners"] else ordinary
        used = sum(
            worker.type[0] == body["build"]
            and worker.room == body["room"]
            and worker.spot == body["loaners"]
            and not worker.gone
            for worker in self.machines.values()
        )
        count = min(int(body["how_many"]), limit - used, 50)
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = [self.add(body["build"], body["room"], body["loaners"]) for _ in range(count)]
        self.requests[name] = names
        self.world.log(
            "cloud-rent", hire=name, machines=names, build=body["build"], spot=body["loaners"]
        )
        return 200, {"benches": names}

    def add(self, build: str, room: str, spot: bool, boot_s: float | None = None) -> str:
        """Add a machine that boots; return its name."""
        name = f"host-{self.next:06d}"
        self.next += 1
        kind = next(t for t in self.world.config.types if t[0] == build)
        worker = Worker(self.world, name, kind, room, spot)
        self.machines[name] = worker
        if boot_s is None:
            boot_s = kind[5] * random.uniform(0.6, 1.5) * self.world.config.boot_factor
        worker.begin(boot_s)
        return name

    def list(self, args: dict[str, str]) -> Any:
        """List the machines as of some seconds ago."""
        now = time.monotonic()
        lag = self.world.config.list_lag_s
        at = now - lag
        after, limit = args.get("from", ""), min(500, int(args.get("limit", "500")))
        found = []
        for name, worker in sorted(self.machines.items()):
            if name <= after or worker.rented_at > at:
                continue
            if worker.gone_at is not None and worker.gone_at <= at:
                continue
            up = worker.up_at is not None and worker.up_at <= at
            found.append(
                {
                    "ref": name,
                    "endpoint": worker.endpoint(),
                    "build": worker.type[0],
                    "room": worker.room,
                    "loaners": worker.spot,
                    "status": "running" if up else "booting",
                    "age_s": at - worker.rented_at,
                }
            )
        return 200, {"benches": found[:limit], "more": len(found) > limit}


class Task:
    """One attempt of a task on a machine."""

    __slots__ = (
        "attempt",
        "cause",
        "index",
        "job",
        "left_s",
        "pull_s",
        "since",
        "state",
        "stored",
        "waited_s",
        "save_s",
        "peer_s",
    )

    def __init__(self, job: str, index: int, attempt: int) -> None:
        self.job, self.index, self.attempt = job, index, attempt
        self.state, self.cause, self.stored = "pulling", "", False
        self.pull_s = self.left_s = self.waited_s = self.save_s = self.peer_s = 0.0
        self.since = time.monotonic()

    @property
    def key(self) -> str:
        """Name of the task."""
        return f"{self.job}/{self.index}"

    @property
    def live(self) -> bool:
        """Whether the task has not exited."""
        return self.state != "exited"

    @property
    def on_machine(self) -> bool:
        """Whether the task has its image and has not exited."""
        return self.state in ("waiting", "running", "saving")


class Worker:
    """One machine with its worker."""

    def __init__(self, world: World, name: str, kind: Any, room: str, spot: bool) -> None:
        self.world, self.name, self.type, self.room, self.spot = world, name, kind, room, spot
        self.rented_at = time.monotonic()
        self.up_at: float | None = None
        self.gone_at: float | None = None
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks: dict[str, Task] = {}
        self.lease_at = 0.0
        self.node = random.randrange(len(world.nodes))
        self.clients: dict[int, Client] = {}
        self.server = Server(self.handle)
        self.port = 0
        self.hung = self.deaf = self.mute = False
        #: name of the only controller that the machine reaches while its zone is cut off
        self.zone_cut: str | None = None
        self.recall_at: float | None = None
        self.images: set[str] = set()
        self.running: list[asyncio.Task[None]] = []
        self.wake = asyncio.Event()
        self.slow = 1.0
        #: hold for direct commands: None, or a function that gives seconds of delay
        self.hold_commands: Any = None
        self.commands_log: list[Any] = []

    @property
    def gone(self) -> bool:
        """Whether the machine is released or taken."""
        return self.gone_at is not None

    def endpoint(self) -> str:
        """Address of the machine's worker."""
        return f"127.0.0.1:{self.port or 9}"

    def begin(self, boot_s: float) -> None:
        """Boot."""
        self.running.append(asyncio.create_task(self._live(boot_s)))

    async def _live(self, boot_s: float) -> None:
        self.port = await self.server.start()
        await asyncio.sleep(boot_s)
        if self.gone:
            return
        self.up_at = self.lease_at = time.monotonic()
        self.world.log(
            "machine-up", machine=self.name, type=self.type[0], room=self.room, spot=self.spot
        )
        self.running.append(asyncio.create_task(self._report_forever()))
        last = time.monotonic()
        while not self.gone:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            if not self.hung:
                self.check_lease()
                self._advance(now - last)
            last = now

    def end(self) -> None:
        """Take the machine away with all that is on it."""
        if self.gone:
            return
        self.gone_at = time.monotonic()
        self.world.log("machine-gone", machine=self.name)
        self.tasks = {}
        for task in self.running:
            if task is not asyncio.current_task():
                task.cancel()
        self.server.close()
        for client in self.clients.values():
            client.close()

    def lease_over(self) -> bool:
        """Whether the lease is over."""
        return time.monotonic() - self.lease_at > self.world.config.lease_s

    def check_lease(self) -> None:
        """Kill and forget all tasks if the lease is over."""
        if self.up_at is not None and self.lease_over():
            if self.tasks:
                self.world.log(
                    "lease-over", machine=self.name, shift=self.shift, tasks=self.live_keys()
                )
            self.tasks = {}
            self.shift += 1
            self.lease_at = time.monotonic()
            self.wake.set()

    def live_keys(self) -> list[str]:
        """Tasks that have not exited, for the record."""
        return [f"{t.key}#{t.attempt}:{t.state}" for t in self.tasks.values() if t.live]

    def tasks_on(self) -> list[Task]:
        """Tasks on the machine; a lease that is over has ended them, also while it hangs."""
        if self.gone or self.up_at is None or self.lease_over():
            return []
        return [task for task in self.tasks.values() if task.on_machine]

    # --- reports ---------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """Return a report with the next number."""
        self.tally += 1
        pieces = []
        for task in self.tasks.values():
            piece: dict[str, Any] = {"piece": task.key, "try": task.attempt, "status": task.state}
            if task.state == "exited":
                piece["cause"] = task.cause
                if task.stored:
                    piece["stored"] = True
            pieces.append(piece)
        recall = None
        if self.recall_at is not None:
            recall = max(0.0, self.recall_at - time.monotonic())
        return {
            "bench": self.name,
            "endpoint": self.endpoint(),
            "build": self.type[0],
            "room": self.room,
            "loaners": self.spot,
            "shift": self.shift,
            "tally": self.tally,
            "baton": self.baton,
            "recall_s": recall,
            "pieces": pieces,
        }

    async def _report_forever(self) -> None:
        world = self.world
        while not self.gone:
            if self.hung:
                await asyncio.sleep(0.1)
                continue
            started = time.monotonic()
            body = self.report()
            node = world.nodes[self.node]
            self.wake.clear()
            status, value = await self._send(node, body)
            while self.hung:
                await asyncio.sleep(0.05)
            if time.monotonic() - started > 4.0:
                status, value = 0, None
            self.check_lease()
            if status == 200 and isinstance(value, dict):
                baton = value.get("baton")
                if body["shift"] == self.shift and isinstance(baton, int) and baton >= self.baton:
                    changed = baton > self.baton
                    self.baton = baton
                    self.lease_at = max(self.lease_at, started)
                    self.execute(value.get("orders") or [], f"answer of {node.name}")
                    if changed:
                        self.wake.set()
                pause = world.config.report_s * random.uniform(0.75, 1.25)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(pause):
                        await self.wake.wait()
                rest = 0.5 - (time.monotonic() - started)
                if rest > 0:
                    await asyncio.sleep(rest)
                continue
            foreman = value.get("foreman") if status == 421 and isinstance(value, dict) else None
            names = [other.name for other in world.nodes]
            if foreman in names and foreman != node.name:
                client = self.clients.pop(self.node, None)
                if client is not None:
                    client.close()
                self.node = names.index(foreman)
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                self.node = (self.node + 1) % len(names)
                await asyncio.sleep(1.0)

    async def _send(self, node: Node, body: Any) -> tuple[int, Any]:
        world = self.world
        cut = node.cut_from_workers or (self.zone_cut is not None and node.name != self.zone_cut)
        cut = cut or (self.zone_cut is None and node.zone_cut)
        if self.mute or cut:
            await asyncio.sleep(4.0)
            return 0, None
        if world.late_reports and random.random() < world.late_reports:
            world.spawn(world.copy_later(body))
        client = self.clients.setdefault(self.node, Client(node.public))
        status, value, _ = await client.request("POST", "/v1/report", body, 4.0)
        if self.deaf or node.cut_from_workers:
            await asyncio.sleep(1.0)
            return 0, None
        return status, value

    # --- commands --------------------------------------------------------------------------

    async def handle(self, method: str, path: str, args: dict[str, str], body: Any) -> Any:
        """Answer one request."""
        if self.up_at is None or self.gone:
            await asyncio.sleep(10)
            return NO_ANSWER
        if self.deaf:
            await asyncio.sleep(10)
            return NO_ANSWER
        held = self.hold_commands(body) if self.hold_commands and path == "/do" else None
        if held:
            self.world.spawn(self._do_late(body, held))
            await asyncio.sleep(30)
            return NO_ANSWER
        while self.hung:
            await asyncio.sleep(0.1)
        self.check_lease()
        if path == "/inspect":
            return 200, self.report()
        return self.do(body)

    async def _do_late(self, body: Any, held: float) -> None:
        await asyncio.sleep(held)
        while self.hung:
            await asyncio.sleep(0.1)
        if not self.gone:
            self.check_lease()
            self.do(body, "held command")

    def do(self, body: Any, source: str = "command") -> Any:
        """Execute direct commands."""
        if not isinstance(body.get("baton"), int) or not isinstance(body.get("shift"), int):
            return 400, {}
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return 409, self.report()
        self.baton = body["baton"]
        self.execute(body.get("orders") or [], source)
        return 200, self.report()

    def execute(self, orders: list[Any], source: str) -> None:
        """Execute commands in order."""
        world = self.world
        for order in orders:
            key, attempt, verb = order["piece"], order["try"], order["verb"]
            task = self.tasks.get(key)
            same = task is not None and task.attempt == attempt
            if verb == "launch":
                if same:
                    continue
                job, _, index = key.rpartition("/")
                new = Task(job, int(index), attempt)
                spec = world.jobs.get(job)
                world.log(
                    "launch",
                    machine=self.name,
                    task=key,
                    attempt=attempt,
                    baton=self.baton,
                    by=source,
                )
                if task is not None and task.live:
                    world.log("in-use", machine=self.name, task=key)
                    continue
                self.tasks[key] = new
                if spec is None:
                    new.state, new.cause = "exited", "unknown"
                elif not self._has_room(spec, new):
                    new.state, new.cause = "exited", "no_room"
                else:
                    rate = self.type[6]
                    new.pull_s = 0.05 if spec["bundle"] in self.images else spec["size_gb"] / rate
                    new.left_s = world.left_s(key)
                self.wake.set()
            elif verb == "stop" and same and task is not None and task.live:
                world.log(
                    "stop",
                    machine=self.name,
                    task=key,
                    attempt=attempt,
                    grace=order.get("wind_down_s"),
                    by=source,
                )
                self._stop(task, float(order.get("wind_down_s") or 0.0))
                self.wake.set()
            elif verb == "reap" and same and task is not None and not task.live:
                del self.tasks[key]
                self.wake.set()

    def _has_room(self, spec: Any, new: Task) -> bool:
        cpus, mem = spec["cpus"], spec["mem_gb"]
        for task in self.tasks.values():
            if task.live and task is not new:
                other = self.world.jobs[task.job]
                cpus += other["cpus"]
                mem += other["mem_gb"]
        return cpus <= self.type[1] + 1e-6 and mem <= self.type[2] + 1e-6

    def _stop(self, task: Task, grace: float) -> None:
        spec = self.world.jobs[task.job]
        saves = spec["bookmark_s"] > 0 and grace >= spec["bookmark_cost_s"]
        if task.state == "running" and saves:
            task.state, task.save_s = "saving", spec["bookmark_cost_s"]
        else:
            self._exit(task, "halted")

    def _exit(self, task: Task, cause: str, stored: bool = False) -> None:
        task.state, task.cause, task.stored = "exited", cause, stored
        self.world.log("exit", machine=self.name, task=task.key, attempt=task.attempt, cause=cause)
        self.wake.set()

    def _advance(self, passed: float) -> None:
        for task in list(self.tasks.values()):
            spec = self.world.jobs.get(task.job)
            if spec is None:
                continue
            if task.state == "pulling":
                self._pull(task, spec, passed)
            elif task.state == "waiting":
                self._wait(task, spec, passed)
            elif task.state == "running":
                self._run(task, spec, passed)
            elif task.state == "saving":
                task.save_s -= passed
                if task.save_s <= 0:
                    self._exit(task, "halted", stored=True)

    def _pull(self, task: Task, spec: Any, passed: float) -> None:
        """Fetch the image, once for all tasks; after that the task is on the machine."""
        if spec["bundle"] in self.images:
            task.pull_s = 0.0
        task.pull_s -= passed
        if task.pull_s > 0:
            return
        self.images.add(spec["bundle"])
        self.world.rules.start(self, task)
        if task.key in self.world.results:
            task.state = "running"
            self._exit(task, "done")
        elif spec.get("fails"):
            task.state = "running"
            self._exit(task, "error")
        else:
            task.state = "waiting" if spec["shape"] == "group" else "running"
            self.wake.set()

    def _wait(self, task: Task, spec: Any, passed: float) -> None:
        """Begin once all tasks of the gang wait; give up after ``gang_wait_s``."""
        gang = self.world.gang(task)
        is_whole = len(gang) == spec["pieces"]
        if is_whole and all(mate.state in ("waiting", "running") for _, mate in gang):
            for worker, mate in gang:
                mate.state, mate.peer_s = "running", 0.0
                mate.left_s = self.world.left_s(f"{mate.job}/0")
                worker.wake.set()
            return
        task.waited_s += passed
        if task.waited_s > self.world.config.gang_wait_s:
            self._exit(task, "alone")

    def _run(self, task: Task, spec: Any, passed: float) -> None:
        """Make progress; a gang does so only while all of its tasks do."""
        is_gang = spec["shape"] == "group"
        gang = self.world.gang(task) if is_gang else [(self, task)]
        if is_gang:
            is_whole = len(gang) == spec["pieces"] and all(
                not worker.hung and mate.state in ("running", "saving") for worker, mate in gang
            )
            if not is_whole:
                task.peer_s += passed
                if task.peer_s > self.world.config.gang_peer_s:
                    self._exit(task, "mates_gone")
                return
            task.peer_s = 0.0
        task.left_s -= passed / self.slow
        if spec["bookmark_s"] > 0:
            self.world.save(task, spec)
        if task.left_s <= 0:
            for worker, mate in gang:
                self.world.results.add(mate.key)
                worker._exit(mate, "done")


class Rules:
    """Checks the rules of the protocol page."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.broken: list[str] = []
        self._seen: set[str] = set()

    def fail(self, rule: str, text: str, once: str | None = None) -> None:
        """Record a broken rule, once for each mark."""
        mark = once or text
        if (rule + mark) in self._seen:
            return
        self._seen.add(rule + mark)
        self.broken.append(f"{rule}: {text}")
        self.world.log("BROKEN", rule=rule, text=text)

    def start(self, worker: Worker, task: Task) -> None:
        """A task is on its machine from now on."""
        world, job = self.world, task.job
        world.log("start", machine=worker.name, task=task.key, attempt=task.attempt)
        world.started.setdefault(job, time.monotonic())
        rooms = []
        for other in world.cloud.machines.values():
            for mate in other.tasks_on():
                if mate.job != job or mate is task:
                    continue
                rooms.append(other.room)
                if mate.index == task.index:
                    self.fail(
                        "ran_twice",
                        f"{task.key} starts on {worker.name} (try {task.attempt}) while on"
                        f" {other.name} (try {mate.attempt}, {mate.state})",
                    )
        self._check_place(worker, task, rooms)
        for parent in world.jobs[job].get("awaits") or []:
            if not world.is_done(parent):
                self.fail("too_early", f"{task.key} starts before {parent} is done")
        told = world.told_cancelled.get(job)
        if told is not None and time.monotonic() > told + world.config.cancel_s:
            self.fail("ran_cancelled", f"{task.key} starts {time.monotonic() - told:.1f} s after")

    def _check_place(self, worker: Worker, task: Task, rooms: list[str]) -> None:
        """Check the machine of a start; ``rooms`` are those of the job's other tasks."""
        spec = self.world.jobs[task.job]
        if spec.get("builds") and worker.type[0] not in spec["builds"]:
            self.fail("wrong_place", f"{task.key} on type {worker.type[0]}")
        if spec.get("room") and worker.room != spec["room"]:
            self.fail("wrong_place", f"{task.key} in {worker.room}")
        if worker.spot and not spec["loaners"]:
            self.fail("wrong_place", f"{task.key} on spot {worker.name}")
        if spec["together"] and any(room != worker.room for room in rooms):
            self.fail("wrong_place", f"{task.key} in {worker.room}, others in {set(rooms)}")
        if spec["scatter"] and rooms.count(worker.room) + 1 > (spec["pieces"] + 1) // 2:
            self.fail("wrong_place", f"{task.key}: too many in {worker.room}")

    def check(self) -> None:
        """Check what holds at any time."""
        world, now = self.world, time.monotonic()
        used: dict[str, float] = {}
        for worker in world.cloud.machines.values():
            for task in worker.tasks_on():
                spec = world.jobs[task.job]
                used[spec["owner"]] = used.get(spec["owner"], 0.0) + spec["cpus"]
                told = world.told_cancelled.get(task.job)
                if told is not None and now > told + world.config.cancel_s:
                    self.fail(
                        "ran_cancelled",
                        f"{task.key} on {worker.name} {now - told:.1f} s after",
                        task.key,
                    )
        for name, _, limit in world.config.teams:
            if limit and used.get(name, 0.0) > limit + 1e-6:
                self.fail("quota", f"{name} uses {used[name]} of {limit}", f"{name}{int(now)}")
        for node in world.nodes:
            code = node.ended()
            if code is not None and not node.expected_end:
                self.fail("crash", f"{node.name} ended by itself with {code}")
                node.expected_end = True

    def answer(self, kind: str, job: str, sent: float, status: int, value: Any) -> None:
        """Check an answer to a user; ``sent`` is when the request was sent."""
        world = self.world
        accepted = world.accepted.get(job)
        if accepted is not None and sent > accepted:
            if status == 404 or (kind == "submit" and status in (400, 422)):
                self.fail("forgotten", f"{job}: {kind} got {status}")
        if status not in (200, 201):
            return
        if job not in world.submitted:
            self.fail("invented", f"{job}: {kind} got {status} {value}")
            return
        world.accepted.setdefault(job, time.monotonic())
        state = value["status"]
        if state == "done" and not world.is_done(job):
            self.fail("not_done", f"{job} called done by {kind}")
        if state == "aborted" and not world.asked_to_cancel(job):
            self.fail("went_back", f"{job} called aborted, but nobody cancelled it")
        self._check_order(kind, job, sent, state)
        if state in ("queued", "running"):
            for parent in world.ancestors(job):
                told = world.told_cancelled.get(parent)
                if told is not None and sent > told + world.config.cancel_s:
                    self.fail(
                        "orphaned",
                        f"{job} is {state} {sent - told:.1f} s after {parent} was cancelled",
                    )

    def _check_order(self, kind: str, job: str, sent: float, state: str) -> None:
        """Check that a job which was called done or cancelled is not called anything else."""
        world, now = self.world, time.monotonic()
        final, is_final = world.final.get(job), state in ("done", "aborted")
        if final is not None and state != final[0] and (is_final or sent > final[1]):
            self.fail(
                "went_back",
                f"{job} was {final[0]}, then {kind} sent {sent - final[1]:.3f} s later got {state}",
            )
        if is_final:
            world.final.setdefault(job, (state, now))
        if state == "aborted":
            world.told_cancelled.setdefault(job, now)


class World:
    """All of one case."""

    def __init__(self, config: Config | None = None, record: str | None = None) -> None:
        self.config = config or Config()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.began = time.monotonic()
        self.record = open(record, "w") if record else None  # noqa: SIM115
        self.jobs: dict[str, Any] = {}
        self.submitted: set[str] = set()
        self.accepted: dict[str, float] = {}
        self.final: dict[str, tuple[str, float]] = {}
        self.told_cancelled: dict[str, float] = {}
        self.cancel_asked: set[str] = set()
        self.started: dict[str, float] = {}
        self.results: set[str] = set()
        self.saved: dict[str, float] = {}
        self.run_s: dict[str, float] = {}
        self.late_reports = 0.0
        self.last_answered: dict[str, float] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.links: dict[tuple[str, str], Proxy] = {}
        self.nodes: list[Node] = []
        self.rules = Rules(self)
        self.state = State(self.log, self.config.value_kb, self.config.txn_ops)
        self.cloud = Cloud(self)
        self.user_clients: dict[tuple[str, int], Client] = {}
        self._busy: dict[tuple[str, int], asyncio.Lock] = {}

    def log(self, event: str, **facts: Any) -> None:
        """Write a line of the record."""
        if self.record is not None:
            text = " ".join(f"{key}={value}" for key, value in facts.items())
            self.record.write(f"{time.monotonic() - self.began:8.3f} {event} {text}\n")

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run a coroutine until the world is closed."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self) -> None:
        """Start."""
        await self.cloud.server.start()
        self.nodes = [Node(self, index) for index in range(self.config.nodes)]
        for node in self.nodes:
            await self.state.listen(node.name)
            for other in self.nodes:
                if other is not node:
                    link = self.links[(node.name, other.name)] = Proxy(other.cluster)
                    await link.start()
        self.state.start()
        for node in self.nodes:
            node.write_settings()
            node.start()
        self.spawn(self._check_forever())

    async def _check_forever(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            self.rules.check()

    async def healthy(self, timeout_s: float = 30.0) -> bool:
        """Wait until every controller that runs answers its health check."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            good = 0
            for node in self.nodes:
                client = Client(node.public)
                status, _, _ = await client.request("GET", "/healthz", timeout_s=1.0)
                client.close()
                good += status == 200
            if good == len(self.nodes):
                return True
            await asyncio.sleep(0.3)
        return False

    def close(self) -> None:
        """Close all."""
        for node in self.nodes:
            if node.process is not None:
                if node.frozen and node.ended() is None:
                    node.process.send_signal(signal.SIGCONT)
                node.expected_end = True
                with contextlib.suppress(ProcessLookupError):
                    node.process.kill()
                node.process.wait()
        for task in list(self.tasks):
            task.cancel()
        for worker in self.cloud.machines.values():
            worker.end()
        for link in self.links.values():
            link.close()
        self.state.close()
        self.cloud.server.close()
        if self.record is not None:
            self.record.flush()

    # --- jobs ------------------------------------------------------------------------------

    def is_done(self, job: str) -> bool:
        """Whether all tasks of a job completed."""
        spec = self.jobs[job]
        return all(f"{job}/{index}" in self.results for index in range(spec["pieces"]))

    def ancestors(self, job: str) -> set[str]:
        """Jobs that a job needs, directly or through others."""
        found: set[str] = set()
        stack = [job]
        while stack:
            for parent in self.jobs[stack.pop()].get("awaits") or []:
                if parent not in found:
                    found.add(parent)
                    stack.append(parent)
        return found

    def asked_to_cancel(self, job: str) -> bool:
        """Whether users asked to cancel a job, or one that it needs."""
        return bool(({job} | self.ancestors(job)) & self.cancel_asked)

    def left_s(self, key: str) -> float:
        """Run time that a task has left."""
        job = key.rpartition("/")[0]
        if self.jobs[job]["shape"] == "group":
            key = f"{job}/0"
        total = self.run_s.setdefault(key, self.jobs[job]["run_s"] * random.uniform(0.7, 1.3))
        return total - self.saved.get(key, 0.0)

    def save(self, task: Task, spec: Any) -> None:
        """Keep progress at the last multiple of the interval."""
        key = f"{task.job}/0" if spec["shape"] == "group" else task.key
        done = self.run_s[key] - task.left_s
        mark = done // spec["bookmark_s"] * spec["bookmark_s"]
        if mark > self.saved.get(key, 0.0):
            self.saved[key] = mark

    def gang(self, task: Task) -> list[tuple[Worker, Task]]:
        """Tasks of a task's attempt, with their machines."""
        found = []
        for worker in self.cloud.machines.values():
            if worker.gone or worker.lease_over():
                continue
            for other in worker.tasks.values():
                if other.job == task.job and other.attempt == task.attempt and other.on_machine:
                    found.append((worker, other))
        return found

    async def copy_later(self, body: Any) -> None:
        """Send a late copy of a report to every controller."""
        await asyncio.sleep(random.uniform(2.0, 1.5 * self.config.lease_s))
        for node in self.nodes:
            client = Client(node.public)
            await client.request("POST", "/v1/report", body, 4.0)
            client.close()

    # --- users -----------------------------------------------------------------------------

    def job(self, number: int, **fields: Any) -> dict[str, Any]:
        """Make a job; ``run_s`` and ``fails`` are known to the workers only."""
        spec: dict[str, Any] = {
            "ref": f"job-{number:06d}",
            "jobclass": "precio-lote",
            "owner": self.config.teams[0][0],
            "shape": "batch",
            "urgency": "normal",
            "pieces": 1,
            "cpus": 1.0,
            "gpus": 0.0,
            "mem_gb": 1.0,
            "bundle": "img-01",
            "size_gb": 0.2,
            "builds": None,
            "room": None,
            "together": False,
            "scatter": False,
            "loaners": True,
            "expected_s": 10.0,
            "bookmark_s": 0.0,
            "bookmark_cost_s": 0.0,
            "due_s": None,
            "run_s": 10.0,
        }
        spec.update(fields)
        self.jobs[spec["ref"]] = spec
        return spec

    async def ask(
        self, node: int, method: str, path: str, body: Any = None, timeout_s: float = 5.0
    ) -> Any:
        """One request of a user over a connection of its own kind."""
        target = self.nodes[node]
        if target.cut_from_users:
            await asyncio.sleep(timeout_s)
            return 0, None, {}
        client = Client(target.public)
        result = await client.request(method, path, body, timeout_s)
        client.close()
        return result

    async def submit(
        self, spec: dict[str, Any], node: int | None = None, total_s: float = 60.0
    ) -> bool:
        """Submit a job, with the retries of the protocol page; return whether it was accepted."""
        job = spec["ref"]
        body = {key: value for key, value in spec.items() if key not in ("run_s", "fails")}
        until = time.monotonic() + total_s
        self.submitted.add(job)
        while True:
            index = random.randrange(len(self.nodes)) if node is None else node
            sent = time.monotonic()
            status, value, headers = await self.ask(index, "POST", "/v1/jobs", body)
            self.log("submit", job=job, node=index, status=status, value=value)
            self.rules.answer("submit", job, sent, status, value)
            if status in (200, 201):
                return True
            if status in (400, 422) or time.monotonic() > until:
                return False
            await asyncio.sleep(max(1.0, min(30.0, float(headers.get("retry-after", "1")))))

    async def poll(self, job: str, node: int | None = None, timeout_s: float = 2.0) -> str | None:
        """Ask about a job once; return its status, or None."""
        index = random.randrange(len(self.nodes)) if node is None else node
        sent = time.monotonic()
        status, value, _ = await self.ask(index, "GET", f"/v1/jobs/{job}", None, timeout_s)
        self.log("poll", job=job, node=index, status=status, value=value)
        self.rules.answer("poll", job, sent, status, value)
        if status in (200, 404):
            self.last_answered[job] = time.monotonic()
        return value["status"] if status == 200 else None

    async def cancel(self, job: str, node: int | None = None, total_s: float = 60.0) -> str | None:
        """Cancel a job, with retries; return the status that the user was told."""
        self.cancel_asked.add(job)
        until = time.monotonic() + total_s
        while True:
            index = random.randrange(len(self.nodes)) if node is None else node
            sent = time.monotonic()
            status, value, headers = await self.ask(index, "POST", f"/v1/jobs/{job}/withdraw")
            self.log("cancel", job=job, node=index, status=status, value=value)
            self.rules.answer("cancel", job, sent, status, value)
            if status == 200:
                return str(value["status"])
            if time.monotonic() > until:
                return None
            await asyncio.sleep(max(1.0, min(30.0, float(headers.get("retry-after", "1")))))

    def leader_names(self) -> list[str]:
        """The leader of each shard, as the controllers' shard map in the state service says."""
        for value, _, _ in self.state.data.values():
            if (
                isinstance(value, list)
                and len(value) == 2
                and isinstance(value[1], list)
                and value[1]
            ):
                if all(isinstance(item, list) and len(item) >= 4 for item in value[1]):
                    return [item[0] for item in value[1]]
        return []
