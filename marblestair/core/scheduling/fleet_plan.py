"""The parts of the latest fleet plan that placement follows."""

from __future__ import annotations


class FleetPlan:
    """Reservations, draining machines and infeasible jobs, as set by capacity planning."""

    def __init__(self) -> None:
        #: machine reserved for a gang -> id of the pending gang, or "" for a gang that is expected
        self.reserved_machines: dict[str, str] = {}
        #: pending gangs that cannot get all their machines at present, neither from the fleet nor
        #: from the cloud; nothing is kept from other work for them
        self.gangs_lacking_machines: set[str] = set()
        #: whether nothing is kept for any gang at present, since other work waited too long
        self.is_reserving_suspended = False
        #: machines that should become idle; array tasks are placed there only if they fit on no
        #: other machine
        self.draining_machines: set[str] = set()
        #: jobs that get a penalty in the scheduling order (``priority_key``), since their team's
        #: cpu limit does not let all jobs of the team meet their deadlines
        self.infeasible_jobs: set[str] = set()

    def keeps_quota_for(self, gang: str) -> bool:
        """Whether quota is kept for a pending gang that cannot start yet."""
        return not self.is_reserving_suspended and gang not in self.gangs_lacking_machines
