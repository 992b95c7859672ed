"""What the plan for the fleet is made from, and what it says."""

from __future__ import annotations

import math

import msgspec

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machine_kinds import MachineKind, tasks_per_machine
from marblestair.core.domain.machines import MachineType
from marblestair.core.scheduling.arrivals import ExpectedGangs

#: a rental costs at least a minute; nothing is given back before
LEAST_AGE_S = 58.0


class Tuning(msgspec.Struct, frozen=True):
    """Weights of renting; operators may change them by their policy."""

    #: capacity beyond what deadlines need, as a share of it
    margin: float = 0.0
    #: over how many boot times the need is averaged
    smooth_boots: float = 1.0
    #: spare capacity, in machines, before an idle one is given back
    keep: float = 0.6
    #: share of the time left in which work should be done
    haste: float = 0.4
    #: capacity kept beyond the work at hand, in array jobs of the usual size
    reserve: float = 0.3
    #: idle machines kept for a class whose starts are wanted sooner than a machine boots
    spare_gangs: int = 1
    #: how much dearer an ordinary machine must be before a spot machine is chosen
    spot_risk: float = 0.2
    #: an idle machine is kept for at least this many of its boot times
    idle_boots: float = 0.5
    #: time after which jobs without a deadline should be done, in their run times
    patience: float = 2.0


class JobLoad(msgspec.Struct, frozen=True):
    """Work of one job at hand, over all parts."""

    spec: JobSpec
    pending: int
    running: int
    #: seconds until it should be done; negative when that has passed
    due_in_s: float
    #: expected run time of one task
    run_s: float
    #: how many of the waiting tasks the team's limit lets run
    allowed_tasks: int
    #: part in which a gang waits; -1 when that is not known
    shard_id: int = -1


class AvailableMachine(msgspec.Struct, frozen=True):
    """A machine at hand, up or booting."""

    name: str
    machine_type: MachineType
    zone: str
    spot: bool
    #: whether it runs a gang
    runs_gang: bool
    #: seconds without any task; negative while it is in use, or not up
    idle_s: float
    age_s: float
    #: cpus in use, in fixed point
    used_cpus: int = 0
    shard_id: int = -1
    #: silent with many others: likely back, so counted, but nothing is set aside on it
    is_absent: bool = False

    def ready_s(self, busy_s: float) -> float:
        """In how many seconds it may be empty; ``busy_s`` if it runs arrays now."""
        if self.idle_s >= 0:
            return 0.0
        return busy_s if self.used_cpus else max(1.0, self.machine_type.boot_s - self.age_s)


class RentalRequest(msgspec.Struct, frozen=True):
    """A rental to make."""

    machine_type: str
    zone: str
    spot: bool
    count: int
    #: part whose owner should rent, because a gang waits there; -1 for any
    shard_id: int = -1


def price_per_task(kind: MachineKind, spec: JobSpec, tuning: Tuning, scarce: set[str]) -> float:
    """Price of the share of the machine that one task takes, with what weighs against it."""
    price = kind.price / max(1, tasks_per_machine(kind.machine_type, spec.resources))
    if kind.spot:
        price *= 1.0 + tuning.spot_risk
    if kind.machine_type.name in scarce:
        price *= 1.5
    return price


def spare_gang_count(gangs: ExpectedGangs, types: dict[str, MachineType], least: int) -> int:
    """Count the gangs of a class to keep machines ready for.

    As many as come while a machine is rented for one, and a standard deviation more.
    """
    leads = [
        1.2 * machine_type.boot_s + gangs.spec.image_gb / max(machine_type.fetch_gb_per_s, 1e-6)
        for machine_type in types.values()
        if tasks_per_machine(machine_type, gangs.spec.resources)
    ]
    mean = gangs.arrivals_per_s * min(leads, default=0.0)
    return max(least, math.ceil(mean + math.sqrt(mean)))


class Plan(msgspec.Struct):
    """What should be done about the fleet."""

    rentals: list[RentalRequest]
    releases: list[str]
    #: cpus that arrays should have, and cpus they have
    target_cpus: float = 0.0
    capacity_cpus: float = 0.0
    #: machines that are to fall idle
    draining_machines: set[str] = set()
    #: those of them that nothing is kept for
    surplus_machines: set[str] = set()
    #: machines set aside for gangs: the job that waits for it, or "" for one that is expected
    reserved_machines: dict[str, str] = {}
