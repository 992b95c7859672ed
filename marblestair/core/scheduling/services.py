"""Creates and connects the scheduling components of one node."""

from __future__ import annotations

from collections.abc import Mapping

from marblestair.core.jobs.services import JobServices
from marblestair.core.leadership.services import LeadershipServices
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.arrivals import Arrivals
from marblestair.core.scheduling.dispatch import Dispatcher
from marblestair.core.scheduling.effective_quotas import EffectiveQuotas
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.gang_claims import GangClaims
from marblestair.core.scheduling.guarantees import Guarantees
from marblestair.core.scheduling.inherited_urgency import InheritedUrgency
from marblestair.core.scheduling.machine_transfers import MachineTransfers
from marblestair.core.scheduling.migration_planner import MigrationPlanner
from marblestair.core.scheduling.preemption import Preemption
from marblestair.core.scheduling.quota_precedence import QuotaPrecedence
from marblestair.core.scheduling.quota_transfers import QuotaTransfers
from marblestair.core.scheduling.run_times import RunTimes
from marblestair.core.scheduling.shard_summarizer import ShardSummarizer
from marblestair.core.scheduling.slice_assignment import SliceAssigner
from marblestair.core.scheduling.slice_migration import SliceMigrations
from marblestair.core.shard.boot_times import BootTimes
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.store_view import StoreView


class SchedulingServices:
    """Composes one node's scheduling components: placement, preemption, transfers, migration."""

    def __init__(  # noqa: PLR0913 - the collaborators of all components
        self,
        context: NodeContext,
        view: StoreView,
        leadership_services: LeadershipServices,
        jobs: JobServices,
        catalog: MachineCatalog,
        summaries: ReceivedSummaries,
        deadline_offsets_s: Mapping[str, float],
    ) -> None:
        self._context = context
        self._view = view
        self._leadership_services = leadership_services
        self._jobs = jobs
        self._summaries = summaries
        self.failures = FailureAttribution(context.settings.cluster.workers)
        self.boot_times = BootTimes()
        self.run_times = RunTimes()
        self.fleet_plan = FleetPlan()
        self.arrivals = Arrivals(context, catalog)
        self.quotas = EffectiveQuotas(view)
        self.guarantees = Guarantees(context, view, self.failures)
        self.urgency = InheritedUrgency(context, view, jobs.dependencies, self.run_times)
        jobs.dependencies.subscribe(jobs.job_managers.advance, self.urgency.recompute)
        self.assigner = SliceAssigner(view, summaries, self.arrivals)
        self._create_placement(dict(deadline_offsets_s))
        self._create_transfers()

    def _create_placement(self, deadline_offsets_s: dict[str, float]) -> None:
        self.claims = GangClaims(
            self._context, self._view, self._leadership_services.leadership, self.fleet_plan
        )
        self.preemption = Preemption(self._context, self.arrivals, self.failures, self.claims)
        self.precedence = QuotaPrecedence(
            self._context, self._view, self._summaries, self.fleet_plan
        )
        self.dispatcher = Dispatcher(
            self._context,
            self.quotas,
            self.failures,
            self.run_times,
            self.guarantees,
            self.arrivals,
            self.fleet_plan,
            self.preemption,
            self.claims,
            self.precedence,
            self._jobs.dependencies,
            deadline_offsets_s,
        )

    def _create_transfers(self) -> None:
        context, view, leadership_services = self._context, self._view, self._leadership_services
        self.machine_transfers = MachineTransfers(
            context,
            view,
            leadership_services.leadership,
            leadership_services.follower,
            leadership_services.shard_map_updates,
            self._summaries,
            self.failures,
            self.fleet_plan,
            self.claims,
            self.dispatcher,
        )
        self.summarizer = ShardSummarizer(
            context,
            self.quotas,
            self.failures,
            self.boot_times,
            self.preemption,
            self.claims,
            self.dispatcher,
            self.machine_transfers,
            self.fleet_plan,
        )
        self.quota_transfers = QuotaTransfers(
            context,
            view,
            leadership_services.leadership,
            leadership_services.shard_map_updates,
            self.quotas,
            self._summaries,
            self.summarizer,
            self.fleet_plan,
            self.failures,
            self.precedence,
        )
        self.slice_migrations = SliceMigrations(
            context,
            view,
            leadership_services.leadership,
            self._jobs.migration_locks,
            self._jobs.reader,
        )
        self.migration_planner = MigrationPlanner(
            context,
            view,
            self.quotas,
            self.quota_transfers,
            self._summaries,
            self.failures,
            self.arrivals,
            self.preemption,
            self.dispatcher,
            self.slice_migrations,
        )
