"""Searches with random loads for work that reservations keep waiting, or that never collects.

Small gangs and arrays keep coming while large gangs collect their machines. The sizes, the order,
the zones, the limits of the teams, what the cloud refuses, and early failures are random. Findings
are the violations of the invariants, above all of the bounds of a wait beside free capacity, and
large gangs that the cloud can serve but that begin too late. The command line runs the search for
other seeds, which takes minutes:

    python -m tests.scenarios.reservation_search FIRST_SEED LAST_SEED
"""

from __future__ import annotations

import random
import sys

from marblestair.core.domain.jobs import JobSpec
from tests.fakes.samples import job_spec
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.scenarios.fleets import TEAM_NAMES, medium_fleet

#: bound of the time from the acceptance of a large gang, or the end of failures, to its first start
MAX_START_DELAY_S = 240.0
#: time during which failures may occur, and time that is observed without failures
FAILURES_S, QUIET_S = 50.0, 300.0
#: cpus of a task that needs a machine of the largest type for itself
WHOLE_MACHINE_CPUS = 30.0
#: cpus of a machine of the largest type, and mean cpu seconds of an array
LARGEST_TYPE_CPUS, MEAN_ARRAY_CPU_S = 32.0, 225.0
#: first number of the small jobs; large gangs have the numbers below
FIRST_SMALL_JOB = 100


