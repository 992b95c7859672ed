"""Creates and connects the leadership components of one node."""

from __future__ import annotations

from collections.abc import Callable

from marblestair.core.leadership.connectivity import Connectivity
from marblestair.core.leadership.coordinator import LeadershipCoordinator
from marblestair.core.leadership.failover import Failover
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.progress_pages import ProgressPages
from marblestair.core.leadership.promise_ledger import PromiseLedger
from marblestair.core.leadership.promises import CommittedCancels, Promises
from marblestair.core.leadership.shard_map_updates import ShardMapUpdates
from marblestair.core.leadership.shard_recovery import ShardRecovery
from marblestair.core.leadership.store_lease import StoreLease, lease_ttl_s
from marblestair.core.leadership.transfer import LeadershipTransfer
from marblestair.core.runtime.context import NodeContext
from marblestair.core.shard.shard import Shard
from marblestair.core.state.store_follower import StoreFollower
from marblestair.core.state.store_view import StoreView


class LeadershipServices:
    """Creates the leadership components of one node and holds them as attributes."""

    def __init__(
        self, context: NodeContext, view: StoreView, on_shard_ready: Callable[[Shard], None]
    ) -> None:
        self._context = context
        self._view = view
        ttl_s = lease_ttl_s(context.settings.cluster.workers.lease_s)
        self.follower = StoreFollower(context, view, ttl_s)
        self.lease = StoreLease(context, view, self.follower)
        self.promise_ledger = PromiseLedger(context.started_at, ttl_s)
        self.leadership = Leadership(context, view, self.lease, self.promise_ledger)
        self.connectivity = Connectivity(context, view, self.lease, self.leadership)
        self.shard_map_updates = ShardMapUpdates(view, self.follower)
        self.failover = Failover(
            context,
            view,
            self.lease,
            self.promise_ledger,
            self.leadership,
            self.shard_map_updates,
        )
        self.transfer = LeadershipTransfer(
            context,
            view,
            self.lease,
            self.leadership,
            self.connectivity,
            self.shard_map_updates,
        )
        self.progress_pages = ProgressPages(context, self.leadership)
        self.recovery = ShardRecovery(
            context,
            view,
            self.leadership,
            self.failover,
            self.progress_pages,
            on_shard_ready,
        )

    def promises(self, cancels: CommittedCancels) -> Promises:
        """Create the component that requests and grants promises, which carry ``cancels``."""
        return Promises(
            self._context,
            self._view,
            self.lease,
            self.promise_ledger,
            self.leadership,
            self.failover,
            cancels,
        )

    def coordinator(self, promises: Promises) -> LeadershipCoordinator:
        """Create the coordinator, which initiates failovers and transfers."""
        return LeadershipCoordinator(
            self._context,
            self.follower,
            self.lease,
            self.leadership,
            self.failover,
            self.transfer,
            promises,
        )
