"""Creation of the summaries that the leader of a shard publishes a few times a second."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.jobs import JobKind
from marblestair.core.messaging.shard_summary import ShardSummary
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.demand import demanded_tasks, measure_demand
from marblestair.core.scheduling.dispatch import Dispatcher
from marblestair.core.scheduling.effective_quotas import EffectiveQuotas
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.scheduling.gang_claims import GangClaims
from marblestair.core.scheduling.machine_transfers import MachineTransfers
from marblestair.core.scheduling.placement import FreeCapacity
from marblestair.core.scheduling.preemption import Preemption
from marblestair.core.shard.boot_times import BootTimes
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.shard.machine import CordonReason, Machine
from marblestair.core.shard.partition_detection import partitioned_machines
from marblestair.core.shard.shard import Shard


class MachineUse(msgspec.Struct):
    """The machines of a shard, grouped by their use."""

    #: machines that run tasks but none of a gang, and their cpus in use, in fixed point
    busy_machines: list[tuple[str, int]] = []
    #: machines without tasks, and how long they have been idle, in seconds
    idle_machines: list[tuple[str, float]] = []
    #: machines that run tasks of gangs, and their cpus in use, in fixed point
    gang_machines: list[tuple[str, int]] = []
    #: machines that do not count as capacity: unresponsive, overdue (no first heartbeat in time),
    #: about to be reclaimed, or being released
    unavailable_machines: list[str] = []


class ShardSummarizer:
    """Creates the summaries of the shards that one node leads."""

    def __init__(  # noqa: PLR0913 - its collaborators
        self,
        context: NodeContext,
        quotas: EffectiveQuotas,
        failures: FailureAttribution,
        boot_times: BootTimes,
        preemption: Preemption,
        claims: GangClaims,
        dispatcher: Dispatcher,
        machine_transfers: MachineTransfers,
        fleet_plan: FleetPlan,
    ) -> None:
        self._context = context
        self._quotas = quotas
        self._failures = failures
        self._boot_times = boot_times
        self._preemption = preemption
        self._claims = claims
        self._dispatcher = dispatcher
        self._machine_transfers = machine_transfers
        self._fleet_plan = fleet_plan

    def summarize(self, shard: Shard) -> ShardSummary:
        """Create a shard's summary for the leaders of the other shards."""
        demand = measure_demand(
            self._failures, self._quotas, shard, self._fleet_plan.gangs_lacking_machines
        )
        agent_lease_s = self._context.settings.cluster.workers.lease_s
        partitioned = partitioned_machines(shard, agent_lease_s, self._context.now)
        use = self._machine_use(shard, partitioned)
        return ShardSummary(
            shard_id=shard.shard_id,
            term=shard.term,
            free_capacity=self._free_capacity(shard),
            preemptible_capacity=self._preemption.preemptible_capacity(shard),
            backlog_cpus=demand.backlog_cpus,
            free_quota=self._free_quota(shard),
            quota_shortfall=demand.quota_shortfall,
            pending_jobs=self._pending_jobs(shard),
            busy_machines=use.busy_machines,
            idle_machines=use.idle_machines,
            jobs_lacking_capacity=[
                job_slice.spec.id
                for job_slice in self._dispatcher.pending_in_order(shard)
                if self._machine_transfers.lacks_capacity(job_slice)
            ],
            gang_machines=[name for name, _ in use.gang_machines],
            unavailable_machines=use.unavailable_machines,
            partitioned_machines=sorted(partitioned),
            required_quota=demand.required_quota,
            failing_jobs=[
                (job, machine_count)
                for job, machine_count in self._failures.failing_jobs()
                if job in shard.slices
            ],
            gang_machine_cpus=use.gang_machines,
        )

    def _free_capacity(self, shard: Shard) -> list[FreeCapacity]:
        """Return the free capacity of the usable machines that have free cpus.

        Machines that are claimed by a gang, or reserved for a live job, are left out.
        """
        return [
            (
                machine.type_name,
                machine.zone,
                machine.spot,
                machine.free[0],
                machine.free[1],
                machine.free[2],
            )
            for machine in shard.machines.values()
            if machine.free[0] > 0
            and machine.is_usable(self._context.now)
            and not self._claims.is_claimed(machine)
        ]

    def _free_quota(self, shard: Shard) -> dict[str, list[int]]:
        """Return the cpus and gpus of each team's quota that are not in use, in fixed point."""
        free_quota = {}
        for team in self._context.teams:
            used, quota = shard.usage(team), self._quotas.quota(shard, team)
            free_quota[team] = [max(0, quota[i] - used[i]) for i in range(2)]
        return free_quota

    def _pending_jobs(self, shard: Shard) -> list[tuple[str, int, int]]:
        """Return the id, the number of waiting tasks, and the number of placed tasks of each job.

        Waiting tasks are the migrating ones and those that :func:`demanded_tasks` counts. Cancelled
        jobs, and jobs without pending, placed or migrating tasks, are omitted.
        """
        pending_jobs = []
        for job, job_slice in shard.slices.items():
            if job_slice.is_cancelled or not (
                len(job_slice.pending) or job_slice.placed_on or job_slice.migrating_ranges
            ):
                continue
            migrating = sum(end - start for start, end in job_slice.migrating_ranges)
            pending = demanded_tasks(self._failures, job_slice) + migrating
            pending_jobs.append((job, pending, len(job_slice.placed_on)))
        return pending_jobs

    def _machine_use(self, shard: Shard, partitioned: set[str]) -> MachineUse:
        """Group a shard's machines by use.

        Partitioned machines are omitted, unless they are being released. Machines that are cordoned
        for a transfer, and those that are neither idle nor known to run tasks, are omitted too.
        """
        use = MachineUse()
        gang_machines = _gang_machines(shard)
        for machine in shard.machines.values():
            is_cordoned_for_release = machine.cordon is CordonReason.RELEASE
            is_decommissioned = (
                machine.is_releasing or machine.is_decommissioned or is_cordoned_for_release
            )
            if machine.name in partitioned and not is_decommissioned:
                continue
            if is_decommissioned or self._is_unavailable(machine):
                use.unavailable_machines.append(machine.name)
            elif machine.cordon is not None:
                # The machine is being transferred to a gang's shard, so it is not idle. If the
                # machine counted as unavailable, the fleet plan would rent a second one.
                continue
            elif (
                machine.is_reconciled
                and machine.idle_since is not None
                and not machine.tasks
                and not machine.unknown_tasks
            ):
                idle_s = round(self._context.now - machine.idle_since, 2)
                use.idle_machines.append((machine.name, idle_s))
            elif machine.name in gang_machines:
                use.gang_machines.append((machine.name, _used_cpus(machine)))
            elif machine.machine_type is not None and machine.tasks:
                use.busy_machines.append((machine.name, _used_cpus(machine)))
        return use

    def _is_unavailable(self, machine: Machine) -> bool:
        """Whether a machine is unresponsive, about to be reclaimed, or overdue."""
        if machine.is_unresponsive or machine.reclaim_at is not None:
            return True
        return self._is_overdue(machine)

    def _is_overdue(self, machine: Machine) -> bool:
        """Whether a rented machine should have sent this leader a heartbeat by now.

        The time is measured from when the machine was added to the shard. Before a failover or a
        transfer, the machine may have sent its heartbeats to another leader. If machines did not
        count as capacity until their first heartbeat to this leader, replacements for all machines
        of the shard would be rented after a failover.
        """
        if machine.agent_incarnation or machine.machine_type is None:
            return False
        return self._boot_times.is_overdue(
            machine.machine_type, self._context.now - machine.added_at, self._context.now
        )


def _used_cpus(machine: Machine) -> int:
    """Return the cpus in use on a machine, in fixed point; 0 if its type is unknown."""
    if machine.machine_type is None:
        return 0
    return machine.machine_type.capacity[0] - machine.free[0]


def _gang_machines(shard: Shard) -> set[str]:
    """Return the names of the machines that run tasks of gangs."""
    return {
        machine.name
        for job_slice in shard.slices.values()
        if job_slice.spec.kind == JobKind.GANG
        for machine in job_slice.placed_on.values()
    }