class ReservationSearch:
    """Runs one deployment with a random fleet, random large gangs and a random flow of work."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = rng = random.Random(f"reservations {seed}")
        self.zones = rng.choice([["a"], ["a", "b"]])
        #: zone -> number of machines of the largest type that the cloud has there
        self.machines = {zone: rng.randint(2, 5) for zone in self.zones}
        total = sum(self.machines.values())
        self.large = [self._draw_large(number, total) for number in range(1, rng.choice([2, 2, 3]))]
        largest = max(spec.task_count for spec in self.large)
        # With the tight limit, a team can run its largest gang and little else.
        limit = rng.choice([64.0 * total, WHOLE_MACHINE_CPUS * (largest + 1) + 8.0])
        self.deployment = self._create_deployment(seed, limit)
        self.small_run_s = rng.uniform(8.0, 40.0)
        #: shares of the largest machines that the small gangs and the arrays use on average
        gang_load, array_load = rng.uniform(0.3, 1.1), rng.choice([0.0, 0.0, 0.1, 0.25])
        self.small_gap_s = self.small_run_s / max(1.0, gang_load * total)
        self.array_gap_s = (
            MEAN_ARRAY_CPU_S / (array_load * LARGEST_TYPE_CPUS * total) if array_load else None
        )
        self._next_job = FIRST_SMALL_JOB

    def _draw_large(self, number: int, total: int) -> JobSpec:
        rng = self.rng
        shape = rng.choice(["", "", "single_zone", "spread_zones"]) if len(self.zones) > 1 else ""
        return job_spec(
            number,
            kind="gang",
            team=rng.choice(TEAM_NAMES),
            task_count=rng.randint(2, total + 2),
            cpus=WHOLE_MACHINE_CPUS,
            mem_gb=20.0,
            estimated_run_s=rng.uniform(5.0, 25.0),
            single_zone=shape == "single_zone",
            spread_zones=shape == "spread_zones",
        )

    def _create_deployment(self, seed: int, limit: float) -> SimulatedDeployment:
        deployment = medium_fleet(seed, 3, 40, limit, zones=self.zones)
        for zone in ("a", "b"):
            deployment.cloud.capacity_by_kind["m32", zone] = self.machines.get(zone, 0)
            deployment.cloud.capacity_by_kind["m16", zone] = (
                self.rng.randint(0, 3) if zone in self.zones else 0
            )
        return deployment

    def run(self) -> list[str]:
        """Run the search and return the findings."""
        deployment, rng = self.deployment, self.rng
        self._submit_small()
        if self.array_gap_s is not None:
            self._submit_array()
        deployment.run(rng.uniform(2.0, 30.0))
        for spec in self.large:
            deployment.users.submit(spec)
            deployment.run(rng.uniform(0.0, 15.0))
        self._schedule_failures()
        deployment.run(FAILURES_S)
        deployment.end_failures()
        deployment.cloud.is_full = False
        deployment.run(QUIET_S)
        return [*deployment.rules.violations, *self._late_gangs()]

    def _submit_small(self) -> None:
        """Submit a small gang now, and the next ones after random pauses."""
        deployment, rng = self.deployment, self.rng
        spec = job_spec(
            self._next_job,
            kind="gang",
            team=rng.choice(TEAM_NAMES),
            task_count=rng.choice([1, 1, 1, 2]),
            cpus=rng.choice([WHOLE_MACHINE_CPUS, WHOLE_MACHINE_CPUS, 12.0]),
            mem_gb=20.0,
            estimated_run_s=self.small_run_s * rng.uniform(0.5, 1.2),
        )
        self._submit(spec)
        deployment.schedule(self.small_gap_s * rng.uniform(0.3, 1.7), self._submit_small)

    def _submit_array(self) -> None:
        """Submit an array now, and the next ones after random pauses."""
        deployment, rng = self.deployment, self.rng
        assert self.array_gap_s is not None
        spec = job_spec(
            self._next_job,
            team=rng.choice(TEAM_NAMES),
            task_count=rng.randint(1, 24),
            cpus=rng.choice([1.0, 2.0]),
            estimated_run_s=rng.uniform(4.0, 20.0),
            deadline_s=rng.choice([None, 60.0]),
        )
        self._submit(spec)
        deployment.schedule(self.array_gap_s * rng.uniform(0.3, 1.7), self._submit_array)

    def _submit(self, spec: JobSpec) -> None:
        self._next_job += 1
        deployment = self.deployment
        deployment.users.request(self.rng.choice(deployment.nodes.names), "submit", spec)

    def _schedule_failures(self) -> None:
        """Schedule random failures that end within ``FAILURES_S``."""
        deployment, rng = self.deployment, self.rng
        for _ in range(rng.randint(0, 3)):
            at = rng.uniform(0.0, 0.6 * FAILURES_S)
            failure = rng.choice(["kill", "kill_all", "full", "cloud"])
            if failure == "kill":
                node, back_s = rng.choice(deployment.nodes.names), rng.uniform(0.2, 10.0)
                deployment.schedule(at, lambda n=node, s=back_s: deployment.nodes.kill(n, s))
            elif failure == "kill_all":
                back_s = rng.uniform(0.2, 5.0)
                deployment.schedule(at, lambda s=back_s: deployment.nodes.kill_all(s))
            elif failure == "full":
                deployment.schedule(at, lambda: setattr(deployment.cloud, "is_full", True))
            else:
                deployment.schedule(at, lambda: setattr(deployment.cloud, "is_down", True))

    def can_be_served(self, spec: JobSpec) -> bool:
        """Whether the cloud has the machines and the team the cpus for a large gang."""
        if spec.single_zone:
            return spec.task_count <= max(self.machines.values())
        most_per_zone = (spec.task_count + 1) // 2 if spec.spread_zones else spec.task_count
        return spec.task_count <= sum(min(count, most_per_zone) for count in self.machines.values())

    def _late_gangs(self) -> list[str]:
        """Return the large gangs that can be served but began too late or not at all."""
        deployment = self.deployment
        ended_at = deployment.rules.failures_ended_at or 0.0
        late = []
        for spec in self.large:
            if not self.can_be_served(spec):
                continue
            starts = deployment.tasks.starts_of(spec.id)
            first_start = starts[0].at if starts else deployment.now
            since = max(ended_at, deployment.rules.accepted_at[spec.id])
            if first_start - since > MAX_START_DELAY_S:
                late.append(f"late: {spec.id} with {spec.task_count} tasks: {first_start - since}")
        return late


def main(first: int, last: int) -> None:
    """Run the search for a range of seeds and print the findings of each."""
    for seed in range(first, last + 1):
        search = ReservationSearch(seed)
        findings = search.run()
        starts = [
            round(found[0].at - search.deployment.rules.accepted_at[spec.id], 1)
            if (found := search.deployment.tasks.starts_of(spec.id))
            else None
            for spec in search.large
        ]
        sizes = [spec.task_count for spec in search.large]
        served = [search.can_be_served(spec) for spec in search.large]
        print(
            seed,
            search.machines,
            sizes,
            served,
            starts,
            len(findings),
            findings[:3],
            flush=True,
        )


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
