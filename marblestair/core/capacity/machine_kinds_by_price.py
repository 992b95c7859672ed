"""Selection of the kinds of machines to rent for a job, by availability and price."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from marblestair.core.capacity.provisioning import JobLoad, Tuning
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machine_kinds import MachineKind, kinds_for_job, tasks_per_machine
from marblestair.core.domain.machines import MachineType
from marblestair.core.scheduling.arrivals import ExpectedGangs

#: factor by which a scarce type's price is multiplied when prices are compared for arrays; scarce
#: types are defined by ``scarce_types``
SCARCE_PRICE_RATIO = 1.5
#: lower bound of the number of cpus by which a price is divided; avoids a division by zero
MIN_DIVISOR_CPUS = 1.0


class KindFilter(NamedTuple):
    """The properties of a job that determine the kinds of machines it may run on."""

    machine_types: tuple[str, ...] | None
    zone: str | None
    allows_spot: bool
    cpus: float
    gpus: float
    mem_gb: float


def scarce_types(
    expected_gangs: dict[str, ExpectedGangs], types: dict[str, MachineType]
) -> set[str]:
    """Return the types that can run a class of expected gangs that some other types cannot run.

    ``cheapest_first`` raises the price of these types for arrays, so that the cloud still has
    machines of these types when the gangs arrive.
    """
    scarce: set[str] = set()
    for gangs in expected_gangs.values():
        fitting = {kind.machine_type.name for kind in kinds_for_job(gangs.spec, types)}
        if len(fitting) < len(types):
            scarce |= fitting
    return scarce


class KindsByPrice:
    """Finds and orders, for one plan, the kinds of machines that can be rented for a job."""

    def __init__(
        self,
        types: dict[str, MachineType],
        is_refused: Callable[[MachineKind], bool],
        tuning: Tuning,
        scarce: set[str],
        is_doubtful: Callable[[MachineKind], bool],
    ) -> None:
        self.types = types
        self._is_refused = is_refused
        #: tells whether it is doubtful that the cloud has a kind, since it refused it lately
        self.is_doubtful = is_doubtful
        self._tuning = tuning
        self._scarce = scarce
        self._kinds: dict[KindFilter, list[MachineKind]] = {}

    def available(self, spec: JobSpec) -> list[MachineKind]:
        """Return the kinds that a job may run on, without those that the cloud refuses now."""
        return [kind for kind in self._kinds_for(spec) if not self._is_refused(kind)]

    def cheapest_first(self, spec: JobSpec) -> list[MachineKind]:
        """Return the available kinds for an array, cheapest first.

        The price of scarce types is multiplied by ``SCARCE_PRICE_RATIO``.
        """
        return sorted(
            self.available(spec),
            key=lambda kind: (self._price_per_task(kind, spec, self._scarce), kind.zone),
        )

    def cheapest(self, kinds: list[MachineKind], spec: JobSpec) -> MachineKind:
        """Return the cheapest of some kinds for a gang; the price of scarce types is not raised."""
        no_scarce: set[str] = set()
        return min(kinds, key=lambda kind: (self._price_per_task(kind, spec, no_scarce), kind.zone))

    def spot_price_per_cpu(self, loads: list[JobLoad]) -> float | None:
        """Return the lowest price per cpu of the spot kinds that are available for some jobs.

        The price includes the risk premium on spot machines. Returns None if there is no such kind.
        """
        risk = 1 + self._tuning.spot_risk_premium
        # Jobs with equal properties share one list of kinds, so each list is examined once.
        lists = [self._kinds_for(load.spec) for load in loads]
        prices = [
            kind.price * risk / max(kind.machine_type.cpus, MIN_DIVISOR_CPUS)
            for kinds in {id(kinds): kinds for kinds in lists}.values()
            for kind in kinds
            if kind.spot and not self._is_refused(kind)
        ]
        return min(prices, default=None)

    def _kinds_for(self, spec: JobSpec) -> list[MachineKind]:
        """Return the kinds that a job may run on; cached for all jobs with equal properties."""
        types = None if spec.machine_types is None else tuple(spec.machine_types)
        kind_filter = KindFilter(
            types, spec.zone, spec.allows_spot, spec.cpus, spec.gpus, spec.mem_gb
        )
        kinds = self._kinds.get(kind_filter)
        if kinds is None:
            kinds = self._kinds[kind_filter] = kinds_for_job(spec, self.types)
        return kinds

    def _price_per_task(self, kind: MachineKind, spec: JobSpec, scarce: set[str]) -> float:
        """Return the price of one task's share of a machine.

        The price is raised by the risk premium on spot machines, and by ``SCARCE_PRICE_RATIO`` for
        the types in ``scarce``.
        """
        price = kind.price / max(1, tasks_per_machine(kind.machine_type, spec.resources))
        if kind.spot:
            price *= 1.0 + self._tuning.spot_risk_premium
        if kind.machine_type.name in scarce:
            price *= SCARCE_PRICE_RATIO
        return price
