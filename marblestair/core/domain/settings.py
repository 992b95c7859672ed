"""Types of the settings file: one struct for each table, fields as the file names them.

Times end in ``_s`` (seconds) or ``_ms`` (milliseconds), rates in ``rps`` (per second).
"""

from __future__ import annotations

import msgspec

#: limit of a team that has none, in cpus or gpus: more than any fleet has. It is a number rather
#: than None because limits are divided among the shards and stored in the shard map.
UNLIMITED = 1e9


class Peer(msgspec.Struct, frozen=True):
    """Another controller of the same deployment."""

    node: str
    address: str
    domain: str = ""


class External(msgspec.Struct, frozen=True):
    """Addresses of the outside systems."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed quota and its limit; 0 means that it has none."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float = 0.0
    gpus_max: float = 0.0

    @property
    def cpu_limit(self) -> float:
        """The most cpus that the team's tasks may use at once."""
        return self.cpus_max or UNLIMITED

    @property
    def gpu_limit(self) -> float:
        """The most gpus that the team's tasks may use at once."""
        return self.gpus_max or UNLIMITED

    @property
    def is_best_effort(self) -> bool:
        """Whether the team has no guaranteed quota: it uses what the others leave free."""
        return self.cpus == 0 and self.gpus == 0


class Objective(msgspec.Struct, frozen=True):
    """One service-level objective, as the operators state it."""

    kind: str
    share: float = 0.0
    cls: str = msgspec.field(default="", name="class")
    within_s: float = 0.0
    within_ms: float = 0.0
    times: float = 1.0
    most: float = 0.0


class Workers(msgspec.Struct, frozen=True):
    """Intervals and timeouts of the agents."""

    #: interval of heartbeats
    report_s: float
    #: time without an answer after which an agent stops its tasks
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    #: time within which a cancelled job's tasks must have stopped
    cancel_s: float


class NextStateLimits(msgspec.Struct, frozen=True):
    """Limits that the store will have later, without notice; None: they do not change."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct, frozen=True, omit_defaults=True):
    """Limits of the store, shared by all controllers."""

    rps: float
    write_rps: float
    #: largest value, in KiB
    value_kb: float
    #: most changes in one transaction
    txn_ops: int
    next: NextStateLimits | None = None

    def strictest(self) -> StateLimits:
        """The limits that hold now and later: of each pair the smaller one."""
        later = self.next or NextStateLimits()
        return StateLimits(
            rps=min(self.rps, later.rps or self.rps),
            write_rps=min(self.write_rps, later.write_rps or self.write_rps),
            value_kb=min(self.value_kb, later.value_kb or self.value_kb),
            txn_ops=min(self.txn_ops, later.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct, frozen=True):
    """Limits of the cloud interface, shared by all controllers."""

    rps: float
    #: time after which a change shows in the list of machines
    list_lag_s: float


class MachineLimits(msgspec.Struct, frozen=True):
    """What one controller process may use."""

    #: processor time, in cores
    core_share: float = 1.0
    mem_mb: float = 256.0
    sockets: float = 512.0


class Cluster(msgspec.Struct, frozen=True):
    """Everything that all controllers share."""

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
    """One controller's settings."""

    node: str
    public_addr: str
    cluster_listen: str
    external: External
    cluster: Cluster
    domain: str = ""
    others: list[Peer] = []

    @property
    def nodes(self) -> list[str]:
        """Names of all controllers, in the same order everywhere."""
        return sorted([self.node, *(peer.node for peer in self.others)])
