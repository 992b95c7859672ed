"""The settings file that the platform hands to each controller."""

from __future__ import annotations

import math
import tomllib
from typing import Any

import msgspec

#: the least changes in one transaction: a part's takeover takes two, a job's end two
MIN_OPS = 3
#: parts beyond this are a mistake in the file
MAX_PARTS = 100


class SettingsError(Exception):
    """A settings file that cannot be used; the text is one line and names the field."""


class Peer(msgspec.Struct, frozen=True):
    """Another controller of the same deployment."""

    node: str
    address: str
    domain: str = ""


class External(msgspec.Struct, frozen=True):
    """Addresses of the outside systems."""

    cloud: str
    state: str


#: what a team without a limit may use, in cpus or gpus: more than any fleet has
UNLIMITED = 1e9


class Team(msgspec.Struct, frozen=True):
    """A team's guarantee and limit; 0 means that it has none."""

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
        """Whether the team has no guarantee: it lives on what the others leave free."""
        return self.cpus == 0 and self.gpus == 0


class Objective(msgspec.Struct, frozen=True):
    """One aim, as the operators state it."""

    kind: str
    share: float = 0.0
    cls: str = msgspec.field(default="", name="class")
    within_s: float = 0.0
    within_ms: float = 0.0
    times: float = 1.0
    most: float = 0.0


class Workers(msgspec.Struct, frozen=True):
    """How workers behave in time."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class NextStateLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will have later, without notice; None: as they are now."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct, frozen=True, omit_defaults=True):
    """Limits of the state service, shared by all controllers."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: NextStateLimits | None = None

    def lasting(self) -> StateLimits:
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
    list_lag_s: float


class MachineLimits(msgspec.Struct, frozen=True):
    """What one controller process may use."""

    core_share: float = 1.0
    mem_mb: float = 256.0
    sockets: float = 512.0


class Cluster(msgspec.Struct, frozen=True):
    """Everything that all controllers share."""

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
        return sorted([self.node, *(p.node for p in self.others)])


def split_addr(addr: str) -> tuple[str, int]:
    """Split ``host:port``; raise ValueError when it is not of that form."""
    host, colon, port = addr.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address of the form host:port: {addr!r}")
    return host, int(port)


def _check(s: Settings) -> None:
    _check_nodes(s)
    _check_numbers(s.cluster)
    _check_teams(s.cluster)
    _check_split(s)


def _check_nodes(s: Settings) -> None:
    addrs = [
        ("public_addr", s.public_addr),
        ("cluster_listen", s.cluster_listen),
        ("external.cloud", s.external.cloud),
        ("external.state", s.external.state),
    ]
    addrs += [(f"others[{i}].address", p.address) for i, p in enumerate(s.others)]
    for name, addr in addrs:
        try:
            split_addr(addr)
        except ValueError as e:
            raise SettingsError(f"{name}: {e}") from None
    if not s.node:
        raise SettingsError("node: must not be empty")
    if len(set(s.nodes)) != len(s.nodes):
        raise SettingsError("others: node names must be unique")


def _check_numbers(c: Cluster) -> None:
    if c.size < 1:
        raise SettingsError("cluster.size: must be at least 1")
    positive = [
        ("cluster.workers.report_s", c.workers.report_s),
        ("cluster.workers.lease_s", c.workers.lease_s),
        ("cluster.workers.gang_wait_s", c.workers.gang_wait_s),
        ("cluster.workers.gang_peer_s", c.workers.gang_peer_s),
        ("cluster.workers.cancel_s", c.workers.cancel_s),
        ("cluster.state.rps", c.state.rps),
        ("cluster.state.write_rps", c.state.write_rps),
        ("cluster.state.value_kb", c.state.value_kb),
        ("cluster.state.txn_ops", c.state.txn_ops),
        ("cluster.cloud.rps", c.cloud.rps),
        ("cluster.machine_limits.core_share", c.machine_limits.core_share),
        ("cluster.machine_limits.mem_mb", c.machine_limits.mem_mb),
        ("cluster.machine_limits.sockets", c.machine_limits.sockets),
    ]
    for name, value in positive:
        if not (math.isfinite(value) and value > 0):
            raise SettingsError(f"{name}: must be a number above 0")
    for name, value in (
        ("cluster.skew_ms", c.skew_ms),
        ("cluster.cloud.list_lag_s", c.cloud.list_lag_s),
    ):
        if not (math.isfinite(value) and value >= 0):
            raise SettingsError(f"{name}: must be a number of 0 or more")
    _check_next_limits(c.state.next or NextStateLimits())
    for name, operations in _transaction_limits(c.state):
        if operations < MIN_OPS:
            raise SettingsError(f"{name}: must be at least {MIN_OPS}")
    if c.workers.lease_s < 2 * c.workers.report_s:
        raise SettingsError("cluster.workers.lease_s: must be at least twice report_s")


