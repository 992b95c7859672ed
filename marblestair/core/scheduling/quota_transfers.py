"""Moves of room under a team's limit from a part that has it to one that lacks it.

Room is lowered in the giving part's memory first; then both shares change in one commit, so that
they never add up to more than the limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marblestair.core.capacity.shard_summary import summarise
from marblestair.core.domain.model import GANG
from marblestair.core.leadership import shard_map
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys

if TYPE_CHECKING:
    from marblestair.core.controller import Controller
    from marblestair.core.runtime.outbox import ShardSummary

#: seconds for which what a part told of its wants counts
FRESH_S = 3.0
#: commits tried for one move, unless one of them is in doubt
MOST_TRIES = 5


class QuotaTransfers:
    """The room that one node's parts give away."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller

    def rebalance(self, acting: list[Shard]) -> None:
        """Give room under a team's limit to a part that lacks it, one move at a time."""
        controller = self._controller
        record = controller.view.split
        if controller.lowered or record is None:
            return
        for part in acting:
            if part.suspects:
                continue
            for number, (told_at, summary) in sorted(controller.summaries.items()):
                if number == part.number or controller.now - told_at > FRESH_S:
                    continue
                if summary.term == record.parts[number].term and self._give_one(part, summary):
                    return

    def _give_one(self, part: Shard, other: ShardSummary) -> bool:
        """Begin to give the first room that another part lacks and this one can spare."""
        controller = self._controller
        told = controller.summaries.get(part.number)
        own = told[1] if told is not None else summarise(controller, part)
        for team, want in (*other.stuck.items(), *other.wants.items()):
            free = self._free(part, team, own, other)
            if free is None:
                continue
            give = [max(0, min(free[i], want[i])) for i in range(2)]
            if give[0] or give[1]:
                controller.lowered[(part.number, team)] = give
                controller.spawn(self.give_room(part, other.part, team, give))
                return True
        return False

    def _free(
        self, part: Shard, team: str, own: ShardSummary, other: ShardSummary
    ) -> list[int] | None:
        """Room that a part can spare for another; None when it gives none of this team's."""
        used, share = part.usage(team), self._controller.share(part, team)
        free = [share[i] - used[i] for i in range(2)]
        if team in other.stuck:
            # One of two parts that are both stuck must give way.
            gives_way = team not in own.stuck or part.number > other.part
            return free if gives_way else None
        if own.wants.get(team) is not None or team in own.stuck:
            return None
        kept = self._pending(part, team)
        return [free[i] - kept[i] for i in range(2)]

    def largest_gang(self, part: Shard, team: str) -> int:
        """Return what the largest of a team's waiting gangs here needs of the share.

        Given to another part, it would only have to be given back.
        """
        return max(
            (
                len(s.pending) * s.need[0]
                for s in part.slices.values()
                if s.spec.team == team and s.spec.kind == GANG and not s.cancelled
            ),
            default=0,
        )

    def _pending(self, part: Shard, team: str) -> list[int]:
        """What a team's waiting tasks in a part will need of the share."""
        needs = [0, 0]
        for s in part.slices.values():
            if s.spec.team == team and not s.cancelled:
                needs[0] += len(s.pending) * s.need[0]
                needs[1] += len(s.pending) * s.need[1]
        return needs

    def give_room(self, part: Shard, target: int, team: str, give: list[int]) -> Coroutine:
        """Change both shares in one commit; the room was lowered here already."""
        controller = self._controller
        try:
            doubt = -1
            tries = 0
            while True:
                tries += 1
                record = controller.view.split
                version = controller.view.version(keys.SPLIT)
                if record is None or controller.parts.get(part.number) is not part:
                    return
                if doubt >= 0 and doubt != version:
                    # Whatever was sent has been applied or cannot be any more.
                    return
                share = record.parts[part.number].shares.get(team, [0, 0])
                too_much = give[0] > share[0] or give[1] > share[1]
                if doubt < 0 and (too_much or tries > MOST_TRIES):
                    return
                new = shard_map.shift(record, part.number, target, team, give[0], give[1])
                guards = [controller.fence(part.number)]
                moved = yield from controller.authority.commit_split(new, [], guards, version)
                if moved:
                    return
                if moved is None:
                    doubt = version
                    yield from controller.authority.refresh_split()
                yield Sleep(0.1 + 0.2 * controller.rng.random())
        finally:
            controller.lowered.pop((part.number, team), None)
