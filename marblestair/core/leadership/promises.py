"""Promises between controllers, which stand in for a lease that nobody can renew.

While the state service is out, an owner asks all the other controllers not to take its parts for
the time of a lease. Only promises of every other node let it act beyond its own lease, and only
without a gap: a node that can still take over gives none, and one that does not answer gives none.
With a promise come the cancels that the asker's view may lack.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from marblestair.core.runtime.coroutines import Coroutine, Step
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.runtime.requests import PeerRequest, Sleep
from marblestair.core.shard.shard import DRIFT

if TYPE_CHECKING:
    from marblestair.core.controller import Controller
    from marblestair.core.leadership.leadership import Leadership

#: pauses between two looks whether promises are needed, in one lease
LOOKS_PER_LEASE = 8
#: share of a lease for which held promises must last, or new ones are asked for
ENOUGH = 0.6
#: time for another controller to answer
ASK_S = 0.5
#: allowance for timers that fire late
MARGIN_S = 0.05


class Promises:
    """The promises that one node has given and holds."""

    def __init__(self, controller: Controller, authority: Leadership) -> None:
        self._controller = controller
        self._authority = authority
        #: node -> until when its parts are not taken
        self._given: dict[str, float] = {}
        #: until when promises of all the others stand in for the lease
        self.held_until = -1e9

    # --- held ------------------------------------------------------------------------------

    def hold(self, now: float) -> bool:
        """Whether all the others have promised not to take this node's parts."""
        return now < self.held_until

    def keep(self) -> Coroutine:
        """While the lease cannot be renewed, ask all the others for promises."""
        while True:
            yield Sleep(self._authority.ttl / LOOKS_PER_LEASE)
            if self._are_needed(self._controller.now):
                yield from self._ask_all()

    def _are_needed(self, now: float) -> bool:
        if not self._controller.parts or not self._controller.settings.others:
            return False
        if not self._authority.renewal_overdue or not self._authority.holds(now):
            return False
        return self.held_until - now <= ENOUGH * self._authority.ttl

    def _ask_all(self) -> Step:
        """Ask all the others, and count their promises from before the first was asked."""
        controller = self._controller
        asked_at = controller.now
        for peer in controller.settings.others:
            ask = [controller.node, controller.incarnation, controller.view.rev]
            entries = yield PeerRequest(peer.node, "promise", ask, ASK_S)
            if not isinstance(entries, list):
                return
            for job, rev in entries:
                controller.cancels.learn(str(job), int(rev))
        if not self._authority.holds(controller.now):
            return
        was_held = self.hold(asked_at)
        until = asked_at + self._authority.ttl * (1 - DRIFT) - MARGIN_S
        self.held_until = max(self.held_until, until)
        if not was_held:
            controller.log("info", "the state service is out of reach: acting on promises")

    # --- given -----------------------------------------------------------------------------

    def give(self, node: str, incarnation: int, rev: int) -> list[list[Any]] | None:
        """Promise not to take a node's parts for a lease's time, unless this node might.

        With the promise go the cancels that a view of the asker's revision may lack; it counts
        the promise only after it has applied them. So an owner that acts on promises has applied
        each cancel that any other node can have confirmed. None: no promise.
        """
        controller = self._controller
        authority = self._authority
        if controller.view.split is None or not authority.booted or not authority.failing:
            return None
        if authority.may_be_taking or controller.view.nodes.get(node) != incarnation:
            return None
        entries = controller.cancels.later_than(rev)
        if entries is None:
            return None
        self._given[node] = controller.now + authority.ttl
        controller.decisions.note(
            controller.now,
            Decision.PROMISE,
            "given",
            to=node,
            asker_rev=rev,
            view_rev=controller.view.rev,
            cancels=len(entries),
        )
        return entries

    def bind(self, node: str, now: float) -> bool:
        """Whether a node may be acting on a promise given here, also before a restart."""
        since_start = now - self._controller.started
        return now < self._given.get(node, -1e9) or since_start < self._authority.ttl
