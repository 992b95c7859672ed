"""Checks of settings beyond their types; each error names the field."""

from __future__ import annotations

import math

import msgspec

from marblestair.core.domain.settings import Cluster, NextStateLimits, Settings, StateLimits
from marblestair.core.state.records import ShardMap, ShardRecord
from marblestair.settings.addresses import split_address

#: the least number of changes in one transaction: a failover takes two, the end of a job two
MIN_TRANSACTION_CHANGES = 3
#: more shards than this are a mistake in the file
MAX_SHARDS = 100
#: an agent's lease lasts at least this many heartbeat intervals
MIN_LEASE_INTERVALS = 2

BYTES_PER_KB = 1024
#: numbers that MessagePack encodes no shorter than any incarnation, term or quota that occurs
LARGE_INCARNATION, LARGE_TERM, LARGE_QUOTA = 1 << 56, 1 << 32, 1 << 40


class SettingsError(Exception):
    """A settings file cannot be used; the text is one line and names the field."""


def check_settings(settings: Settings) -> None:
    """Check everything that the types do not express.

    Raises
    ------
    SettingsError
        At the first field that cannot be used.
    """
    _check_nodes(settings)
    _check_numbers(settings.cluster)
    _check_teams(settings.cluster)
    _check_shard_map_size(settings)


def _check_nodes(settings: Settings) -> None:
    addresses = [
        ("public_addr", settings.public_addr),
        ("cluster_listen", settings.cluster_listen),
        ("external.cloud", settings.external.cloud),
        ("external.state", settings.external.state),
    ]
    for index, peer in enumerate(settings.others):
        addresses.append((f"others[{index}].address", peer.address))
    for name, address in addresses:
        try:
            split_address(address)
        except ValueError as error:
            raise SettingsError(f"{name}: {error}") from None
    if not settings.node:
        raise SettingsError("node: must not be empty")
    if len(set(settings.nodes)) != len(settings.nodes):
        raise SettingsError("others: node names must be unique")


def _check_numbers(cluster: Cluster) -> None:
    if cluster.size < 1:
        raise SettingsError("cluster.size: must be at least 1")
    for name, value in _positive_numbers(cluster):
        if not _is_positive(value):
            raise SettingsError(f"{name}: must be a number above 0")
    for name, value in (
        ("cluster.skew_ms", cluster.skew_ms),
        ("cluster.cloud.list_lag_s", cluster.cloud.list_lag_s),
    ):
        if not _is_not_negative(value):
            raise SettingsError(f"{name}: must be a number of 0 or more")
    _check_next_limits(cluster.state.next or NextStateLimits())
    for name, changes in _transaction_limits(cluster.state):
        if changes < MIN_TRANSACTION_CHANGES:
            raise SettingsError(f"{name}: must be at least {MIN_TRANSACTION_CHANGES}")
    if cluster.workers.lease_s < MIN_LEASE_INTERVALS * cluster.workers.report_s:
        raise SettingsError("cluster.workers.lease_s: must be at least twice report_s")


def _positive_numbers(cluster: Cluster) -> list[tuple[str, float]]:
    """The settings that must be above 0, by name, in the order in which they are checked."""
    return [
        ("cluster.workers.report_s", cluster.workers.report_s),
        ("cluster.workers.lease_s", cluster.workers.lease_s),
        ("cluster.workers.gang_wait_s", cluster.workers.gang_wait_s),
        ("cluster.workers.gang_peer_s", cluster.workers.gang_peer_s),
        ("cluster.workers.cancel_s", cluster.workers.cancel_s),
        ("cluster.state.rps", cluster.state.rps),
        ("cluster.state.write_rps", cluster.state.write_rps),
        ("cluster.state.value_kb", cluster.state.value_kb),
        ("cluster.state.txn_ops", cluster.state.txn_ops),
        ("cluster.cloud.rps", cluster.cloud.rps),
        ("cluster.machine_limits.core_share", cluster.machine_limits.core_share),
        ("cluster.machine_limits.mem_mb", cluster.machine_limits.mem_mb),
        ("cluster.machine_limits.sockets", cluster.machine_limits.sockets),
    ]


def _is_positive(value: float) -> bool:
    return math.isfinite(value) and value > 0


def _is_not_negative(value: float) -> bool:
    return math.isfinite(value) and value >= 0


def _check_next_limits(later: NextStateLimits) -> None:
    for name in later.__struct_fields__:
        value = getattr(later, name)
        if value is not None and not _is_positive(value):
            raise SettingsError(f"cluster.state.next.{name}: must be a number above 0")


def _transaction_limits(state: StateLimits) -> list[tuple[str, int]]:
    """The limits of changes in one transaction, now and later, by the names of their settings."""
    limits = [("cluster.state.txn_ops", state.txn_ops)]
    if state.next is not None and state.next.txn_ops is not None:
        limits.append(("cluster.state.next.txn_ops", state.next.txn_ops))
    return limits


def _check_teams(cluster: Cluster) -> None:
    names: set[str] = set()
    for index, team in enumerate(cluster.teams):
        if team.name in names:
            raise SettingsError(f"cluster.teams[{index}].name: {team.name!r} appears twice")
        names.add(team.name)
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            if not _is_not_negative(getattr(team, field)):
                raise SettingsError(
                    f"cluster.teams[{index}].{field}: must be a number of 0 or more"
                )


def _check_shard_map_size(settings: Settings) -> None:
    """The shard map is one value of the store: shards and teams must fit into it."""
    cluster = settings.cluster
    if cluster.size > MAX_SHARDS:
        raise SettingsError(f"cluster.size: must be at most {MAX_SHARDS}")
    size = len(msgspec.msgpack.encode(_largest_shard_map(settings)))
    if size > cluster.state.strictest().value_kb * BYTES_PER_KB:
        is_later = size <= cluster.state.value_kb * BYTES_PER_KB
        limit = "cluster.state.next.value_kb" if is_later else "cluster.state.value_kb"
        raise SettingsError(
            f"cluster.teams: with {cluster.size} parts they take {size} bytes of state, more than"
            f" {limit} allows"
        )


def _largest_shard_map(settings: Settings) -> ShardMap:
    """A shard map as large as any that the deployment can come to store.

    Any node may lead a shard, and a shard's quota may become the whole of a team's limit.
    """
    leader = max(settings.nodes, key=len)
    shards = [
        ShardRecord(
            leader=leader,
            incarnation=LARGE_INCARNATION,
            term=LARGE_TERM,
            quotas={team.name: [LARGE_QUOTA, LARGE_QUOTA] for team in settings.cluster.teams},
            acquired_term=LARGE_TERM,
        )
        for _ in range(settings.cluster.size)
    ]
    return ShardMap(0, shards)
