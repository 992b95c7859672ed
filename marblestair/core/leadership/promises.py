"""Promises between controllers, which stand in for a lease that nobody can renew.

While the store is out, a leader asks all the other controllers not to take its shards over for the
time of a lease. Only promises of every other node let it act beyond its own lease, and only
without a gap: a node that can still take over gives none, and one that does not answer gives none.
With a promise come the cancels that the asker's view may lack.
"""

from __future__ import annotations

from typing import Protocol

from marblestair.core.domain.clocks import MAX_CLOCK_DRIFT_FRACTION
from marblestair.core.leadership.failover import Failover
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.promise_ledger import PromiseLedger
from marblestair.core.leadership.store_lease import MARGIN_S, StoreLease
from marblestair.core.messaging.messages import RequestPromise
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.runtime.requests import PeerRequest, Sleep
from marblestair.core.state.store_view import StoreView

#: how often in one lease it is checked whether promises are needed
CHECKS_PER_LEASE = 8
#: share of a lease for which promises must last, or new ones are requested
ENOUGH = 0.6
#: time for another controller to reply, in seconds
REPLY_S = 0.5


class CancelEntries(Protocol):
    """The committed cancels that a node knows of."""

    def record(self, job: str, revision: int) -> object:
        """Apply the cancel of a job, whose record held its entry at a revision."""

    def entries_after(self, revision: int) -> list[list[object]] | None:
        """Pairs of job and revision that a view of some revision may lack; None if too many."""


class Promises:
    """Asks for promises and gives them, on behalf of one node."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        view: StoreView,
        lease: StoreLease,
        ledger: PromiseLedger,
        leadership: Leadership,
        failover: Failover,
        cancels: CancelEntries,
    ) -> None:
        self._context = context
        self._view = view
        self._lease = lease
        self._ledger = ledger
        self._leadership = leadership
        self._failover = failover
        self._cancels = cancels

    # --- requested -------------------------------------------------------------------------

    def maintain(self) -> Coroutine[None]:
        """While the lease cannot be renewed, ask all the others for promises."""
        while True:
            yield Sleep(self._lease.ttl_s / CHECKS_PER_LEASE)
            if self._should_request(self._context.now):
                yield from self._request_all()

    def _should_request(self, now: float) -> bool:
        if not self._leadership.shards or not self._context.settings.others:
            return False
        if not self._lease.is_renewal_overdue or not self._leadership.is_authorized(now):
            return False
        remaining_s = self._ledger.remaining_s(now)
        return remaining_s is None or remaining_s <= ENOUGH * self._lease.ttl_s

    def _request_all(self) -> Coroutine[None]:
        """Ask all the others, and count their promises from before the first was asked."""
        requested_at = self._context.now
        for peer in self._context.settings.others:
            request = RequestPromise(*self._context.identity, self._view.revision)
            entries = yield PeerRequest(peer.node, request, REPLY_S)
            if not isinstance(entries, list):
                return
            for job, revision in entries:
                self._cancels.record(str(job), int(revision))
        if not self._leadership.is_authorized(self._context.now):
            return
        were_valid = self._ledger.are_valid(requested_at)
        self._ledger.extend(
            requested_at + self._lease.ttl_s * (1 - MAX_CLOCK_DRIFT_FRACTION) - MARGIN_S
        )
        if not were_valid:
            self._context.log("info", "the store is out of reach: acting on promises")

    # --- given -----------------------------------------------------------------------------

    def grant(self, request: RequestPromise) -> list[list[object]] | None:
        """Promise not to take a node's shards over for a lease's time, unless this node might.

        With the promise go the cancels that a view of the asker's revision may lack; it counts
        the promise only after it has applied them. So a leader that acts on promises has applied
        each cancel that any other node can have confirmed. None: no promise.
        """
        if not self._may_promise(request):
            return None
        entries = self._cancels.entries_after(request.revision)
        if entries is None:
            return None
        now = self._context.now
        self._ledger.grant(request.node, now + self._lease.ttl_s)
        self._context.decisions.log(
            now,
            Decision.PROMISE,
            "given",
            to=request.node,
            asker_rev=request.revision,
            view_rev=self._view.revision,
            cancels=len(entries),
        )
        return entries

    def _may_promise(self, request: RequestPromise) -> bool:
        if self._view.shard_map is None or not self._lease.is_renewal_failing:
            return False
        if self._failover.is_pending:
            return False
        return self._view.nodes.get(request.node) == request.incarnation
