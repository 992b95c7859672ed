"""Starts the leadership components of a node and initiates failovers and transfers."""

from __future__ import annotations

from marblestair.core.leadership.failover import Failover
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.promises import Promises
from marblestair.core.leadership.store_lease import StoreLease
from marblestair.core.leadership.transfer import LeadershipTransfer
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.state.store_follower import StoreFollower


class LeadershipCoordinator:
    """Starts the lease, view and promise coroutines, and begins failovers and transfers."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        follower: StoreFollower,
        lease: StoreLease,
        leadership: Leadership,
        failover: Failover,
        transfer: LeadershipTransfer,
        promises: Promises,
    ) -> None:
        self._context = context
        self._follower = follower
        self._lease = lease
        self._leadership = leadership
        self._failover = failover
        self._transfer = transfer
        self._promises = promises
        #: whether the view has been loaded
        self.is_started = False

    def start(self) -> Coroutine[None]:
        """Load the view, then start the coroutines that follow the store and keep the lease."""
        yield from self._follower.load()
        self.is_started = True
        self._context.supervise(self._follower.follow)
        self._context.supervise(self._lease.maintain)
        self._context.supervise(self._promises.maintain)

    def begin_failover_or_transfer(self, now: float) -> None:
        """Begin a failover of shards without a live leader, or else a transfer of a shard.

        Called a few times a second. If there is no shard map yet, the node creates the map instead.
        Begins nothing before the view is loaded, during a failover of this node, or while the node
        may not act for its shards.
        """
        self._leadership.log_basis_change(now)
        self._transfer.record_incarnations(now)
        if not self.is_started or self._failover.is_in_progress:
            return
        if not self._leadership.is_authorized(now):
            return
        if not self._failover.begin(now):
            self._transfer.begin(now)
