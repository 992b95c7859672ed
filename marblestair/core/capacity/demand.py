"""What the waiting work of a part lacks under its teams' limits.

Each part holds a share of every team's limit. What a part lacks is told to the other owners, which
give it room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from marblestair.core.domain.model import GANG
from marblestair.core.shard.job_slice import JobSlice
from marblestair.core.shard.shard import Shard

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: cpus and gpus of a team, in fixed point
Amounts = list[int]


class Demand(msgspec.Struct):
    """What waits in one part."""

    #: cpus of all waiting tasks
    backlog_cpus: int
    #: team -> what its waiting tasks lack in this part's share
    lacking_quota: dict[str, Amounts]
    #: team -> what the whole share must hold for the first waiting unit (a task, or a gang) that
    #: it is too small for
    starved_teams: dict[str, Amounts]


def demanded_tasks(controller: Controller, s: JobSlice) -> int:
    """Count the tasks of a slice that room is wanted for.

    A job that probably fails on every machine wants room for one task at a time; such a gang
    wants none and tries where there is room.
    """
    n = len(s.pending)
    if n and controller.failures.is_quarantined(s.spec.id):
        return int(s.spec.kind != GANG and not s.placed_on)
    return n


def measure_demand(controller: Controller, part: Shard) -> Demand:
    """Go through a part's waiting slices."""
    demand = Demand(0, {}, {})
    for s in part.slices.values():
        n = demanded_tasks(controller, s)
        if not n or s.is_cancelled:
            continue
        demand.backlog_cpus += n * s.resources[0]
        _add(demand.lacking_quota, s, n)
        unit = n if s.spec.kind == GANG else 1
        share = controller.quota(part, s.spec.team)
        if unit * s.resources[0] > share[0] or unit * s.resources[1] > share[1]:
            demand.starved_teams.setdefault(
                s.spec.team, [unit * s.resources[0], unit * s.resources[1]]
            )
    demand.lacking_quota = _lacking(controller, part, demand.lacking_quota)
    return demand


def _add(totals: dict[str, Amounts], s: JobSlice, tasks: int) -> None:
    total = totals.setdefault(s.spec.team, [0, 0])
    total[0] += tasks * s.resources[0]
    total[1] += tasks * s.resources[1]


def _lacking(controller: Controller, part: Shard, totals: dict[str, Amounts]) -> dict[str, Amounts]:
    """What of the teams' totals is more than their shares leave free here."""
    out = {}
    for team, total in totals.items():
        used, share = part.usage(team), controller.quota(part, team)
        lack = [max(0, total[i] - max(0, share[i] - used[i])) for i in range(2)]
        if any(lack):
            out[team] = lack
    return out
