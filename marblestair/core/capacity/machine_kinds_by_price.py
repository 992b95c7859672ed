"""Which kinds of machines to rent for a job: those that are available, cheapest first."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from marblestair.core.capacity.provisioning import JobLoad, Tuning
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machine_kinds import MachineKind, kinds_for_job, tasks_per_machine
from marblestair.core.domain.machines import MachineType
from marblestair.core.scheduling.arrivals import ExpectedGangs

#: how much dearer a scarce type counts for work that could run on others
SCARCE_PRICE_RATIO = 1.5
#: cpus that a machine has, at least, where its price is divided by them
MIN_CPUS = 1.0


class KindFilter(NamedTuple):
    """What decides on which kinds of machines a job may run, and on which its tasks fit."""

    machine_types: tuple[str, ...] | None
    zone: str | None
    allows_spot: bool
    cpus: float
    gpus: float
    mem_gb: float


def scarce_types(
    expected_gangs: dict[str, ExpectedGangs], types: dict[str, MachineType]
) -> set[str]:
    """Types on which the gangs of a class depend that cannot run on every type.

    They are left to those gangs where other work has a choice.
    """
    scarce: set[str] = set()
    for gangs in expected_gangs.values():
        fitting = {kind.machine_type.name for kind in kinds_for_job(gangs.spec, types)}
        if len(fitting) < len(types):
            scarce |= fitting
    return scarce


class KindsByPrice:
    """The kinds of machines that can be rented, as one plan weighs their prices."""

    def __init__(
        self,
        types: dict[str, MachineType],
        is_refused: Callable[[MachineKind], bool],
        tuning: Tuning,
        scarce: set[str],
    ) -> None:
        self.types = types
        self._is_refused = is_refused
        self._tuning = tuning
        self._scarce = scarce
        self._kinds: dict[KindFilter, list[MachineKind]] = {}

    def available(self, spec: JobSpec) -> list[MachineKind]:
        """The kinds on which a job may run and that the cloud does not refuse now."""
        return [kind for kind in self._kinds_for(spec) if not self._is_refused(kind)]

    def cheapest_first(self, spec: JobSpec) -> list[MachineKind]:
        """The available kinds for an array, scarce types later than by their price."""
        return sorted(
            self.available(spec),
            key=lambda kind: (self._price_per_task(kind, spec, self._scarce), kind.zone),
        )

    def cheapest(self, kinds: list[MachineKind], spec: JobSpec) -> MachineKind:
        """The cheapest of some kinds for a gang."""
        no_scarce: set[str] = set()
        return min(kinds, key=lambda kind: (self._price_per_task(kind, spec, no_scarce), kind.zone))

    def spot_price_per_cpu(self, loads: list[JobLoad]) -> float | None:
        """The lowest price of a cpu for some work on available spot machines; None without any."""
        risk = 1 + self._tuning.spot_risk_premium
        # Many jobs have the same list of kinds.
        lists = [self._kinds_for(load.spec) for load in loads]
        prices = [
            kind.price * risk / max(kind.machine_type.cpus, MIN_CPUS)
            for kinds in {id(kinds): kinds for kinds in lists}.values()
            for kind in kinds
            if kind.spot and not self._is_refused(kind)
        ]
        return min(prices, default=None)

    def _kinds_for(self, spec: JobSpec) -> list[MachineKind]:
        """The kinds on which a job may run, found once for all jobs that are alike in this."""
        types = None if spec.machine_types is None else tuple(spec.machine_types)
        kind_filter = KindFilter(
            types, spec.zone, spec.allows_spot, spec.cpus, spec.gpus, spec.mem_gb
        )
        kinds = self._kinds.get(kind_filter)
        if kinds is None:
            kinds = self._kinds[kind_filter] = kinds_for_job(spec, self.types)
        return kinds

    def _price_per_task(self, kind: MachineKind, spec: JobSpec, scarce: set[str]) -> float:
        """Price of the share of a machine that one task uses, with what weighs against it."""
        price = kind.price / max(1, tasks_per_machine(kind.machine_type, spec.resources))
        if kind.spot:
            price *= 1.0 + self._tuning.spot_risk_premium
        if kind.machine_type.name in scarce:
            price *= SCARCE_PRICE_RATIO
        return price
