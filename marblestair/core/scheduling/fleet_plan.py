"""What the plan of the fleet asks of placement."""

from __future__ import annotations


class FleetPlan:
    """The latest plan, as far as placement goes by it; capacity planning sets it."""

    def __init__(self) -> None:
        #: machines reserved for gangs -> the job that waits for it, or "" for one that is expected
        self.reserved_machines: dict[str, str] = {}
        #: machines that are to fall idle, used only when there is no other free capacity
        self.draining_machines: set[str] = set()
        #: jobs put off, because their team's limit does not let all be done in time
        self.infeasible_jobs: set[str] = set()
