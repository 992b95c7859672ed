"""The controller: composes all components of one node, and routes inputs to them.

Pure: every input carries the time, every output is collected for the shell to carry out. Nothing
here does I/O, reads a clock or uses global randomness.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from functools import partial
from typing import Any

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
from marblestair.core.domain.agents import Heartbeat
from marblestair.core.domain.settings import Settings
from marblestair.core.heartbeat_receiver import HeartbeatReceiver
from marblestair.core.jobs.acceptance import Acceptance
from marblestair.core.jobs.answers import Answers
from marblestair.core.jobs.cancel_registry import CancelRegistry
from marblestair.core.jobs.cancellations import Cancellations
from marblestair.core.jobs.completion_records import CompletionRecords
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.dependency_reads import DependencyReads
from marblestair.core.jobs.final_states import FinalStates
from marblestair.core.jobs.job_managers import JobManagers
from marblestair.core.jobs.lookups import Lookups
from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.jobs.manager_steps import ManagerSteps
from marblestair.core.jobs.migration_locks import MigrationLocks
from marblestair.core.jobs.parents import ParentLookup
from marblestair.core.jobs.progress_reports import ProgressReports
from marblestair.core.jobs.record_announcements import RecordAnnouncements
from marblestair.core.jobs.record_reader import RecordReader
from marblestair.core.jobs.user_requests import UserRequests
from marblestair.core.leadership.connectivity import Connectivity
from marblestair.core.leadership.coordinator import LeadershipCoordinator
from marblestair.core.leadership.failover import Failover
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.progress_pages import ProgressPages
from marblestair.core.leadership.promise_ledger import PromiseLedger
from marblestair.core.leadership.promises import Promises
from marblestair.core.leadership.shard_map_updates import ShardMapUpdates
from marblestair.core.leadership.shard_recovery import ShardRecovery
from marblestair.core.leadership.store_lease import StoreLease, lease_ttl_s
from marblestair.core.leadership.transfer import LeadershipTransfer
from marblestair.core.messaging.messages import ShardSummaries
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.peer_service import PeerService
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.runtime.outbox import DirectCommand
from marblestair.core.runtime.rejected_writes import RejectedWrites
from marblestair.core.scheduling.arrivals import Arrivals
from marblestair.core.scheduling.dispatch import Dispatcher
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.guarantees import Guarantees
from marblestair.core.scheduling.inherited_urgency import InheritedUrgency
from marblestair.core.scheduling.machine_transfers import MachineTransfers
from marblestair.core.scheduling.migration_planner import MigrationPlanner
from marblestair.core.scheduling.preemption import Preemption
from marblestair.core.scheduling.quota_ledger import QuotaLedger
from marblestair.core.scheduling.quota_transfers import QuotaTransfers
from marblestair.core.scheduling.run_times import RunTimes
from marblestair.core.scheduling.shard_summary import ShardSummarizer
from marblestair.core.scheduling.slice_assignment import SliceAssigner
from marblestair.core.scheduling.slice_migration import SliceMigrations
from marblestair.core.shard.agent_leases import expire_agent_leases
from marblestair.core.shard.boot_times import BootTimes
from marblestair.core.shard.commands import overdue_stops
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.heartbeat_response import HeartbeatResponse
from marblestair.core.shard.reclaimed_machines import evict_from_reclaimed_machines
from marblestair.core.shard.shard import Shard
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.store_follower import StoreFollower
from marblestair.core.state.store_view import StoreView
from marblestair.core.status import StatusReport
from marblestair.core.view_synchronizer import ViewSynchronizer

#: pause between two turns of summaries and migrations, and of quota transfers, in seconds
SUMMARY_PAUSE_S, REBALANCE_PAUSE_S = 0.4, 1.0


class Controller:
    """One node: its components, and what is done with each input."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        settings: Settings,
        incarnation: int,
        rng: random.Random,
        now: float,
        wall_time: float,
        tuning: Tuning | None = None,
        deadline_offsets_s: Mapping[str, float] | None = None,
    ) -> None:
        self.context = NodeContext(settings, incarnation, rng, now, wall_time)
        self.view = StoreView()
        self.rejected_writes = RejectedWrites(self.context.log)
        self.catalog = MachineCatalog()
        self.failures = FailureAttribution(settings.cluster.workers)
        self.boot_times = BootTimes()
        self.run_times = RunTimes()
        self.summaries = ReceivedSummaries(self.context)
        self._compose_leadership()
        self._compose_jobs()
        self._compose_scheduling(dict(deadline_offsets_s or {}))
        self._compose_capacity(tuning or Tuning())
        self._compose_requests()
        self._compose_services()
        self._next_summary_at = now
        self._next_rebalance_at = now

    # --- composition -----------------------------------------------------------------------

    def _compose_leadership(self) -> None:
        context, view = self.context, self.view
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
            self._start_shard,
        )

    def _compose_jobs(self) -> None:
        context, view, leadership = self.context, self.view, self.leadership
        settings = context.settings
        self.managed_jobs: dict[str, ManagedJob] = {}
        self.final_states = FinalStates(context, view)
        self.cancels = CancelRegistry(context, view, leadership)
        self.dependencies = DependencyGraph(context, view, self.final_states, self.cancels)
        self.reader = RecordReader(view, self.connectivity, self.final_states)
        self.dependency_reads = DependencyReads(
            context, view, self.dependencies, self.managed_jobs, self.reader
        )
        self.cancellations = Cancellations(
            context,
            view,
            leadership,
            self.connectivity,
            self.cancels,
            self.dependencies,
            self.managed_jobs,
            self.reader,
        )
        self.promises = Promises(
            context,
            view,
            self.lease,
            self.promise_ledger,
            leadership,
            self.failover,
            self.cancels,
        )
        self.coordinator = LeadershipCoordinator(
            context,
            self.follower,
            self.lease,
            leadership,
            self.failover,
            self.transfer,
            self.promises,
        )
        requests_per_s = settings.cluster.state.rps / len(settings.nodes)
        self.lookups = Lookups(context.coroutines, requests_per_s)
        self.answers = Answers(
            context,
            view,
            leadership,
            self.connectivity,
            self.final_states,
            self.cancels,
            self.cancellations,
            self.dependencies,
            self.dependency_reads,
            self.managed_jobs,
            self.reader,
            self.lookups,
        )
        self.announcements = RecordAnnouncements(context, view)
        self.progress_reports = ProgressReports(context, view, leadership, self.managed_jobs)
        self.manager_steps = ManagerSteps(view, self.cancellations, self.dependencies)
        self.completion_records = CompletionRecords(
            context, view, leadership, self.connectivity, self.reader
        )
        self.job_managers = JobManagers(
            context,
            view,
            self.lease,
            leadership,
            self.managed_jobs,
            self.manager_steps,
            self.progress_reports,
            self.completion_records,
            self.announcements,
            self.final_states,
            self.cancels,
            self.cancellations,
            self.dependencies,
            self.reader,
        )
        self.migration_locks = MigrationLocks(
            context, view, leadership, self.managed_jobs, self.cancels, self.reader
        )

    def _compose_scheduling(self, deadline_offsets_s: dict[str, float]) -> None:
        context, view, leadership = self.context, self.view, self.leadership
        self.fleet_plan = FleetPlan()
        self.arrivals = Arrivals(context, self.catalog)
        self.quotas = QuotaLedger(view)
        self.guarantees = Guarantees(context, view, self.failures)
        self.urgency = InheritedUrgency(context, view, self.dependencies, self.run_times)
        self.dependencies.notify(self.job_managers.advance, self.urgency.dependents_changed)
        self.preemption = Preemption(context, view, leadership, self.arrivals, self.fleet_plan)
        self.dispatcher = Dispatcher(
            context,
            self.quotas,
            self.failures,
            self.run_times,
            self.guarantees,
            self.arrivals,
            self.fleet_plan,
            self.preemption,
            self.dependencies,
            deadline_offsets_s,
        )
        self.machine_transfers = MachineTransfers(
            context,
            view,
            leadership,
            self.follower,
            self.shard_map_updates,
            self.summaries,
            self.failures,
            self.fleet_plan,
            self.preemption,
            self.dispatcher,
        )
        self.summarizer = ShardSummarizer(
            context,
            self.quotas,
            self.failures,
            self.boot_times,
            self.preemption,
            self.dispatcher,
            self.machine_transfers,
        )
        self.quota_transfers = QuotaTransfers(
            context,
            view,
            leadership,
            self.shard_map_updates,
            self.quotas,
            self.summaries,
            self.summarizer,
        )
        self.slice_migrations = SliceMigrations(
            context, view, leadership, self.migration_locks, self.reader
        )
        self.migration_planner = MigrationPlanner(
            context,
            view,
            self.quotas,
            self.quota_transfers,
            self.summaries,
            self.failures,
            self.arrivals,
            self.preemption,
            self.dispatcher,
            self.slice_migrations,
        )

    def _compose_capacity(self, tuning: Tuning) -> None:
        context, view, leadership = self.context, self.view, self.leadership
        self.catalog_updates = CatalogUpdates(context, leadership, self.catalog)
        self.machine_registry = MachineRegistry(context, view, leadership)
        self.capacity_refusals = CapacityRefusals(context)
        self.plan_inputs = PlanInputs(
            context,
            view,
            self.catalog,
            self.summaries,
            self.run_times,
            self.dependencies,
            self.urgency,
        )
        self.fleet_planner = FleetPlanner(
            context,
            view,
            self.catalog,
            self.plan_inputs,
            self.arrivals,
            self.capacity_refusals,
            self.fleet_plan,
            tuning,
        )
        self.rentals = Rentals(context, view, leadership, self.catalog, self.capacity_refusals)
        self.releases = Releases(context, view, leadership, self.follower)
        self.fleet = FleetManager(
            context,
            view,
            leadership,
            self.catalog,
            self.summaries,
            self.fleet_planner,
            self.rentals,
            self.releases,
            Spending(context),
        )

    def _compose_requests(self) -> None:
        context, view, leadership = self.context, self.view, self.leadership
        self.parents = ParentLookup(
            context, view, self.final_states, self.dependencies, self.reader, self.lookups
        )
        self.acceptance = Acceptance(
            context,
            view,
            leadership,
            self.catalog,
            self.summaries,
            SliceAssigner(view, self.summaries, self.arrivals),
            self.guarantees,
            self.final_states,
            self.answers,
            self.parents,
            self.announcements,
        )
        self.user_requests = UserRequests(
            context,
            view,
            leadership,
            self.connectivity,
            self.acceptance,
            self.answers,
            self.final_states,
            self.cancels,
            self.cancellations,
            self.job_managers,
            self.reader,
        )

    def _compose_services(self) -> None:
        context, view, leadership = self.context, self.view, self.leadership
        self.status_report = StatusReport(
            context,
            view,
            self.lease,
            self.promise_ledger,
            leadership,
            self.summaries,
            self.managed_jobs,
            self.cancels,
            self.dependencies,
            self.slice_migrations,
            self.rejected_writes,
        )
        self.peer_service = PeerService(
            context,
            view,
            self.connectivity,
            self.promises,
            self.summaries,
            self.failures,
            self.capacity_refusals,
            self.final_states,
            self.cancels,
            self.cancellations,
            self.answers,
            self.job_managers,
            self.progress_reports,
            self.announcements,
            self.migration_locks,
            self.status_report.collect,
        )
        self.heartbeat_receiver = HeartbeatReceiver(
            context,
            view,
            leadership,
            self.connectivity,
            self.catalog,
            self.machine_registry,
            self.dispatcher,
            self.run_times,
        )
        self.synchronizer = ViewSynchronizer(
            context,
            view,
            leadership,
            self.recovery,
            self.catalog,
            self.failures,
            self.boot_times,
            self.cancels,
            self.dependencies,
            self.urgency,
            self.job_managers,
            self.guarantees,
            self.dispatcher,
        )
        view.subscribe(self.synchronizer.synchronize)

    def _start_shard(self, shard: Shard) -> None:
        """A shard has been recovered: begin what goes on while it is led here."""
        self.job_managers.shards_changed()
        self.context.supervise(partial(self.progress_pages.persist, shard))
        self.context.supervise(partial(self.fleet.manage_shard, shard))

    # --- inputs ----------------------------------------------------------------------------

    def start(self) -> None:
        """Begin: load the view, take a lease."""
        self.context.spawn(self.coordinator.start())
        self.context.supervise(self.catalog_updates.maintain)
        self.context.supervise(self.machine_registry.watch_machine_list)
        self.context.supervise(self.dependency_reads.read_unknown_ends)

    def set_time(self, now: float, wall_time: float) -> None:
        """Every input comes with the time."""
        self.context.set_time(now, wall_time)

    def complete(self, request: int, response: Any) -> None:
        """A request of a coroutine was answered."""
        self.context.coroutines.resume(request, response)

    def receive_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse:
        """An agent's heartbeat."""
        return self.heartbeat_receiver.receive(heartbeat)

    def is_healthy(self) -> bool:
        """Whether this node can take requests."""
        if not self.coordinator.is_started or self.connectivity.is_cut_off():
            return False
        return not self.connectivity.is_isolated(self.context.now)

    # --- time ------------------------------------------------------------------------------

    def tick(self) -> None:
        """To be called a few times a second."""
        now = self.context.now
        self.context.coroutines.wake(now)
        self.synchronizer.synchronize()
        self.coordinator.tick(now)
        led_shards = self.leadership.led_shards()
        self.preemption.tick()
        for shard in led_shards:
            self._tick_shard(shard, now)
        self.job_managers.tick()
        self.migration_locks.tick()
        if now >= self._next_summary_at:
            self._next_summary_at = now + SUMMARY_PAUSE_S
            self._publish_summaries(led_shards)
            for shard in led_shards:
                self.migration_planner.migrate_pending(shard)
                self.machine_transfers.transfer_idle_machines(shard)
        if now >= self._next_rebalance_at:
            self._next_rebalance_at = now + REBALANCE_PAUSE_S
            self.cancels.prune()
            self.quota_transfers.rebalance(led_shards)

    def _tick_shard(self, shard: Shard, now: float) -> None:
        evict_from_reclaimed_machines(shard, now)
        expire_agent_leases(shard, now)
        self.dispatcher.place_all(shard)
        for machine, commands in overdue_stops(shard, now):
            self.context.decisions.count(Decision.STOP, "direct", len(commands))
            command = DirectCommand(
                machine.address, shard.term, machine.agent_incarnation, commands
            )
            self.context.outbox.direct_commands.append(command)
        self.releases.enforce_cancel_deadline(shard)

    def _publish_summaries(self, led_shards: list[Shard]) -> None:
        """Summarize the shards that are led here, and send that to the other nodes."""
        summaries = []
        for shard in led_shards:
            summary = self.summarizer.summarize(shard)
            self.summaries.record(summary)
            summaries.append(summary.snapshot())
        self.context.broadcast(
            ShardSummaries(
                self.context.incarnation,
                summaries,
                self.connectivity.reaches_agents(),
                self.capacity_refusals.current(),
            )
        )
