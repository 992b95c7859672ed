"""What placement has to know of the latest plan of the fleet."""

from __future__ import annotations


class FleetPlan:
    """What placement follows of the latest plan; capacity planning sets it."""

    def __init__(self) -> None:
        #: machine reserved for a gang -> the job that waits for it, or "" for an expected gang
        self.reserved_machines: dict[str, str] = {}
        #: machines that are to become idle, used only when there is no other free capacity
        self.draining_machines: set[str] = set()
        #: jobs put off, because their team's limit does not let all be done in time
        self.infeasible_jobs: set[str] = set()
