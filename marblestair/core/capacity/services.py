"""Construction of the components that scale the fleet out and in."""

from __future__ import annotations

from marblestair.core.capacity.capacity_refusals import CapacityRefusals
from marblestair.core.capacity.catalog_updates import CatalogUpdates
from marblestair.core.capacity.fleet import FleetManager
from marblestair.core.capacity.fleet_planner import FleetPlanner
from marblestair.core.capacity.machine_registry import MachineRegistry
from marblestair.core.capacity.plan_inputs import PlanInputs
from marblestair.core.capacity.provisioning import Tuning
from marblestair.core.capacity.releases import Releases
from marblestair.core.capacity.rentals import Rentals
from marblestair.core.capacity.spending import Spending
from marblestair.core.jobs.services import JobServices
from marblestair.core.leadership.services import LeadershipServices
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.services import SchedulingServices
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.store_view import StoreView


class CapacityServices:
    """Constructs and connects the capacity components of one node.

    These are the catalog updates, the machine registry, the fleet planner with its inputs and
    refusals, the rentals, the releases and the fleet manager.
    """

    def __init__(  # noqa: PLR0913 - dependencies of the whole package
        self,
        context: NodeContext,
        view: StoreView,
        leading: LeadershipServices,
        jobs: JobServices,
        scheduling: SchedulingServices,
        catalog: MachineCatalog,
        summaries: ReceivedSummaries,
        tuning: Tuning,
    ) -> None:
        leadership = leading.leadership
        self.catalog_updates = CatalogUpdates(context, leadership, catalog)
        self.machine_registry = MachineRegistry(context, view, leadership)
        self.capacity_refusals = CapacityRefusals(context)
        self.plan_inputs = PlanInputs(
            context,
            view,
            catalog,
            summaries,
            scheduling.run_times,
            jobs.dependencies,
            scheduling.urgency,
            scheduling.fleet_plan,
        )
        self.fleet_planner = FleetPlanner(
            context,
            view,
            catalog,
            self.plan_inputs,
            scheduling.arrivals,
            self.capacity_refusals,
            scheduling.fleet_plan,
            tuning,
        )
        self.rentals = Rentals(context, view, leadership, catalog, self.capacity_refusals)
        self.releases = Releases(context, view, leadership, leading.follower)
        self.fleet = FleetManager(
            context,
            view,
            leadership,
            catalog,
            summaries,
            self.fleet_planner,
            self.rentals,
            self.releases,
            Spending(context),
        )
