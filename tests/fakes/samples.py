"""Settings, machine types and jobs of the small deployments that the tests simulate."""

from __future__ import annotations

from typing import Any

from marblestair import settings as st
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machines import MachineType

#: wall-clock time at which a deployment begins
START_WALL_TIME_S = 1_000_000.0


def job_spec(number: int, **changes: Any) -> JobSpec:
    """A small job, with changes."""
    base: dict[str, Any] = dict(
        id=f"job-{number:06d}",
        job_class="c",
        team="red",
        kind="array",
        priority="normal",
        task_count=6,
        cpus=1.0,
        gpus=0.0,
        mem_gb=1.0,
        image="img",
        image_gb=0.1,
        machine_types=None,
        zone=None,
        single_zone=False,
        spread_zones=False,
        allows_spot=False,
        estimated_run_s=5.0,
        checkpoint_interval_s=0.0,
        checkpoint_save_s=0.0,
        deadline_s=None,
    )
    base.update(changes)
    return JobSpec(**base)


def node_settings(index: int, count: int = 3, **cluster: Any) -> st.Settings:
    """Settings of one node of a small deployment."""
    return st.parse(raw_node_settings(index, count, **cluster))


def raw_node_settings(index: int, count: int = 3, **cluster: Any) -> dict[str, Any]:
    """The settings of one node, as its file contains them."""
    names = [f"n{place}" for place in range(count)]
    base: dict[str, Any] = dict(
        size=count,
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
    return dict(
        node=names[index],
        public_addr=f"10.0.0.{index + 1}:8080",
        cluster_listen=f"10.0.0.{index + 1}:8081",
        others=[
            dict(node=name, address=f"10.0.0.{place + 1}:8081")
            for place, name in enumerate(names)
            if place != index
        ],
        external=dict(cloud="10.2.0.2:1", state="10.2.0.1:1"),
        cluster=base,
    )


#: machine types that the cloud rents
MACHINE_TYPES = [
    MachineType("t4", 4.0, 0.0, 16.0, 50.0, 1.0, 0.4, 0.15, 5.0, ["a", "b"]),
    MachineType("t8", 8.0, 0.0, 32.0, 50.0, 1.0, 0.8, 0.3, 5.0, ["a", "b"]),
]

#: the store's limits, and the smaller ones that it will have
STORE_LIMITS_NOW: dict[str, Any] = dict(rps=100.0, write_rps=40.0, value_kb=4.0, txn_ops=12)
STORE_LIMITS_LATER: dict[str, Any] = dict(value_kb=2.0, txn_ops=4, write_rps=30.0)

#: timing of agents in tests of single components
AGENT_SETTINGS = st.Workers(
    report_s=1.0, lease_s=10.0, gang_wait_s=30.0, gang_peer_s=5.0, cancel_s=30.0
)


def wait_objective(within_s: float, ratio: float = 0.9) -> dict[str, Any]:
    """The objective that a ratio of the jobs of class g start within some seconds."""
    return {"kind": "wait", "class": "g", "within_s": within_s, "share": ratio}
