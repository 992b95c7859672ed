"""Scales a shard's machines out and in, as the plan of the fleet asks."""

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

#: names in one release, by the cloud's interface
MAX_RELEASE = 100
#: machines in one rental, by the cloud's interface
MAX_RENT = 50
#: pause between two cycles, and between two when much is lacking and the cloud refused some of it
CYCLE_PAUSE_S, SHORT_PAUSE_S = 1.0, 0.1
#: only what has been beyond the demand for this many of its boot times is emptied: demand that
#: comes back sooner would have to wait for machines to boot
MIN_SURPLUS_BOOT_TIMES = 2.0
#: share of the capacity that must lack before the next best kind is requested at once after a
#: refusal, and not only with the next plan
URGENT_LACK = 0.1
#: time for which a shard's summary counts when rentals are shared out, in seconds
RECENT_SUMMARY_S = 3.0


class FleetManager:
    """Scales the machines of the shards that one node leads."""

    def __init__(  # noqa: PLR0913 - its collaborators
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
        #: machines beyond the demand, and since when without a break
        self._surplus_since: dict[str, float] = {}

    def manage_shard(self, shard: Shard) -> Coroutine[None]:
        """Rent for the backlog, release what is idle or unusable, while the shard is here."""
        self._context.spawn(self._rentals.finish_recorded(shard))
        pause_s = CYCLE_PAUSE_S
        while self._leadership.shards.get(shard.shard_id) is shard:
            yield Sleep(pause_s * (0.8 + 0.4 * self._context.rng.random()))
            pause_s = CYCLE_PAUSE_S
            if not self._leadership.is_leader(shard.shard_id) or not self._catalog.types:
                continue
            pause_s = yield from self._scale(shard)

    def _scale(self, shard: Shard) -> Coroutine[float]:
        """Carry out the plan for a shard; the pause until the next cycle."""
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
        leaving = [
            shard.machines[name] for name in releases if not shard.machines[name].is_releasing
        ]
        if leaving:
            yield from self._releases.release(shard, leaving[:MAX_RELEASE])
            return CYCLE_PAUSE_S
        return (yield from self._rent(shard, plan))

    def _empty_surplus(self, shard: Shard, plan: Plan) -> None:
        """Stop what runs on a machine that is nearly empty and has long been beyond the demand."""
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
                "info", f"emptying {machine.name}: {len(machine.tasks)} tasks run again elsewhere"
            )

    def _rent(self, shard: Shard, plan: Plan) -> Coroutine[float]:
        """Rent this shard's portion of the plan; the pause until the next cycle.

        All of it is requested in one cycle, in as few requests as possible; where a kind is
        refused, the next best is requested at once if much is lacking.
        """
        lacks_much = plan.target_cpus > plan.capacity_cpus * (1 + URGENT_LACK)
        was_refused = False
        for rental in plan.rentals:
            count = min(self._portion(shard, rental), MAX_RENT)
            if count and self._leadership.is_leader(shard.shard_id):
                request = msgspec.structs.replace(rental, count=count)
                rented = yield from self._rentals.rent(shard, request)
                was_refused = was_refused or rented != count
        return SHORT_PAUSE_S if lacks_much and was_refused else CYCLE_PAUSE_S

    def _portion(self, shard: Shard, rental: RentalRequest) -> int:
        """Count the machines of a rental that this shard rents.

        That is its even portion, the shards with fewest machines first, or all where a gang
        is pending here.
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
        recent = sorted(
            (shard_id for shard_id in counts if self._is_recent(shard_id)),
            key=lambda shard_id: (counts[shard_id], shard_id),
        )
        if shard.shard_id not in recent:
            return 0
        return split_evenly(rental.count, len(recent))[recent.index(shard.shard_id)]

    def _is_recent(self, shard_id: int) -> bool:
        return self._context.now - self._summaries[shard_id].received_at < RECENT_SUMMARY_S
