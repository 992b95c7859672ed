"""The node's lease in the store, and the node key that lives as long as it.

The lease is counted from when the renewal was sent, on the node's own steady clock, less an
allowance for drift. So it may end here before it ends at the store, and never after.
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

#: a node's lease against the agents' lease: a failover must finish before theirs run out
LEASE_RATIO = 0.4
#: bounds of a node's lease, in seconds
LEAST_LEASE_S, LONGEST_LEASE_S = 0.5, 600.0
#: renewals in one lease, and tries in one lease while they fail
RENEWALS_PER_LEASE, TRIES_PER_LEASE = 4, 12
#: share of a lease after which a renewal that has not succeeded is overdue
OVERDUE = 0.3
#: allowance for timers that fire late
MARGIN_S = 0.05


def lease_ttl_s(agent_lease_s: float) -> float:
    """How long a node's lease lasts where the agents' lasts so long."""
    return min(LONGEST_LEASE_S, max(LEAST_LEASE_S, agent_lease_s * LEASE_RATIO))


class GrantedLease(msgspec.Struct, frozen=True):
    """A lease, and the time at which it was last asked for."""

    lease_id: int
    requested_at: float


class StoreLease:
    """The lease of one node."""

    def __init__(self, context: NodeContext, view: StoreView, follower: StoreFollower) -> None:
        self._context = context
        self._view = view
        self._follower = follower
        self.ttl_s = lease_ttl_s(context.settings.cluster.workers.lease_s)
        #: until when the lease surely holds; None before it was first granted
        self.expires_at: float | None = None
        #: revision of the commit that put this node's key; the view must include it
        self.node_key_revision = 0
        #: when a renewal last succeeded, and whether the latest one did not
        self.renewed_at: float | None = None
        self.is_renewal_failing = False
        self._lease_id: int | None = None
        #: a lease that the node's key is to be attached to
        self._granted: GrantedLease | None = None

    @property
    def is_renewal_overdue(self) -> bool:
        """Whether the lease could not be renewed when it should have been."""
        if not self.is_renewal_failing:
            return False
        return self.renewed_at is None or self._context.now - self.renewed_at > OVERDUE * self.ttl_s

    def is_valid(self, now: float) -> bool:
        """Whether the lease surely holds."""
        return self.expires_at is not None and now < self.expires_at

    def remaining_s(self, now: float) -> float | None:
        """For how long the lease surely holds; None before it was first granted."""
        return None if self.expires_at is None else self.expires_at - now

    def maintain(self) -> Coroutine[None]:
        """Keep a lease with this node's key attached to it, for good."""
        while True:
            if self._lease_id is not None:
                status = yield from self._renew(self._lease_id)
            elif self._granted is None:
                status = yield from self._grant()
            else:
                status = yield from self._attach_node_key(self._granted)
            if status is None:
                continue
            self.is_renewal_failing = status != 200
            tries = TRIES_PER_LEASE if self.is_renewal_failing else RENEWALS_PER_LEASE
            yield Sleep(self.ttl_s / tries * (0.8 + 0.4 * self._context.rng.random()))

    def _renew(self, lease_id: int) -> Coroutine[int | None]:
        """Renew the node's lease: the status, or None when there is none any more."""
        sent_at = self._context.now
        response: StoreResponse = yield RenewLease(lease_id)
        if response.status == 200:
            self._extend(sent_at)
        elif response.status == 404:
            self._lease_id = None
            return None
        return response.status

    def _grant(self) -> Coroutine[int | None]:
        """Ask for a lease: the status, or None when there is one to attach the node's key to."""
        sent_at = self._context.now
        response: StoreResponse = yield GrantLease(int(self.ttl_s * 1000))
        if response.status == 200:
            self._granted = GrantedLease(response.lease_id, sent_at)
            return None
        return response.status

    def _attach_node_key(self, granted: GrantedLease) -> Coroutine[int | None]:
        """Put the node's key under a granted lease: the status, or None when that has ended.

        Every try attaches the key to this one lease, and each is conditional on the version read
        before it. A try without a response, carried out late, can then neither replace a newer one
        nor leave the key with a lease that nobody renews.
        """
        key = keys.NODES + self._context.node
        swap = CompareAndSwap(
            [(key, self._view.version(key))],
            [Put(key, self._context.incarnation, granted.lease_id)],
            priority=RequestPriority.LEASE,
        )
        response: StoreResponse = yield swap
        if response.status == 200:
            self._lease_id, self._granted = granted.lease_id, None
            # Leadership counts only once the view includes this commit: while the key was
            # missing, another node may have taken the shards over.
            self.node_key_revision = response.revision
            self._view.apply_commit(swap, response.revision)
            self._extend(granted.requested_at)
            self._view.publish_changes()
            return response.status
        if response.status == 400:
            # The lease has ended meanwhile.
            self._granted = None
            return None
        if response.status == 409:
            yield from self._follower.refresh(key)
        yield from self._renew_granted(granted)
        return response.status

    def _renew_granted(self, granted: GrantedLease) -> Coroutine[None]:
        """Renew a lease that the key may yet be attached to by a try on its way."""
        requested_at = self._context.now
        response: StoreResponse = yield RenewLease(granted.lease_id)
        if response.status == 200:
            self._granted = GrantedLease(granted.lease_id, requested_at)
        elif response.status == 404:
            self._granted = None

    def _extend(self, sent_at: float) -> None:
        self.renewed_at = sent_at
        until = sent_at + self.ttl_s * (1 - MAX_CLOCK_DRIFT_FRACTION) - MARGIN_S
        if self.expires_at is None or until > self.expires_at:
            self.expires_at = until
