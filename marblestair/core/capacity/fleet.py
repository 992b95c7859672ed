"""Scaling of a shard's machines out and in according to the fleet plan."""

from __future__ import annotations

import msgspec

from marblestair.core.capacity.decommissioning import machines_to_empty, machines_to_release
from marblestair.core.capacity.fleet_planner import FleetPlanner
from marblestair.core.capacity.provisioning import Plan, RentalRequest
from marblestair.core.capacity.releases import Releases
from marblestair.core.capacity.rentals import Rentals
from marblestair.core.capacity.spending import Spending
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.shard_map import split_evenly
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.shard.machine import CordonReason, StopReason
from marblestair.core.shard.partition_detection import partitioned_machines
from marblestair.core.shard.shard import Shard
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.store_view import StoreView

#: maximum number of machines in one release request of the cloud's interface
MAX_RELEASED_MACHINES = 100
#: maximum number of machines in one rental request of the cloud's interface
MAX_RENTED_MACHINES = 50
#: mean pause between two scaling cycles: normally, and after a refusal during an urgent shortfall
CYCLE_PAUSE_S, SHORTFALL_PAUSE_S = 1.0, 0.1
#: age from which on the plan is computed anew although no scaling cycle needs it
MAX_PLAN_AGE_S = 2 * CYCLE_PAUSE_S
#: minimum time for which a machine must have been surplus before it is emptied, in boot times of
#: its type; if the demand rises again after that, tasks must wait for a new machine to boot
MIN_SURPLUS_BOOT_TIMES = 2.0
#: minimum shortfall that counts as urgent, as a share of the capacity; after a refusal during an
#: urgent shortfall, the next best kind is requested soon
URGENT_SHORTFALL_SHARE = 0.1
#: maximum age of a shard's latest summary at which the shard still gets a portion of the rentals,
#: in seconds
MAX_SUMMARY_AGE_S = 3.0


