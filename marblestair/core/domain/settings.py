"""Types of the settings file: one struct per table, with the field names of the file.

The suffix ``_s`` stands for seconds, ``_ms`` for milliseconds, ``rps`` for requests per second.
"""

from __future__ import annotations

import msgspec

#: limit, in cpus or in gpus, of a team without a configured limit; more than any fleet has. It is a
#: number rather than None, because limits are divided among the shards and stored in the shard map.
UNLIMITED = 1e9


class Peer(msgspec.Struct, frozen=True):
    """Name and address of another controller of the same deployment."""

    node: str
    address: str
    domain: str = ""


class External(msgspec.Struct, frozen=True):
    """Addresses of the external services: the cloud and the store."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """Guaranteed quota (``cpus``, ``gpus``) and limits (``cpus_max``, ``gpus_max``) of a team.

    A value of 0 means no guarantee or no limit.
    """

    name: str
    cpus: float
    cpus_max: float
    gpus: float = 0.0
    gpus_max: float = 0.0

    @property
    def cpu_limit(self) -> float:
        """Maximum number of cpus that the team's tasks may use at the same time."""
        return self.cpus_max or UNLIMITED

    @property
    def gpu_limit(self) -> float:
        """Maximum number of gpus that the team's tasks may use at the same time."""
        return self.gpus_max or UNLIMITED

    @property
    def is_best_effort(self) -> bool:
        """Whether the team has no guaranteed quota and uses only what other teams leave free."""
        return self.cpus == 0 and self.gpus == 0


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective, as the operators configure it."""

    kind: str
    share: float = 0.0
    cls: str = msgspec.field(default="", name="class")
    within_s: float = 0.0
    within_ms: float = 0.0
    times: float = 1.0
    most: float = 0.0


class Workers(msgspec.Struct, frozen=True):
    """Intervals and timeouts of the agents."""

    #: interval between heartbeats
    report_s: float
    #: time without a response to heartbeats after which an agent stops its tasks
    lease_s: float
    #: time for which a task waits for the other tasks of its gang to be ready, before it exits
    gang_wait_s: float
    #: time for which a running task waits for a missing task of its gang, before it exits
    gang_peer_s: float
    #: time within which the tasks of a cancelled job must have stopped
    cancel_s: float


class NextStateLimits(msgspec.Struct, frozen=True):
    """Announced limits of the store, which may take effect at any time; None: no change."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct, frozen=True, omit_defaults=True):
    """Limits of the store, which all controllers share."""

    rps: float
    write_rps: float
    #: maximum size of a value, in KiB
    value_kb: float
    #: maximum number of changes in one transaction
    txn_ops: int
    next: NextStateLimits | None = None

    def strictest(self) -> StateLimits:
        """Return, for each limit, the smaller of its current and its announced value."""
        later = self.next or NextStateLimits()
        return StateLimits(
            rps=min(self.rps, later.rps or self.rps),
            write_rps=min(self.write_rps, later.write_rps or self.write_rps),
            value_kb=min(self.value_kb, later.value_kb or self.value_kb),
            txn_ops=min(self.txn_ops, later.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct, frozen=True):
    """Limits of the cloud's API, which all controllers share."""

    rps: float
    #: time by which the list of machines may lag behind a change
    list_lag_s: float


class MachineLimits(msgspec.Struct, frozen=True):
    """Resource limits of one controller process."""

    #: maximum processor time, in cores
    core_share: float = 1.0
    mem_mb: float = 256.0
    sockets: float = 512.0


class Cluster(msgspec.Struct, frozen=True):
    """Settings that are the same for all controllers."""

    #: number of shards
    size: int
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    zones: list[str] = []
    skew_ms: float = 1000.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


class Settings(msgspec.Struct, frozen=True):
    """Settings of one controller."""

    node: str
    public_addr: str
    cluster_listen: str
    external: External
    cluster: Cluster
    domain: str = ""
    others: list[Peer] = []

    @property
    def nodes(self) -> list[str]:
        """Names of all controllers, sorted, so that the order is the same on every controller."""
        return sorted([self.node, *(peer.node for peer in self.others)])
