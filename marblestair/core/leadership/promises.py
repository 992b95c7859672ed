"""Promises between controllers, which replace lease renewals while the store is unavailable.

During an outage of the store, a leader asks every other controller to promise not to take its
shards over for the duration of a lease. The leader may act beyond its own lease only if every other
controller promises and the leader is still authorized to act when the last reply arrives. A
controller refuses, for example, while its own lease renewals succeed or a failover of its own is
pending. A missing reply counts as a refusal. A reply that grants a promise contains the committed
cancels that the leader's view may lack.
"""

from __future__ import annotations

from typing import Protocol

from marblestair.core.domain.clocks import MAX_CLOCK_DRIFT_FRACTION
from marblestair.core.leadership.failover import Failover
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.promise_ledger import PromiseLedger
from marblestair.core.leadership.store_lease import TIMER_MARGIN_S, StoreLease
from marblestair.core.messaging.messages import RequestPromise
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.runtime.requests import PeerRequest, Sleep
from marblestair.core.state.store_view import StoreView

#: how often a node checks whether it needs promises: number of checks per duration of a lease
CHECKS_PER_LEASE = 8
#: maximum remaining validity of the promises at which new ones are requested, as a share of a lease
RENEWAL_LEASE_SHARE = 0.6
#: maximum time to wait for another controller's reply
REPLY_TIMEOUT_S = 0.5


class CommittedCancels(Protocol):
    """The committed cancels that one node knows of."""

    def record(self, job: str, revision: int) -> object:
        """Apply a cancel that the job's record contained at store revision ``revision``."""

    def entries_after(self, revision: int) -> list[list[object]] | None:
        """Return the cancels that a view at ``revision`` may lack, or None if there are too many.

        Each cancel is a pair of a job and a revision at which the job's record contained it.
        """


class Promises:
    """Requests and grants promises on behalf of one node."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        view: StoreView,
        lease: StoreLease,
        ledger: PromiseLedger,
        leadership: Leadership,
        failover: Failover,
        cancels: CommittedCancels,
    ) -> None:
        self._context = context
        self._view = view
        self._lease = lease
        self._ledger = ledger
        self._leadership = leadership
        self._failover = failover
        self._cancels = cancels

    # --- requests --------------------------------------------------------------------------

    def maintain(self) -> Coroutine[None]:
        """Request promises of all other controllers while the lease renewal is overdue.

        Requests none while this node has no shards, may not act for its shards, or holds promises
        that stay valid for long enough (``RENEWAL_LEASE_SHARE``). Never returns.
        """
        while True:
            yield Sleep(self._lease.ttl_s / CHECKS_PER_LEASE)
            if self._should_request(self._context.now):
                yield from self._request_promises()

    def _should_request(self, now: float) -> bool:
        if not self._leadership.shards or not self._context.settings.others:
            return False
        if not self._lease.is_renewal_overdue or not self._leadership.is_authorized(now):
            return False
        remaining_s = self._ledger.remaining_s(now)
        return remaining_s is None or remaining_s <= RENEWAL_LEASE_SHARE * self._lease.ttl_s

    def _request_promises(self) -> Coroutine[None]:
        """Request promises of all other controllers, one after the other.

        The promises count only if every other controller grants one and this node is still
        authorized to act afterwards. Their validity is counted from the time of the first request.
        """
        requested_at = self._context.now
        for peer in self._context.settings.others:
            request = RequestPromise(*self._context.identity, self._view.revision)
            entries = yield PeerRequest(peer.node, request, REPLY_TIMEOUT_S)
            if not isinstance(entries, list):
                return
            for job, revision in entries:
                self._cancels.record(str(job), int(revision))
        if not self._leadership.is_authorized(self._context.now):
            return
        were_valid = self._ledger.are_valid(requested_at)
        self._ledger.extend(
            requested_at + self._lease.ttl_s * (1 - MAX_CLOCK_DRIFT_FRACTION) - TIMER_MARGIN_S
        )
        if not were_valid:
            self._context.log(
                "info", "lease renewal is overdue: acting on promises of all other controllers"
            )

    # --- grants ----------------------------------------------------------------------------

    def grant(self, request: RequestPromise) -> list[list[object]] | None:
        """Promise not to take the asking node's shards over for the duration of a lease.

        Returns the cancels that a view at the asking node's revision may lack. Returns None and
        promises nothing if this node may not promise or there are too many such cancels. The asking
        node counts the promise only after it has applied these cancels. A leader that acts on
        promises has therefore applied each cancel that any other node can have confirmed.
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
