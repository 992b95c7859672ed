"""Data types and shared constants of the fleet plan: its inputs, tuning and results."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machines import MachineType

#: minimum age at which an idle machine is released or a surplus one is emptied, in seconds; a
#: rental costs at least one minute
MIN_RENTAL_S = 58.0
#: boot time that is assumed for an unknown machine type, in seconds
UNKNOWN_BOOT_S = 30.0
#: planned boot time as a multiple of the type's nominal boot time; most boots take no longer
SLOW_BOOT_RATIO = 1.2
#: minimum time that a booting machine is assumed to need until it is up, in seconds
MIN_BOOT_LEFT_S = 1.0
#: used in place of a job id for a machine that is reserved for a gang that has not arrived yet
EXPECTED_GANG = ""


class Tuning(msgspec.Struct, frozen=True):
    """Parameters of the fleet plan, which operators can set in the policy script."""

    #: additional capacity for arrays, as a ratio to the capacity that they demand
    capacity_margin: float = 0.0
    #: time constant of the moving average of the arrays' target, in boot times of the type that
    #: boots fastest
    smoothing_boot_times: float = 1.0
    #: minimum surplus at which an idle machine is released, as a ratio to the machine's cpus
    release_surplus: float = 0.6
    #: time in which pending tasks should be completed, as a share of the time until they are due
    deadline_share: float = 0.4
    #: additional capacity for arrays that have not arrived yet, as a multiple of the average size
    #: of an array
    headroom_jobs: float = 0.3
    #: minimum number of gangs of each latency-sensitive class for which machines are kept on
    #: standby; 0 keeps no machines on standby
    standby_gangs: int = 1
    #: surcharge on the price of spot machines in comparisons, as a ratio to that price
    spot_risk_premium: float = 0.2
    #: minimum time for which a machine must be idle before it is released, in boot times of its
    #: type
    min_idle_boot_times: float = 0.5
    #: time in which a job without a deadline should be completed after it became startable, in run
    #: times of its tasks
    default_deadline_run_times: float = 2.0


class JobLoad(msgspec.Struct, frozen=True):
    """The unfinished work of one job in all shards."""

    spec: JobSpec
    pending: int
    running: int
    #: seconds until the job should be completed; negative if that time has passed
    due_in_s: float
    #: expected run time of one task in seconds
    run_s: float
    #: number of pending tasks that the team's cpu limit allows to run
    allowed_tasks: int
    #: a shard that has tasks of the job; None if not known
    shard_id: int | None = None
    #: seconds since the job became startable
    waited_s: float = 0.0
    #: number of pending tasks, also of those that the team's limit does not allow
    waiting: int = 0


class AvailableMachine(msgspec.Struct, frozen=True):
    """A machine that is up or booting."""

    name: str
    machine_type: MachineType
    zone: str
    spot: bool
    runs_gang: bool
    #: seconds for which the machine has had no task; None while it has tasks or is booting
    idle_s: float | None
    age_s: float
    shard_id: int
    #: cpus in use, in fixed point
    used_cpus: int = 0
    #: whether the machine is presumed to be in a network partition; such a machine is not reserved
    #: for gangs, but it counts as capacity, because it will probably reconnect
    is_partitioned: bool = False

    def empty_in_s(self, busy_s: float) -> float:
        """Return the expected seconds until the machine is up and empty.

        This is ``busy_s`` if the machine has tasks, and 0 if it is idle.
        """
        if self.idle_s is not None:
            return 0.0
        if self.used_cpus:
            return busy_s
        return max(MIN_BOOT_LEFT_S, self.machine_type.boot_s - self.age_s)


class RentalRequest(msgspec.Struct, frozen=True):
    """Machines of one kind to rent."""

    machine_type: str
    zone: str
    spot: bool
    count: int
    #: shard whose leader rents the machines because a gang is pending there; None divides the
    #: machines among the shards
    shard_id: int | None = None


class Plan(msgspec.Struct):
    """The fleet plan: the actions that adapt the fleet to the demand."""

    rentals: list[RentalRequest] = []
    #: names of idle machines to release
    releases: list[str] = []
    #: target and current capacity for arrays, in cpus
    target_cpus: float = 0.0
    capacity_cpus: float = 0.0
    #: machines that get tasks only if there is no other free capacity: surplus and standby machines
    draining_machines: set[str] = set()
    #: the draining machines whose cpus are not needed to reach the arrays' target
    surplus_machines: set[str] = set()
    #: machine reserved for a gang -> id of the pending job, or EXPECTED_GANG
    reserved_machines: dict[str, str] = {}
    #: pending gangs that cannot get all machines that they need at present
    gangs_lacking_machines: set[str] = set()
