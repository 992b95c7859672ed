"""The node's lease in the store, and the node key that is deleted when the lease expires.

The node counts the lease's duration, by its own monotonic clock, from when it sent the grant or
renewal request. It subtracts an allowance for clock drift and late timers. The store counts from
its later receipt of the request, so by the node's count the lease never expires later than at the
store.
"""

from __future__ import annotations

import msgspec

from marblestair.core.domain.clocks import MAX_CLOCK_DRIFT_FRACTION
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    GrantLease,
    Put,
    RenewLease,
    RequestPriority,
    StoreResponse,
)
from marblestair.core.state import keys
from marblestair.core.state.store_follower import StoreFollower
from marblestair.core.state.store_view import StoreView

#: duration of a node's lease, as a share of an agent's lease; a failover must finish before agents'
#: leases expire
AGENT_LEASE_SHARE = 0.4
#: bounds of the duration of a node's lease
MIN_LEASE_S, MAX_LEASE_S = 0.5, 600.0
#: number of renewals per duration of a lease, and number of tries per duration of a lease while
#: requests fail
RENEWALS_PER_LEASE, RETRIES_PER_LEASE = 4, 12
#: maximum time since the latest successful renewal before a failing renewal is overdue, as a share
#: of a lease
OVERDUE_LEASE_SHARE = 0.3
#: time subtracted from the validity of leases and promises, because timers may fire late
TIMER_MARGIN_S = 0.05


def lease_ttl_s(agent_lease_s: float) -> float:
    """Return the duration of a node's lease in seconds, derived from that of the agents' leases."""
    return min(MAX_LEASE_S, max(MIN_LEASE_S, agent_lease_s * AGENT_LEASE_SHARE))


class GrantedLease(msgspec.Struct, frozen=True):
    """A granted lease, and when its latest successful grant or renewal was requested."""

    lease_id: int
    requested_at: float


class StoreLease:
    """Acquires and renews the lease of one node, and attaches the node's key to it."""

    def __init__(self, context: NodeContext, view: StoreView, follower: StoreFollower) -> None:
        self._context = context
        self._view = view
        self._follower = follower
        self.ttl_s = lease_ttl_s(context.settings.cluster.workers.lease_s)
        #: monotonic time until which the lease is certainly valid; None until the node's key was
        #: first attached to a lease
        self.expires_at: float | None = None
        #: revision of the commit that wrote the node's key; the node acts only if its view includes
        #: this commit
        self.node_key_revision = 0
        #: monotonic time at which the latest request that extended the lease was sent
        self.renewed_at: float | None = None
        #: whether the latest attempt to get or renew the lease, or to attach the node's key, failed
        self.is_renewal_failing = False
        self._lease_id: int | None = None
        #: a lease that the node's key is not attached to yet
        self._unattached_lease: GrantedLease | None = None

    @property
    def is_renewal_overdue(self) -> bool:
        """Whether renewals fail and none succeeded recently (see ``OVERDUE_LEASE_SHARE``)."""
        if not self.is_renewal_failing:
            return False
        return (
            self.renewed_at is None
            or self._context.now - self.renewed_at > OVERDUE_LEASE_SHARE * self.ttl_s
        )

    def is_valid(self, now: float) -> bool:
        """Return whether the lease is certainly valid."""
        return self.expires_at is not None and now < self.expires_at

    def remaining_s(self, now: float) -> float | None:
        """Return for how many more seconds the lease is certainly valid (negative once expired).

        Returns None until the node's key was first attached to a lease.
        """
        return None if self.expires_at is None else self.expires_at - now

    def maintain(self) -> Coroutine[None]:
        """Keep a valid lease with this node's key attached to it; never returns."""
        while True:
            if self._lease_id is not None:
                status = yield from self._renew(self._lease_id)
            elif self._unattached_lease is None:
                status = yield from self._grant()
            else:
                status = yield from self._attach_node_key(self._unattached_lease)
            if status is None:
                continue
            self.is_renewal_failing = status != 200
            tries = RETRIES_PER_LEASE if self.is_renewal_failing else RENEWALS_PER_LEASE
            yield Sleep(self.ttl_s / tries * (0.8 + 0.4 * self._context.rng.random()))

    def _renew(self, lease_id: int) -> Coroutine[int | None]:
        """Renew the node's lease; return the status, or None if the lease no longer exists."""
        sent_at = self._context.now
        response: StoreResponse = yield RenewLease(lease_id)
        if response.status == 200:
            self._extend(sent_at)
        elif response.status == 404:
            self._lease_id = None
            return None
        return response.status

    def _grant(self) -> Coroutine[int | None]:
        """Request a new lease; return None if it was granted, the status otherwise."""
        sent_at = self._context.now
        response: StoreResponse = yield GrantLease(int(self.ttl_s * 1000))
        if response.status == 200:
            self._unattached_lease = GrantedLease(response.lease_id, sent_at)
            return None
        return response.status

    def _attach_node_key(self, granted: GrantedLease) -> Coroutine[int | None]:
        """Attach the node's key to a lease; return the status, or None if the lease has expired.

        If the attempt fails for another reason, requests a renewal of the lease for the next one.

        All tries use the same lease, and each is conditional on the key's version in the view. A
        try that got no response and is applied late can therefore neither replace a newer value of
        the key nor attach the key to a lease that this node does not renew.
        """
        key = keys.NODES + self._context.node
        swap = CompareAndSwap(
            [(key, self._view.version(key))],
            [Put(key, self._context.incarnation, granted.lease_id)],
            priority=RequestPriority.LEASE,
        )
        response: StoreResponse = yield swap
        if response.status == 200:
            self._lease_id, self._unattached_lease = granted.lease_id, None
            # The node may act only once its view includes this commit: while the key was missing,
            # another node may have taken over this node's shards.
            self.node_key_revision = response.revision
            self._view.apply_commit(swap, response.revision)
            self._extend(granted.requested_at)
            self._view.publish_changes()
            return response.status
        if response.status == 400:
            # The lease has expired at the store.
            self._unattached_lease = None
            return None
        if response.status == 409:
            yield from self._follower.refresh(key)
        yield from self._renew_granted(granted)
        return response.status

    def _renew_granted(self, granted: GrantedLease) -> Coroutine[None]:
        """Renew a lease to which the node's key is not known to be attached.

        An earlier commit that got no response may still attach the key to this lease.
        """
        requested_at = self._context.now
        response: StoreResponse = yield RenewLease(granted.lease_id)
        if response.status == 200:
            self._unattached_lease = GrantedLease(granted.lease_id, requested_at)
        elif response.status == 404:
            self._unattached_lease = None

    def _extend(self, sent_at: float) -> None:
        self.renewed_at = sent_at
        until = sent_at + self.ttl_s * (1 - MAX_CLOCK_DRIFT_FRACTION) - TIMER_MARGIN_S
        if self.expires_at is None or until > self.expires_at:
            self.expires_at = until
