"""The parts of the latest fleet plan that placement follows."""

from __future__ import annotations


class FleetPlan:
    """Reserved machines, draining machines and infeasible jobs, as set by capacity planning."""

    def __init__(self) -> None:
        #: machine reserved for a gang -> id of the pending gang, or "" for a gang that is expected
        self.reserved_machines: dict[str, str] = {}
        #: machines that should become idle; array tasks are placed there only if they fit on no
        #: other machine
        self.draining_machines: set[str] = set()
        #: jobs that get a penalty in the scheduling order (``priority_key``), since their team's
        #: cpu limit does not let all jobs of the team meet their deadlines
        self.infeasible_jobs: set[str] = set()
