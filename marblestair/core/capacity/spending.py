"""Accounting of what a shard's machines cost for each use (running, booting, idle), for the log."""

from __future__ import annotations

from marblestair.core.runtime.context import NodeContext
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard

#: minimum interval between two log lines of a shard, in seconds
COST_LOG_INTERVAL_S = 60.0
#: maximum time that one call of ``account`` accounts for, in seconds; more time may have passed
#: since the last call if another node led the shard in between
MAX_ACCOUNTED_S = 5.0
SECONDS_PER_HOUR = 3600.0


class Spending:
    """Sums up the cost of one node's shards by use, and logs it periodically."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        #: shard -> use -> cost since the last log line
        self._spent: dict[int, dict[str, float]] = {}
        #: shard -> monotonic time of the last call of ``account``, and of the last log line
        self._accounted_at: dict[int, float] = {}
        self._logged_at: dict[int, float] = {}

    def account(self, shard: Shard) -> None:
        """Add the cost of a shard's machines since the shard's last call; log it once a minute."""
        now = self._context.now
        elapsed_s = min(MAX_ACCOUNTED_S, now - self._accounted_at.get(shard.shard_id, now))
        self._accounted_at[shard.shard_id] = now
        spent = self._spent.setdefault(shard.shard_id, {})
        for machine in shard.machines.values():
            _add(spent, machine, elapsed_s)
        if (
            now - self._logged_at.setdefault(shard.shard_id, now) >= COST_LOG_INTERVAL_S
            and sum(spent.values()) > 0
        ):
            self._logged_at[shard.shard_id] = now
            self._log(shard, spent)
            spent.clear()

    def _log(self, shard: Shard, spent: dict[str, float]) -> None:
        total = sum(spent.values())
        uses = ", ".join(f"{use} {cost / total:.2f}" for use, cost in sorted(spent.items()))
        pending = sum(len(job_slice.pending) for job_slice in shard.slices.values())
        self._context.log(
            "info",
            f"machine cost: shard={shard.shard_id} machines={len(shard.machines)}"
            f" pending_tasks={pending} cost={total:.3f}, shares by use: {uses}",
        )


def _add(spent: dict[str, float], machine: Machine, elapsed_s: float) -> None:
    """Add the cost of one machine, divided among the uses of its cpus.

    The uses are ``run`` for running tasks, ``start`` for starting ones, and ``spare`` or ``idle``
    for free cpus of a machine with or without tasks. The whole cost counts as ``boot`` if the
    machine has sent no heartbeat yet or its lease has expired.
    """
    if machine.machine_type is None:
        return
    price = machine.machine_type.spot_price if machine.spot else machine.machine_type.price
    cost = price * elapsed_s / SECONDS_PER_HOUR
    if not machine.agent_incarnation or machine.is_lease_expired:
        spent["boot"] = spent.get("boot", 0.0) + cost
        return
    running = sum(
        task.resources[0] for task in machine.tasks.values() if task.running_since is not None
    )
    starting = sum(
        task.resources[0] for task in machine.tasks.values() if task.running_since is None
    )
    size = max(1, machine.machine_type.capacity[0])
    left = "spare" if machine.tasks else "idle"
    uses = (("run", running), ("start", starting), (left, max(0, size - running - starting)))
    for use, cpus in uses:
        spent[use] = spent.get(use, 0.0) + cost * cpus / size
