"""The controller: composes all components of one node and routes inputs to them.

It does no I/O, reads no clock and uses no global randomness: the time comes with every input, and
the outputs are collected in an outbox for the caller to send.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from functools import partial
from typing import Any

from marblestair.core.capacity.provisioning import Tuning
from marblestair.core.capacity.services import CapacityServices
from marblestair.core.domain.agents import Heartbeat
from marblestair.core.domain.settings import Settings
from marblestair.core.heartbeat_receiver import HeartbeatReceiver
from marblestair.core.jobs.request_services import compose_user_requests
from marblestair.core.jobs.services import JobServices
from marblestair.core.leadership.services import LeadershipServices
from marblestair.core.messaging.messages import ShardSummaries
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.peer_service import PeerService
from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.runtime.outbox import DirectCommand
from marblestair.core.runtime.rejected_writes import RejectedWrites
from marblestair.core.scheduling.services import SchedulingServices
from marblestair.core.shard.agent_leases import expire_agent_leases
from marblestair.core.shard.commands import direct_stops
from marblestair.core.shard.heartbeat_response import HeartbeatResponse
from marblestair.core.shard.reclaimed_machines import evict_from_reclaimed_machines
from marblestair.core.shard.shard import Shard
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.store_view import StoreView
from marblestair.core.status import StatusReport
from marblestair.core.view_synchronizer import ViewSynchronizer

#: interval at which summaries are published and transfers to other shards are started, and interval
#: at which quota is rebalanced and ``CancelRegistry.prune`` is called
SUMMARY_INTERVAL_S, REBALANCE_INTERVAL_S = 0.4, 1.0


class Controller:
    """The scheduler core of one node: owns its components and handles every input."""

    def __init__(  # noqa: PLR0913 - all parameters of the process
        self,
        settings: Settings,
        incarnation: int,
        rng: random.Random,
        now: float,
        wall_time: float,
        tuning: Tuning | None = None,
        deadline_offsets_s: Mapping[str, float] | None = None,
    ) -> None:
        context = self.context = NodeContext(settings, incarnation, rng, now, wall_time)
        view = self.view = StoreView()
        catalog = self.catalog = MachineCatalog()
        summaries = self.summaries = ReceivedSummaries(context)
        leadership = LeadershipServices(context, view, self._start_shard)
        jobs = JobServices(context, view, leadership)
        scheduling = SchedulingServices(
            context, view, leadership, jobs, catalog, summaries, deadline_offsets_s or {}
        )
        capacity = CapacityServices(
            context,
            view,
            leadership,
            jobs,
            scheduling,
            catalog,
            summaries,
            tuning or Tuning(),
        )
        self.leadership_services, self.leadership = leadership, leadership.leadership
        self.job_services = jobs
        self.scheduling_services = scheduling
        self.capacity_services = capacity
        self.promises = leadership.promises(jobs.cancels)
        self.coordinator = leadership.coordinator(self.promises)
        self.user_requests = compose_user_requests(
            context,
            view,
            leadership,
            jobs,
            catalog,
            summaries,
            scheduling.assigner,
            scheduling.guarantees,
        )
        self.rejected_writes = RejectedWrites(context.log)
        self.status_report = self._compose_status()
        self.peer_service = self._compose_peer_service()
        self.heartbeat_receiver = self._compose_heartbeat_receiver()
        self.synchronizer = self._compose_synchronizer()
        view.subscribe(self.synchronizer.synchronize)
        self._next_summary_at = now
        self._next_rebalance_at = now

    # --- composition -----------------------------------------------------------------------

    def _compose_status(self) -> StatusReport:
        leadership, jobs = self.leadership_services, self.job_services
        return StatusReport(
            self.context,
            self.view,
            leadership.lease,
            leadership.promise_ledger,
            leadership.leadership,
            self.summaries,
            jobs.managed_jobs,
            jobs.cancels,
            jobs.dependencies,
            self.scheduling_services.slice_migrations,
            self.rejected_writes,
        )

    def _compose_peer_service(self) -> PeerService:
        jobs = self.job_services
        return PeerService(
            self.context,
            self.view,
            self.leadership_services.connectivity,
            self.promises,
            self.summaries,
            self.scheduling_services.failures,
            self.capacity_services.capacity_refusals,
            jobs.final_states,
            jobs.cancels,
            jobs.cancellations,
            jobs.answers,
            jobs.job_managers,
            jobs.progress_reports,
            jobs.announcements,
            jobs.migration_locks,
            self.status_report.collect,
        )

    def _compose_heartbeat_receiver(self) -> HeartbeatReceiver:
        leadership, scheduling = self.leadership_services, self.scheduling_services
        return HeartbeatReceiver(
            self.context,
            self.view,
            leadership.leadership,
            leadership.connectivity,
            self.catalog,
            self.capacity_services.machine_registry,
            scheduling.dispatcher,
            scheduling.run_times,
        )

    def _compose_synchronizer(self) -> ViewSynchronizer:
        jobs, scheduling = self.job_services, self.scheduling_services
        return ViewSynchronizer(
            self.context,
            self.view,
            self.leadership,
            self.leadership_services.recovery,
            self.catalog,
            scheduling.failures,
            scheduling.boot_times,
            jobs.cancels,
            jobs.dependencies,
            scheduling.urgency,
            jobs.job_managers,
            scheduling.guarantees,
            scheduling.dispatcher,
        )

    def _start_shard(self, shard: Shard) -> None:
        """Start the background work for a recovered shard."""
        self.job_services.job_managers.shards_changed()
        progress_pages = self.leadership_services.progress_pages
        self.context.supervise(partial(progress_pages.persist, shard))
        self.context.supervise(partial(self.capacity_services.fleet.manage_shard, shard))

    # --- inputs ----------------------------------------------------------------------------

    def start(self) -> None:
        """Start the background updates and the coordinator, which loads the view."""
        capacity = self.capacity_services
        self.context.spawn(self.coordinator.start())
        self.context.supervise(capacity.catalog_updates.maintain)
        self.context.supervise(capacity.machine_registry.watch_machine_list)
        self.context.supervise(self.job_services.dependency_reads.read_unknown_ends)

    def set_time(self, now: float, wall_time: float) -> None:
        """Set the monotonic and wall-clock times, in seconds; must be called before every input."""
        self.context.set_time(now, wall_time)

    def complete(self, request: int, response: Any) -> None:
        """Resume the coroutine that waits for the response to a request."""
        self.context.coroutines.resume(request, response)

    def receive_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse:
        """Handle an agent's heartbeat and return the response."""
        return self.heartbeat_receiver.receive(heartbeat)

    def is_healthy(self) -> bool:
        """Whether this node has started, is connected, and is reachable by agents."""
        connectivity = self.leadership_services.connectivity
        if not self.coordinator.is_started or connectivity.is_disconnected():
            return False
        return not connectivity.is_unreachable_by_agents(self.context.now)

    # --- time ------------------------------------------------------------------------------

    def tick(self) -> None:
        """Run the periodic work that is due; must be called a few times per second."""
        now = self.context.now
        self.context.coroutines.wake(now)
        self.synchronizer.synchronize()
        self.coordinator.begin_failover_or_transfer(now)
        led_shards = self.leadership.led_shards()
        self.scheduling_services.claims.expire()
        for shard in led_shards:
            self._update_shard(shard, now)
        self.job_services.job_managers.report_and_advance()
        self.job_services.migration_locks.release_expired()
        if now >= self._next_summary_at:
            self._next_summary_at = now + SUMMARY_INTERVAL_S
            self._publish_summaries(led_shards)
            self._start_transfers(led_shards)
        if now >= self._next_rebalance_at:
            self._next_rebalance_at = now + REBALANCE_INTERVAL_S
            self.job_services.cancels.prune()
            self.scheduling_services.quota_transfers.rebalance(led_shards)

    def _update_shard(self, shard: Shard, now: float) -> None:
        """Run the periodic work for a shard led by this node: time-outs, placement and stops."""
        evict_from_reclaimed_machines(shard, now)
        expire_agent_leases(shard, now)
        self.scheduling_services.dispatcher.place_all(shard)
        for machine, commands in direct_stops(shard, now):
            self.context.decisions.count(Decision.STOP, "direct", len(commands))
            command = DirectCommand(
                machine.address, shard.term, machine.agent_incarnation, commands
            )
            self.context.outbox.direct_commands.append(command)
        self.capacity_services.releases.enforce_cancel_deadline(shard)

    def _publish_summaries(self, led_shards: list[Shard]) -> None:
        """Send summaries of the shards led by this node to the other nodes."""
        summaries = []
        for shard in led_shards:
            summary = self.scheduling_services.summarizer.summarize(shard)
            self.summaries.record(summary)
            summaries.append(summary.snapshot())
        self.context.broadcast(
            ShardSummaries(
                self.context.incarnation,
                summaries,
                self.leadership_services.connectivity.can_accept_shards(),
                self.capacity_services.capacity_refusals.current(),
            )
        )

    def _start_transfers(self, led_shards: list[Shard]) -> None:
        """Start migrations of pending tasks, and transfers of idle machines, to other shards."""
        for shard in led_shards:
            self.scheduling_services.migration_planner.migrate_pending(shard)
            self.scheduling_services.machine_transfers.transfer_idle_machines(shard)