class FleetManager:
    """Rents, empties and releases machines for the shards that one node leads."""

    def __init__(  # noqa: PLR0913 - injected components
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        catalog: MachineCatalog,
        summaries: ReceivedSummaries,
        planner: FleetPlanner,
        rentals: Rentals,
        releases: Releases,
        spending: Spending,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._catalog = catalog
        self._summaries = summaries
        self._planner = planner
        self._rentals = rentals
        self._releases = releases
        self._spending = spending
        #: surplus machine -> monotonic time since which it has been surplus without interruption
        self._surplus_since: dict[str, float] = {}

    def manage_shard(self, shard: Shard) -> Coroutine[None]:
        """Run the scaling cycles of a shard as long as this node leads it."""
        self._context.spawn(self._rentals.finish_recorded(shard))
        self._context.spawn(self._keep_plan_current(shard))
        pause_s = CYCLE_PAUSE_S
        while self._leadership.shards.get(shard.shard_id) is shard:
            yield Sleep(pause_s * (0.8 + 0.4 * self._context.rng.random()))
            pause_s = CYCLE_PAUSE_S
            if not self._leadership.is_leader(shard.shard_id) or not self._catalog.types:
                continue
            pause_s = yield from self._scale(shard)

    def _keep_plan_current(self, shard: Shard) -> Coroutine[None]:
        """Compute the plan while the scaling cycle waits for the cloud.

        Otherwise, machines would stay reserved by an old plan as long as the cloud does not answer.
        """
        while self._leadership.shards.get(shard.shard_id) is shard:
            yield Sleep(CYCLE_PAUSE_S)
            computed_at = self._planner.computed_at
            if (
                computed_at is not None
                and self._context.now - computed_at > MAX_PLAN_AGE_S
                and self._leadership.is_leader(shard.shard_id)
                and self._catalog.types
                and not shard.unreconciled_machines
            ):
                self._planner.compute()

    def _scale(self, shard: Shard) -> Coroutine[float]:
        """Run one scaling cycle of a shard; return the pause until the next one in seconds."""
        now = self._context.now
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        self._spending.account(shard)
        for name in partitioned_machines(shard, agent_lease_s, now):
            shard.machines[name].responsiveness.is_partitioned = True
        releases = machines_to_release(shard, agent_lease_s, now)
        plan = Plan() if shard.unreconciled_machines else self._planner.compute()
        releases += [
            name for name in plan.releases if name in shard.machines and name not in releases
        ]
        self._empty_surplus(shard, plan)
        machines = [
            shard.machines[name] for name in releases if not shard.machines[name].is_releasing
        ]
        if machines:
            yield from self._releases.release(shard, machines[:MAX_RELEASED_MACHINES])
            return CYCLE_PAUSE_S
        return (yield from self._rent(shard, plan))

    def _empty_surplus(self, shard: Shard, plan: Plan) -> None:
        """Cordon one machine that is worth emptying and was surplus long enough; stop its tasks."""
        now = self._context.now
        since = self._surplus_since
        self._surplus_since = {name: since.get(name, now) for name in plan.surplus_machines}
        names = {
            name
            for name, surplus_since in self._surplus_since.items()
            if (machine := shard.machines.get(name)) is not None
            and machine.machine_type is not None
            and now - surplus_since > MIN_SURPLUS_BOOT_TIMES * machine.machine_type.boot_s
        }
        for machine in machines_to_empty(shard, names, now)[:1]:
            machine.cordon = CordonReason.RELEASE
            shard.stop_tasks(list(machine.tasks.values()), StopReason.MACHINE_RELEASED)
            self._context.log(
                "info", f"emptying machine {machine.name}: stopping {len(machine.tasks)} tasks"
            )

    def _rent(self, shard: Shard, plan: Plan) -> Coroutine[float]:
        """Rent this shard's portion of the plan; return the pause until the next cycle in seconds.

        This cycle requests each kind of the portion with one request. If the cloud grants fewer
        machines than requested during an urgent shortfall, the pause is short, so that the next
        best kind is requested soon.
        """
        is_shortfall_urgent = plan.target_cpus > plan.capacity_cpus * (1 + URGENT_SHORTFALL_SHARE)
        was_refused = False
        for rental in plan.rentals:
            count = min(self._portion(shard, rental), MAX_RENTED_MACHINES)
            if count and self._leadership.is_leader(shard.shard_id):
                request = msgspec.structs.replace(rental, count=count)
                rented = yield from self._rentals.rent(shard, request)
                was_refused = was_refused or rented != count
        return SHORTFALL_PAUSE_S if is_shortfall_urgent and was_refused else CYCLE_PAUSE_S

    def _portion(self, shard: Shard, rental: RentalRequest) -> int:
        """Return how many machines of a rental this shard rents.

        A rental for a pending gang is carried out by the shard that the rental names. Any other
        rental is divided evenly among the shards with a recent summary, and the remainder goes to
        those of them with the fewest machines.
        """
        if rental.shard_id is not None:
            return rental.count if rental.shard_id == shard.shard_id else 0
        shard_map = self._view.shard_map
        if shard_map is None:
            return 0
        counts = {
            shard_id: 0 for shard_id in range(len(shard_map.shards)) if shard_id in self._summaries
        }
        for record in self._view.machines.values():
            if record.shard_id in counts:
                counts[record.shard_id] += 1
        shard_ids = sorted(
            (shard_id for shard_id in counts if self._has_recent_summary(shard_id)),
            key=lambda shard_id: (counts[shard_id], shard_id),
        )
        if shard.shard_id not in shard_ids:
            return 0
        return split_evenly(rental.count, len(shard_ids))[shard_ids.index(shard.shard_id)]

    def _has_recent_summary(self, shard_id: int) -> bool:
        return self._context.now - self._summaries[shard_id].received_at < MAX_SUMMARY_AGE_S
