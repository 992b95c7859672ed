"""What the plan for the fleet is made from, and what it asks for."""

from __future__ import annotations

import msgspec

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machines import MachineType

#: age before which no machine is released, in seconds: a rental costs at least a minute
MIN_RENTAL_S = 58.0
#: boot time where no machine type is known, in seconds
UNKNOWN_BOOT_S = 30.0
#: boots take up to this many times the usual time, as a rule
SLOW_BOOT_RATIO = 1.2
#: time that a machine which is due to be up is still expected to take, in seconds
MIN_BOOT_LEFT_S = 1.0
#: stands for the job where a machine is reserved for a gang that is only expected
EXPECTED_GANG = ""


class Tuning(msgspec.Struct, frozen=True):
    """Weights of the plan; operators may change them by their policy."""

    #: capacity beyond what deadlines demand, as a ratio to it
    capacity_margin: float = 0.0
    #: over how many boot times the demand is averaged
    smoothing_boot_times: float = 1.0
    #: surplus from which on an idle machine is released, in machines of its size
    release_surplus: float = 0.6
    #: share of the time until its deadline within which work should be done
    deadline_share: float = 0.4
    #: capacity beyond the work at hand, in array jobs of the usual size
    headroom_jobs: float = 0.3
    #: gangs, at least, for which machines stand by in a class whose starts are latency-sensitive
    standby_gangs: int = 1
    #: by how much the price of spot machines counts as higher than it is, as a ratio
    spot_risk_premium: float = 0.2
    #: an idle machine is released after at least this many of its boot times
    min_idle_boot_times: float = 0.5
    #: time after which jobs without a deadline should be done, in their run times
    default_deadline_run_times: float = 2.0


class JobLoad(msgspec.Struct, frozen=True):
    """Unfinished work of one job in all shards."""

    spec: JobSpec
    pending: int
    running: int
    #: seconds until it should be done; negative when that has passed
    due_in_s: float
    #: expected run time of one task
    run_s: float
    #: how many of the pending tasks the team's limit allows to run
    allowed_tasks: int
    #: a shard in which tasks of the job are; None where that is not known
    shard_id: int | None = None


class AvailableMachine(msgspec.Struct, frozen=True):
    """A machine that is up or booting."""

    name: str
    machine_type: MachineType
    zone: str
    spot: bool
    runs_gang: bool
    #: seconds without any task; None while it is in use, or not up
    idle_s: float | None
    age_s: float
    shard_id: int
    #: cpus in use, in fixed point
    used_cpus: int = 0
    #: silent with many others: likely back, so counted, but not to be reserved
    is_absent: bool = False

    def ready_s(self, busy_s: float) -> float:
        """In how many seconds it may be empty; ``busy_s`` if it runs arrays now."""
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
    #: shard whose leader should rent them, because a gang is pending there; None for any
    shard_id: int | None = None


class Plan(msgspec.Struct):
    """What should be done about the fleet."""

    rentals: list[RentalRequest] = []
    releases: list[str] = []
    #: cpus that arrays should have, and cpus they have
    target_cpus: float = 0.0
    capacity_cpus: float = 0.0
    #: machines that are to fall idle
    draining_machines: set[str] = set()
    #: those of them that are beyond all demand
    surplus_machines: set[str] = set()
    #: machines reserved for gangs, and the pending job, or EXPECTED_GANG
    reserved_machines: dict[str, str] = {}
