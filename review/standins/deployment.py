"""A small deployment: real controllers on loopback, and stand-ins around them."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from standins.agents import Agent, Cloud, Jobs, Observer
from standins.record import Record
from standins.store import Store
from standins.users import Balancer, Users

#: figures of the Cuenca deployment (BRIEF-marblestair.md)
CUENCA: dict[str, Any] = {
    "zones": ["cuenca-centro"],
    "skew_ms": 1000.0,
    "teams": [
        {"name": "ventas-sala", "cpus": 112.0, "cpus_max": 248.0, "gpus": 0.0, "gpus_max": 0.0},
        {
            "name": "logistica-bodega",
            "cpus": 144.0,
            "cpus_max": 408.0,
            "gpus": 0.0,
            "gpus_max": 0.0,
        },
        {"name": "mercadeo-visual", "cpus": 96.0, "cpus_max": 328.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
    "objectives": [
        {"kind": "wait", "class": "bodega-cuadre", "within_s": 150.0, "share": 0.85},
        {"kind": "finished", "class": "bodega-cuadre", "within_s": 300.0, "share": 0.85},
        {"kind": "deadline", "class": "precio-lote", "share": 0.93, "times": 1.0},
        {"kind": "deadline", "class": "precio-lote", "share": 0.975, "times": 1.5},
        {"kind": "guarantee", "within_s": 5.0, "share": 0.85},
    ],
    "workers": {
        "report_s": 1.0,
        "lease_s": 11.0,
        "gang_wait_s": 40.0,
        "gang_peer_s": 5.0,
        "cancel_s": 36.0,
    },
    "state": {"rps": 60.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 12},
    "cloud": {"rps": 4.0, "list_lag_s": 8.0},
    "machine_limits": {"core_share": 0.288, "mem_mb": 146.0, "sockets": 600},
}


def _bern_team(name: str, cpus: float, cpus_max: float) -> dict[str, Any]:
    return {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0.0, "gpus_max": 0.0}


#: figures of the Bern deployment (BRIEF-marblestair.md)
BERN: dict[str, Any] = {
    "zones": ["bern-west"],
    "skew_ms": 100.0,
    "teams": [
        _bern_team("mietrecht", 48.0, 200.0),
        _bern_team("arbeitsrecht", 112.0, 408.0),
        _bern_team("uebersetzung", 80.0, 200.0),
        _bern_team("mitglieder", 48.0, 152.0),
        _bern_team("qualitaet", 64.0, 248.0),
        _bern_team("betrieb", 48.0, 90.0),
    ],
    "objectives": [
        {"kind": "wait", "class": "klausel-check", "within_s": 20.0, "share": 0.82},
        {"kind": "finished", "class": "klausel-check", "within_s": 100.0, "share": 0.82},
        {"kind": "deadline", "class": "sprach-abgleich", "share": 0.82, "times": 1.0},
        {"kind": "deadline", "class": "sprach-abgleich", "share": 0.88, "times": 1.5},
        {"kind": "guarantee", "within_s": 15.0, "share": 0.8},
    ],
    "workers": {
        "report_s": 1.0,
        "lease_s": 10.0,
        "gang_wait_s": 30.0,
        "gang_peer_s": 5.0,
        "cancel_s": 35.0,
    },
    "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 32},
    "cloud": {"rps": 2.0, "list_lag_s": 5.0},
    "machine_limits": {"core_share": 0.36, "mem_mb": 106.0, "sockets": 500},
}

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def kind(  # noqa: PLR0913 - the figures of a type
    sku: str,
    cpus: float,
    mem_gb: float,
    rooms: list[str],
    startup_s: float,
    boot_s: float,
    fetch_gb_per_s: float = 1.0,
) -> dict[str, Any]:
    """Return a machine type; its machines are up after ``boot_s``."""
    return {
        "sku": sku,
        "cpus": cpus,
        "gpus": 0.0,
        "mem_gb": mem_gb,
        "local_gb": 80.0,
        "fetch_gb_per_s": fetch_gb_per_s,
        "hourly": 0.06 * cpus,
        "market_price": 0.02 * cpus,
        "startup_s": startup_s,
        "run_boot_s": boot_s,
        "rooms": rooms,
    }


class Deployment:
    """Controllers with all that they talk to.

    Parameters
    ----------
    folder
        Folder of the case, for ``record.txt``.
    cluster
        The ``cluster`` table of the settings, without ``size``.
    kinds
        The machine types of the cloud.
    """

    def __init__(
        self,
        folder: Path,
        cluster: dict[str, Any],
        kinds: list[dict[str, Any]],
        count: int = 3,
        seed: int = 1,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.rng = random.Random(seed)
        self.cluster = cluster
        self.names = [f"werkbank-{index}" for index in range(count)]
        self.public = {name: f"{HOST}:{free_port()}" for name in self.names}
        self.listen = {name: f"{HOST}:{free_port()}" for name in self.names}
        self.jobs = Jobs()
        limits = {team["name"]: team["cpus_max"] for team in cluster["teams"]}
        self.observer = Observer(self.record, self.jobs, limits)
        self.store = Store(cluster["state"])
        self.cloud = Cloud(kinds, cluster["cloud"]["list_lag_s"], self._agent, self.record)
        self.balancer = Balancer(self.public, self.rng)
        self.users = Users(self.public, self.balancer, self.record)
        self._temp = tempfile.TemporaryDirectory(prefix="marblestair-review-")
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._store_addresses: dict[str, str] = {}
        self._cloud_address = ""
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        self._run = shlex.split(run)

    def _agent(self, name: str, machine_kind: dict[str, Any], room: str, loaners: bool) -> Agent:
        return Agent(
            name,
            machine_kind,
            room,
            loaners,
            self.cluster["workers"],
            self.public,
            self.jobs,
            self.observer,
            self.record,
            self.rng,
        )

    async def start(self) -> None:
        """Start the stand-ins and all controllers; wait until one is healthy."""
        self._store_addresses = await self.store.start(HOST, self.names)
        self._cloud_address = await self.cloud.start(HOST)
        self.balancer.start()
        for name in self.names:
            self.start_node(name)
        for _ in range(200):
            await asyncio.sleep(0.1)
            if self.balancer.healthy:
                return
        raise RuntimeError("no controller became healthy within 20 s")

    def settings(self, name: str, cluster: dict[str, Any] | None = None) -> str:
        """Return the settings file of a controller."""
        table = {"size": len(self.names), **(cluster or self.cluster)}
        text = [
            f'node = "{name}"',
            f'domain = "{table["zones"][0]}"',
            f'public_addr = "{self.public[name]}"',
            f'cluster_listen = "{self.listen[name]}"',
        ]
        for other in self.names:
            if other != name:
                text += ["[[others]]", f'node = "{other}"', f'domain = "{table["zones"][0]}"']
                text.append(f'address = "{self.listen[other]}"')
        text += ["[external]", f'cloud = "{self._cloud_address}"']
        text += [f'state = "{self._store_addresses[name]}"', "[cluster]"]
        tables = []
        for key, value in table.items():
            if isinstance(value, dict):
                tables += [f"[cluster.{key}]", *_fields(value)]
            elif isinstance(value, list) and value and isinstance(value[0], dict):
                for entry in value:
                    tables += [f"[[cluster.{key}]]", *_fields(entry)]
            else:
                text.append(f"{key} = {json.dumps(value)}")
        return "\n".join(text + tables) + "\n"

    # --- controllers -------------------------------------------------------------------------

    def start_node(self, name: str, cluster: dict[str, Any] | None = None) -> None:
        """Start a controller's process."""
        folder = Path(self._temp.name)
        path = folder / f"{name}.toml"
        path.write_text(self.settings(name, cluster))
        with (folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [*self._run, str(path)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("CASE_LOG_LEVEL", "info")},
            )
        self.record.write(f"controller {name}: started")

    def signal_node(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a controller's process."""
        self._processes[name].send_signal(number)
        self.record.write(f"controller {name}: {number.name}")

    def kill_node(self, name: str) -> None:
        """Kill a controller's process and wait until it is gone."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()
        self.record.write(f"controller {name}: killed")

    def is_running(self, name: str) -> bool:
        """Return whether a controller's process runs."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def log(self, name: str) -> str:
        """Return what a controller has logged so far."""
        path = Path(self._temp.name) / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def stop(self) -> None:
        """End all processes and stand-ins, and keep the controllers' errors in the record."""
        for process in self._processes.values():
            process.kill()
            process.wait()
        self.balancer.stop()
        self.cloud.stop()
        for name in self.names:
            errors: dict[str, int] = {}
            for line in self.log(name).splitlines():
                if not line.startswith(("I ", "D ")):
                    errors[line] = errors.get(line, 0) + 1
            for line, times in list(errors.items())[:40]:
                self.record.write(f"log of {name}: {line} ({times} times)")
        self.record.close()
        self._temp.cleanup()

    # --- jobs --------------------------------------------------------------------------------

    def job(
        self, number: int, owner: str, pieces: int, run_s: float, **more: Any
    ) -> dict[str, Any]:
        """Return a job's submission, and note its tasks' true run time."""
        ref = f"job-{number:06d}"
        spec = {
            "ref": ref,
            "jobclass": "precio-lote",
            "owner": owner,
            "shape": "batch",
            "urgency": "normal",
            "pieces": pieces,
            "cpus": 1.0,
            "gpus": 0.0,
            "mem_gb": 2.0,
            "bundle": "img-01",
            "size_gb": 0.5,
            "builds": None,
            "room": None,
            "together": False,
            "scatter": False,
            "loaners": True,
            "expected_s": run_s,
            "bookmark_s": 0.0,
            "bookmark_cost_s": 0.0,
            "due_s": None,
            **more,
        }
        self.jobs.specs[ref] = spec
        self.jobs.run_s[ref] = run_s
        return spec

    async def submit_or_fail(self, job: dict[str, Any]) -> None:
        """Submit a job; a case can't run if the job is not accepted."""
        status, _ = await self.users.submit(job)
        if status not in (200, 201):
            raise RuntimeError(f"{job['ref']} was not accepted: {status}")


def _fields(table: dict[str, Any]) -> list[str]:
    return [f"{name} = {json.dumps(value)}" for name, value in table.items()]
