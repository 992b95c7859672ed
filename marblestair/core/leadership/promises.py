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
        self._leadership = authority
        #: node -> until when its parts are not taken
        self._granted_until: dict[str, float] = {}
        #: until when promises of all the others stand in for the lease
        self.valid_until = -1e9

    # --- held ------------------------------------------------------------------------------

    def are_held(self, now: float) -> bool:
        """Whether all the others have promised not to take this node's parts."""
        return now < self.valid_until

    def maintain(self) -> Coroutine:
        """While the lease cannot be renewed, ask all the others for promises."""
        while True:
            yield Sleep(self._leadership.lease_ttl_s / LOOKS_PER_LEASE)
            if self._should_request(self._controller.now):
                yield from self._request_all()

    def _should_request(self, now: float) -> bool:
        if not self._controller.shards or not self._controller.settings.others:
            return False
        if not self._leadership.renewal_overdue or not self._leadership.is_authorized(now):
            return False
        return self.valid_until - now <= ENOUGH * self._leadership.lease_ttl_s

    def _request_all(self) -> Step:
        """Ask all the others, and count their promises from before the first was asked."""
        controller = self._controller
        asked_at = controller.now
        for peer in controller.settings.others:
            ask = [controller.node, controller.incarnation, controller.view.revision]
            entries = yield PeerRequest(peer.node, "promise", ask, ASK_S)
            if not isinstance(entries, list):
                return
            for job, rev in entries:
                controller.cancellations.record(str(job), int(rev))
        if not self._leadership.is_authorized(controller.now):
            return
        was_held = self.are_held(asked_at)
        until = asked_at + self._leadership.lease_ttl_s * (1 - DRIFT) - MARGIN_S
        self.valid_until = max(self.valid_until, until)
        if not was_held:
            controller.log("info", "the state service is out of reach: acting on promises")

    # --- given -----------------------------------------------------------------------------

    def grant(self, node: str, incarnation: int, rev: int) -> list[list[Any]] | None:
        """Promise not to take a node's parts for a lease's time, unless this node might.

        With the promise go the cancels that a view of the asker's revision may lack; it counts
        the promise only after it has applied them. So an owner that acts on promises has applied
        each cancel that any other node can have confirmed. None: no promise.
        """
        controller = self._controller
        authority = self._leadership
        if (
            controller.view.shard_map is None
            or not authority.is_started
            or not authority.is_renewal_failing
        ):
            return None
        if authority.is_failover_pending or controller.view.nodes.get(node) != incarnation:
            return None
        entries = controller.cancellations.entries_after(rev)
        if entries is None:
            return None
        self._granted_until[node] = controller.now + authority.lease_ttl_s
        controller.decisions.note(
            controller.now,
            Decision.PROMISE,
            "given",
            to=node,
            asker_rev=rev,
            view_rev=controller.view.revision,
            cancels=len(entries),
        )
        return entries

    def may_be_relied_on(self, node: str, now: float) -> bool:
        """Whether a node may be acting on a promise given here, also before a restart."""
        since_start = now - self._controller.started_at
        return (
            now < self._granted_until.get(node, -1e9) or since_start < self._leadership.lease_ttl_s
        )
