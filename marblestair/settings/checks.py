"""Checks of the values of settings; each error names the field and its value."""

from __future__ import annotations

import math

import msgspec

from marblestair.core.domain.settings import Cluster, NextStateLimits, Settings, StateLimits
from marblestair.core.state.records import ShardMap, ShardRecord
from marblestair.settings.addresses import split_address

#: smallest permitted limit of changes in one transaction; one more than the two changes that a
#: failover of one shard and the end of a job each need
MIN_TRANSACTION_CHANGES = 3
#: maximum number of shards; a larger number is probably a mistake in the settings file
MAX_SHARDS = 100
#: minimum duration of an agent's lease, in heartbeat intervals
MIN_LEASE_INTERVALS = 2

BYTES_PER_KB = 1024
#: numbers that are encoded in at least as many bytes of MessagePack as any real incarnation, term
#: or quota
LARGE_INCARNATION, LARGE_TERM, LARGE_QUOTA = 1 << 56, 1 << 32, 1 << 40


class SettingsError(Exception):
    """The settings are invalid; the text is one line and names the field or the file."""


def check_settings(settings: Settings) -> None:
    """Check the constraints that the types do not express.

    Raises
    ------
    SettingsError
        For the first field whose value is invalid.
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
        raise SettingsError(f"node: must not be empty, got {settings.node!r}")
    if len(set(settings.nodes)) != len(settings.nodes):
        raise SettingsError(
            f"others: node names must be unique and differ from node, got {settings.nodes!r:.40}"
        )


def _check_numbers(cluster: Cluster) -> None:
    if cluster.size < 1:
        raise SettingsError(
            f"cluster.size: must be from 1 to {MAX_SHARDS}, got {cluster.size!r:.40}"
        )
    for name, value in _positive_numbers(cluster):
        if not _is_positive(value):
            raise SettingsError(f"{name}: must be a finite number above 0, got {value!r:.40}")
    for name, value in (
        ("cluster.skew_ms", cluster.skew_ms),
        ("cluster.cloud.list_lag_s", cluster.cloud.list_lag_s),
    ):
        if not _is_not_negative(value):
            raise SettingsError(f"{name}: must be a finite number of at least 0, got {value!r:.40}")
    _check_next_limits(cluster.state.next or NextStateLimits())
    for name, changes in _transaction_limits(cluster.state):
        if changes < MIN_TRANSACTION_CHANGES:
            raise SettingsError(
                f"{name}: must be at least {MIN_TRANSACTION_CHANGES}, got {changes!r:.40}"
            )
    if cluster.workers.lease_s < MIN_LEASE_INTERVALS * cluster.workers.report_s:
        raise SettingsError(
            f"cluster.workers.lease_s: must be at least {MIN_LEASE_INTERVALS} times"
            f" cluster.workers.report_s ({cluster.workers.report_s!r:.40}),"
            f" got {cluster.workers.lease_s!r:.40}"
        )


def _positive_numbers(cluster: Cluster) -> list[tuple[str, float]]:
    """Return the names and values of the settings that must be above 0."""
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


def _check_next_limits(next_limits: NextStateLimits) -> None:
    for name in next_limits.__struct_fields__:
        value = getattr(next_limits, name)
        if value is not None and not _is_positive(value):
            raise SettingsError(
                f"cluster.state.next.{name}: must be a finite number above 0, got {value!r:.40}"
            )


def _transaction_limits(state: StateLimits) -> list[tuple[str, int]]:
    """Return the names and values of the current and the next limit of changes in a transaction."""
    limits = [("cluster.state.txn_ops", state.txn_ops)]
    if state.next is not None and state.next.txn_ops is not None:
        limits.append(("cluster.state.next.txn_ops", state.next.txn_ops))
    return limits


def _check_teams(cluster: Cluster) -> None:
    names: set[str] = set()
    for index, team in enumerate(cluster.teams):
        if team.name in names:
            raise SettingsError(
                f"cluster.teams[{index}].name: must be unique, got {team.name!r:.40} again"
            )
        names.add(team.name)
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            if not _is_not_negative(getattr(team, field)):
                raise SettingsError(
                    f"cluster.teams[{index}].{field}: must be a finite number of at least 0,"
                    f" got {getattr(team, field)!r:.40}"
                )


def _check_shard_map_size(settings: Settings) -> None:
    """Check that the shard map, stored as one value, cannot exceed the store's value size limit."""
    cluster = settings.cluster
    if cluster.size > MAX_SHARDS:
        raise SettingsError(
            f"cluster.size: must be from 1 to {MAX_SHARDS}, got {cluster.size!r:.40}"
        )
    size = len(msgspec.msgpack.encode(_largest_shard_map(settings)))
    if size > cluster.state.strictest().value_kb * BYTES_PER_KB:
        is_later = size <= cluster.state.value_kb * BYTES_PER_KB
        limit = "cluster.state.next.value_kb" if is_later else "cluster.state.value_kb"
        raise SettingsError(
            f"cluster.teams: the shard map of {len(cluster.teams)} teams and {cluster.size} shards"
            f" (cluster.size) may take {size} bytes, more than {limit} allows"
            f" ({cluster.state.strictest().value_kb:g} KiB)"
        )


def _largest_shard_map(settings: Settings) -> ShardMap:
    """Return a shard map whose encoding is at least as long as any that this cluster may store.

    Any node may lead a shard, and a shard's quota may grow to a team's whole limit.
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
