"""Propagation of changes in the store view to shards, machines, slices and job managers."""

from __future__ import annotations

from functools import partial

from marblestair.core.jobs.cancel_registry import CancelRegistry
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.job_managers import JobManagers
from marblestair.core.leadership.leadership import Leadership
from marblestair.core.leadership.shard_recovery import ShardRecovery
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.dispatch import Dispatcher
from marblestair.core.scheduling.guarantees import Guarantees
from marblestair.core.scheduling.inherited_urgency import InheritedUrgency
from marblestair.core.shard.boot_times import BootTimes
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.records import ShardMap, ShardRecord
from marblestair.core.state.store_view import StoreView


class ViewSynchronizer:
    """Updates the state that one node derives from its view of the store."""

    def __init__(  # noqa: PLR0913 - injected components
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        recovery: ShardRecovery,
        catalog: MachineCatalog,
        failures: FailureAttribution,
        boot_times: BootTimes,
        cancels: CancelRegistry,
        dependencies: DependencyGraph,
        urgency: InheritedUrgency,
        job_managers: JobManagers,
        guarantees: Guarantees,
        dispatcher: Dispatcher,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._recovery = recovery
        self._catalog = catalog
        self._failures = failures
        self._boot_times = boot_times
        self._cancels = cancels
        self._dependencies = dependencies
        self._urgency = urgency
        self._job_managers = job_managers
        self._guarantees = guarantees
        self._dispatcher = dispatcher

    def synchronize(self) -> None:
        """Apply all changes in the view since the last call."""
        view = self._view
        if view.shard_map_changed:
            view.shard_map_changed = False
            self._sync_shards()
        if view.changed_machines:
            names, view.changed_machines = view.changed_machines, set()
            for name in sorted(names):
                self.sync_machine(name)
        have_jobs_changed = bool(view.changed_jobs)
        if have_jobs_changed:
            jobs, view.changed_jobs = view.changed_jobs, set()
            for job in sorted(jobs):
                self._sync_job(job)
            self._sync_urgency()
        if have_jobs_changed or self._failures.quarantine_changed:
            self._failures.quarantine_changed = False
            self._guarantees.update()

    def _sync_job(self, job: str) -> None:
        self._cancels.record_changed(job)
        if job not in self._view.jobs:
            self._urgency.remove_job(job)
        for shard in self._leadership.shards.values():
            if shard.is_ready:
                self.sync_slice(shard, job)
        self._job_managers.record_changed(job)
        self._dependencies.record_changed(job)

    def _sync_urgency(self) -> None:
        """Update the slices of jobs whose urgency, inherited from dependent jobs, changed."""
        for job in self._urgency.pop_changed():
            for shard in self._leadership.shards.values():
                if job in shard.slices:
                    self.sync_slice(shard, job)

    def _sync_shards(self) -> None:
        shard_map = self._view.shard_map
        if shard_map is None:
            return
        self._sync_led_shards(shard_map)
        self._job_managers.shards_changed()

    def _sync_led_shards(self, shard_map: ShardMap) -> None:
        shards = self._leadership.shards
        for shard_id, record in enumerate(shard_map.shards):
            shard = shards.get(shard_id)
            if (record.leader, record.incarnation) == self._context.identity:
                if shard is not None and shard.acquired_term == record.acquired_term:
                    # The equal acquired terms show that this node has led the shard without
                    # interruption, although another leader may have raised the term to move a
                    # machine into the shard. Nothing else in the view shows whether leadership was
                    # lost and regained, since the rest may be older than the shard map.
                    shard.term = record.term
                else:
                    self._acquire(shard_id, record)
            elif shard is not None:
                del shards[shard_id]
                self._context.log(
                    "info", f"shard {shard_id} is now led by {record.leader}, term {record.term}"
                )

    def _acquire(self, shard_id: int, record: ShardRecord) -> None:
        """Start the recovery of a shard that this node has begun to lead."""
        shard = Shard(
            shard_id,
            record.term,
            self._context.settings.cluster,
            self._context.now,
            self._failures,
            self._boot_times,
        )
        shard.acquired_term = record.acquired_term
        self._leadership.shards[shard_id] = shard
        revision = self._view.version(keys.SHARD_MAP)
        self._context.supervise(partial(self._recovery.recover, shard, revision, self))

    def sync_machine(self, name: str, recovering: Shard | None = None) -> None:
        """Add a machine to, or remove it from, this node's ready shards as its record says.

        ``recovering`` is a shard that is updated although its recovery has not finished.
        """
        now = self._context.now
        record = self._view.machines.get(name)
        for shard in self._leadership.shards.values():
            if not shard.is_ready and shard is not recovering:
                continue
            machine = shard.machines.get(name)
            if record is None or record.shard_id != shard.shard_id:
                if machine is not None:
                    shard.remove_machine(name, now)
            elif machine is None:
                machine = Machine(name, record.machine_type, record.zone, record.spot, now)
                machine.set_machine_type(self._catalog.types.get(record.machine_type))
                shard.add_machine(machine)

    def sync_slice(self, shard: Shard, job: str) -> None:
        """Update a shard's slice of a job from the view."""
        now = self._context.now
        job_slice = shard.slices.get(job)
        was_blocked = job_slice is None or job_slice.is_blocked
        record = self._view.jobs.get(job)
        if record is None and job_slice is not None:
            for page, version in job_slice.page_versions.items():
                shard.obsolete_keys[keys.progress_page(shard.shard_id, job, page)] = version
        shard.sync_job(record, job, now)
        if job in shard.slices and self._cancels.is_known(job):
            # The record in the view may be older than the cancel and not show it.
            shard.cancel(job, now)
        job_slice = shard.slices.get(job)
        if job_slice is None or record is None:
            return
        job_slice.spec = self._urgency.scheduling_spec(record)
        if was_blocked and not job_slice.is_blocked:
            self._dispatcher.shards_with_new_work.add(shard.shard_id)
