"""Release of machines to the cloud, and removal of their records once the cloud confirms it."""

from __future__ import annotations

from marblestair.core.leadership.leadership import Leadership
from marblestair.core.runtime.cloud_requests import CloudResponse, ReleaseMachines
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import CompareAndSwap, RequestPriority, StoreResponse
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.store_follower import StoreFollower
from marblestair.core.state.store_view import StoreView

#: pause after a release request that the cloud did not confirm, in seconds
RELEASE_RETRY_PAUSE_S = 0.5
#: time since a job's cancellation after which a machine that still has a task of the job is
#: decommissioned, as a share of the setting ``cancel_s``
CANCEL_TIMEOUT_SHARE = 0.5


class Releases:
    """Releases the machines of the shards that one node leads."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        follower: StoreFollower,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._follower = follower

    def release(self, shard: Shard, machines: list[Machine]) -> Coroutine[None]:
        """Request the release of machines; remove their tasks and records if the cloud confirms."""
        for machine in machines:
            machine.is_releasing = True
        names = [machine.name for machine in machines]
        self._context.log("info", f"releasing {names}")
        response: CloudResponse = yield ReleaseMachines(names)
        if response.status == 200:
            self._context.spawn(self._remove_records(shard, names))
            return
        for machine in machines:
            # The cloud may still carry out the request. A decommissioned machine stays marked as
            # releasing, so this leader does not request its release again. The release of any other
            # machine can be requested again; if the machine is idle, its idle time starts anew.
            machine.is_releasing = machine.is_decommissioned
            if not machine.tasks:
                machine.idle_since = self._context.now
        yield Sleep(RELEASE_RETRY_PAUSE_S)

    def _remove_records(self, shard: Shard, names: list[str]) -> Coroutine[None]:
        """Remove the tasks and delete the records of machines whose release is confirmed."""
        now = self._context.now
        for name in names:
            machine = shard.machines.get(name)
            if machine is not None:
                shard.remove_all_tasks(machine, now)
            self._view.removed_machines[name] = None
        batch_size = self._context.max_batch_changes
        while names and self._leadership.shards.get(shard.shard_id) is shard:
            names = [name for name in names if name in self._view.machines]
            deleted = [keys.MACHINES + name for name in names[:batch_size]]
            versions = [(key, self._view.version(key)) for key in deleted]
            fence = self._leadership.fence_precondition(shard.shard_id)
            swap = CompareAndSwap([fence, *versions], [], deleted, RequestPriority.FINAL_STATE)
            response: StoreResponse = yield swap
            if response.status == 200:
                self._view.apply_commit(swap, response.revision)
                self._view.publish_changes()
                names = names[batch_size:]
                continue
            if response.status in (0, 409):
                for key in deleted:
                    yield from self._follower.refresh_until_read(key)
            yield Sleep(0.3 + 0.3 * self._context.rng.random())

    def enforce_cancel_deadline(self, shard: Shard) -> None:
        """Decommission machines that still have a task of a job some time after its cancellation.

        The heartbeats of a decommissioned machine are not answered with status 200, so the lease of
        its agent expires. This node also requests the release of the machine from the cloud. The
        expiry of the lease and the release each end the task.
        """
        now = self._context.now
        limit_s = CANCEL_TIMEOUT_SHARE * self._context.settings.cluster.workers.cancel_s
        for job_slice in shard.slices.values():
            if not job_slice.is_cancelled or now - job_slice.cancelled_at <= limit_s:
                continue
            for machine in job_slice.placed_on.values():
                if not machine.is_decommissioned:
                    machine.is_decommissioned = True
                    self._context.log(
                        "info",
                        f"decommissioning machine {machine.name}: it still has a task of cancelled"
                        f" job {job_slice.spec.id} after {limit_s:.1f} s",
                    )