def _check_next_limits(later: NextStateLimits) -> None:
    for name in later.__struct_fields__:
        value = getattr(later, name)
        if value is not None and not (math.isfinite(value) and value > 0):
            raise SettingsError(f"cluster.state.next.{name}: must be a number above 0")


def _transaction_limits(state: StateLimits) -> list[tuple[str, int]]:
    """The limits of changes in one transaction, now and later, by the names of their settings."""
    limits = [("cluster.state.txn_ops", state.txn_ops)]
    if state.next is not None and state.next.txn_ops is not None:
        limits.append(("cluster.state.next.txn_ops", state.next.txn_ops))
    return limits


def _check_teams(c: Cluster) -> None:
    seen: set[str] = set()
    for i, t in enumerate(c.teams):
        if t.name in seen:
            raise SettingsError(f"cluster.teams[{i}].name: {t.name!r} appears twice")
        seen.add(t.name)
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            v = getattr(t, field)
            if not (math.isfinite(v) and v >= 0):
                raise SettingsError(f"cluster.teams[{i}].{field}: must be a number of 0 or more")


def _check_split(s: Settings) -> None:
    """The split record is one value: parts and teams must fit into it."""
    from marblestair.core.leadership import shard_map

    c = s.cluster
    if c.size > MAX_PARTS:
        raise SettingsError(f"cluster.size: must be at most {MAX_PARTS}")
    record = shard_map.initial_shard_map(c.size, c.teams)
    for p in record.shards:
        p.leader, p.incarnation = max(s.nodes, key=len), 1 << 56
        p.term = p.acquired_term = 1 << 32
        # A part's share may come to be the whole of a limit.
        for share in p.quotas.values():
            share[:] = [1 << 40, 1 << 40]
    size = len(msgspec.msgpack.encode(record))
    if size > c.state.lasting().value_kb * 1024:
        is_later = size <= c.state.value_kb * 1024
        limit = "cluster.state.next.value_kb" if is_later else "cluster.state.value_kb"
        raise SettingsError(
            f"cluster.teams: with {c.size} parts they take {size} bytes of state, more than"
            f" {limit} allows"
        )


def parse(data: dict[str, Any]) -> Settings:
    """Build checked settings from a parsed TOML table.

    The limits of the state service in them are those that hold now and later: everything is
    written within both from the start, since the later ones come without notice.
    """
    try:
        s = msgspec.convert(data, Settings)
    except msgspec.ValidationError as e:
        text = str(e)
        what, _, where = text.rpartition(" - at `$")
        raise SettingsError(f"{where.strip('`.') or 'settings'}: {what or text}") from None
    _check(s)
    cluster = msgspec.structs.replace(s.cluster, state=s.cluster.state.lasting())
    return msgspec.structs.replace(s, cluster=cluster)


def load(path: str) -> Settings:
    """Read and check a settings file."""
    try:
        with open(path, "rb") as f:
            data = tomllib.load(f)
    except OSError as e:
        raise SettingsError(f"{path}: {e.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise SettingsError(f"{path}: {e}") from None
    return parse(data)
