"""Simulated deployment: controllers, agents, users, the store and the cloud."""

from __future__ import annotations

import copy
import pathlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, BinaryIO

from tests.tools.agents import Agent, Agents, AgentSettings
from tests.tools.cloud import Cloud
from tests.tools.controllers import FRAME_PORT, PUBLIC_PORT, Controllers, controller_host
from tests.tools.network import Network
from tests.tools.processes import Host
from tests.tools.recording import Recorder
from tests.tools.simulated_loop import SimulatedLoop
from tests.tools.store import Store
from tests.tools.users import Users
from tests.tools.workload import Workload

STORE_HOST, CLOUD_HOST = Host("store", "store", "10.2.0.1"), Host("cloud", "cloud", "10.2.0.2")
STORE_PORT, CLOUD_PORT = 2379, 8443
ZONES = ["a", "b", "c"]
#: controllers start at random times within this period
START_SPREAD_S = 0.2

MACHINE_TYPES: list[dict[str, Any]] = [
    {
        "sku": "c4",
        "cpus": 4.0,
        "gpus": 0.0,
        "mem_gb": 16.0,
        "local_gb": 50.0,
        "fetch_gb_per_s": 1.0,
        "hourly": 0.4,
        "market_price": 0.15,
        "startup_s": 5.0,
        "rooms": ZONES,
    },
    {
        "sku": "c16",
        "cpus": 16.0,
        "gpus": 0.0,
        "mem_gb": 64.0,
        "local_gb": 100.0,
        "fetch_gb_per_s": 1.0,
        "hourly": 1.5,
        "market_price": 0.5,
        "startup_s": 6.0,
        "rooms": ZONES[:2],
    },
    {
        "sku": "g8",
        "cpus": 32.0,
        "gpus": 8.0,
        "mem_gb": 256.0,
        "local_gb": 200.0,
        "fetch_gb_per_s": 2.0,
        "hourly": 6.0,
        "market_price": 2.0,
        "startup_s": 8.0,
        "rooms": ZONES,
    },
]

CLUSTER_SETTINGS: dict[str, Any] = {
    "zones": ZONES,
    "skew_ms": 1000.0,
    "teams": [
        {"name": "vision", "cpus": 16.0, "cpus_max": 64.0, "gpus": 8.0, "gpus_max": 16.0},
        {"name": "speech", "cpus": 12.0, "cpus_max": 32.0, "gpus": 0.0, "gpus_max": 8.0},
        {"name": "tight", "cpus": 4.0, "cpus_max": 6.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "guests", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
    "objectives": [
        {"kind": "wait", "class": "train", "within_s": 30.0, "share": 0.85},
        {"kind": "finished", "class": "train", "within_s": 90.0, "share": 0.85},
        {"kind": "deadline", "class": "nightly", "share": 0.93, "times": 1.0},
        {"kind": "guarantee", "within_s": 5.0, "share": 0.85},
    ],
    "workers": {
        "report_s": 1.0,
        "lease_s": 10.0,
        "gang_wait_s": 20.0,
        "gang_peer_s": 4.0,
        "cancel_s": 20.0,
    },
    "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 4.0, "txn_ops": 12},
    "cloud": {"rps": 8.0, "list_lag_s": 4.0},
    "machine_limits": {"core_share": 0.3, "mem_mb": 146.0, "sockets": 600.0},
}


@dataclass(frozen=True)
class DeploymentConfig:
    """Number of controllers and changes to the default settings."""

    controllers: int = 3
    #: fields that replace those of CLUSTER_SETTINGS
    cluster: dict[str, Any] = field(default_factory=dict)
    policy_script: pathlib.Path | None = None


class Deployment:
    """All simulated parts of one scenario."""

    def __init__(self, config: DeploymentConfig, seed: str, file: BinaryIO) -> None:
        self.loop = SimulatedLoop()
        self.network = Network(self.loop, seed)
        self.recorder = Recorder(self.loop, FRAME_PORT, file)
        self.network.observer = self.recorder
        self.random = random.Random(f"{seed}/scenario")
        cluster = {**copy.deepcopy(CLUSTER_SETTINGS), "size": config.controllers, **config.cluster}
        settings = [raw_settings(x, config.controllers, cluster) for x in range(config.controllers)]
        for host in (STORE_HOST, CLOUD_HOST):
            self.network.add_host(host)
        self.store = Store(self.network, (STORE_HOST.address, STORE_PORT), cluster["state"], seed)
        self.cloud = Cloud(
            self.network, (CLOUD_HOST.address, CLOUD_PORT), cluster["cloud"], MACHINE_TYPES, seed
        )
        self.controllers = Controllers(self.network, self.recorder, settings, config.policy_script)
        self.workload = Workload(seed)
        addresses = self.controllers.addresses
        agent_timing = {x: cluster["workers"][x] for x in cluster["workers"] if x != "cancel_s"}
        self._agents = Agents(
            self.network, self.workload, AgentSettings(**agent_timing, controllers=addresses), seed
        )
        self.cloud.on_up = self._agents.start
        self.cloud.on_down = self._agents.stop
        self.users = Users(self.network, self.workload, list(addresses.values()), seed)
        self._start_s = self.loop.time()
        for number in range(config.controllers):
            self.at(START_SPREAD_S * self.random.random(), self.controllers.start, number)

    def at(self, after_s: float, action: Callable[..., object], *args: Any, **named: Any) -> None:
        """Schedule an action ``after_s`` seconds after the start of the scenario."""
        self.loop.call_at(self._start_s + after_s, partial(action, *args, **named))

    @property
    def agents(self) -> list[Agent]:
        """Agents of the machines that have not been terminated."""
        return self._agents.live

    def random_agents(self, count: int) -> list[Agent]:
        """Return up to ``count`` agents, chosen at random."""
        live_agents = self.agents
        return self.random.sample(live_agents, min(count, len(live_agents)))

    def run(self, duration_s: float) -> None:
        """Run the scenario for a simulated time, then kill all controllers and end the record."""
        self.loop.run_until(self._start_s + duration_s)
        self.controllers.kill_all()
        self.recorder.finish()


def raw_settings(number: int, controllers: int, cluster: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of one controller in the form of its settings file."""
    own_host = controller_host(number)
    other_hosts = [controller_host(x) for x in range(controllers) if x != number]
    return {
        "node": own_host.name,
        "domain": ZONES[number % len(ZONES)],
        "public_addr": f"{own_host.address}:{PUBLIC_PORT}",
        "cluster_listen": f"{own_host.address}:{FRAME_PORT}",
        "others": [
            {"node": x.name, "address": f"{x.address}:{FRAME_PORT}", "domain": ZONES[0]}
            for x in other_hosts
        ],
        "external": {
            "cloud": f"{CLOUD_HOST.address}:{CLOUD_PORT}",
            "state": f"{STORE_HOST.address}:{STORE_PORT}",
        },
        "cluster": cluster,
    }
