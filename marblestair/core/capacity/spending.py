"""Where the money of a part goes, for its log."""

from __future__ import annotations

from marblestair.core.runtime.context import NodeContext
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard

#: seconds between two log lines of a part
LOG_S = 60.0
#: a pause longer than this, as after a takeover, is not counted in full
LONGEST_PAUSE_S = 5.0
SECONDS_PER_HOUR = 3600.0


class Spending:
    """The money spent by the parts of one node, by kind of use, since it was last logged."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._spent: dict[int, dict[str, float]] = {}
        self._accounted_at: dict[int, float] = {}
        self._logged_at: dict[int, float] = {}

    def account(self, shard: Shard) -> None:
        """Count what a part's machines cost since the last call; about once a minute, log it."""
        now = self._context.now
        pause_s = min(LONGEST_PAUSE_S, now - self._accounted_at.get(shard.shard_id, now))
        self._accounted_at[shard.shard_id] = now
        spent = self._spent.setdefault(shard.shard_id, {})
        for machine in shard.machines.values():
            _add(spent, machine, pause_s)
        if (
            now - self._logged_at.setdefault(shard.shard_id, now) >= LOG_S
            and sum(spent.values()) > 0
        ):
            self._logged_at[shard.shard_id] = now
            self._log(shard, spent)
            spent.clear()

    def _log(self, shard: Shard, spent: dict[str, float]) -> None:
        total = sum(spent.values())
        uses = ", ".join(f"{use} {money / total:.2f}" for use, money in sorted(spent.items()))
        waiting = sum(len(job_slice.pending) for job_slice in shard.slices.values())
        self._context.log(
            "info",
            f"part {shard.shard_id}: {len(shard.machines)} machines,"
            f" {waiting} tasks waiting, spent {total:.3f}: {uses}",
        )


def _add(spent: dict[str, float], machine: Machine, pause_s: float) -> None:
    """Divide what one machine cost by what its cpus were used for."""
    if machine.machine_type is None:
        return
    price = machine.machine_type.spot_price if machine.spot else machine.machine_type.price
    money = price * pause_s / SECONDS_PER_HOUR
    if not machine.agent_incarnation or machine.is_silent:
        spent["boot"] = spent.get("boot", 0.0) + money
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
        spent[use] = spent.get(use, 0.0) + money * cpus / size
