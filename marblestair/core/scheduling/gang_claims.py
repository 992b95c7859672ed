"""Claims of gangs on machines that are cleared for them by preemption.

The claims keep arrays from using freed capacity while other tasks are still being stopped, and keep
two gangs from waiting for the same machine.
"""

from __future__ import annotations

import math

import msgspec

from marblestair.core.leadership.leadership import Leadership
from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.fleet_plan import FleetPlan
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state.store_view import StoreView

#: time after which a claim expires even if its gang has not started, in heartbeat intervals
CLAIM_TTL_INTERVALS = 6.0
#: number of times in a row that a gang's claims may expire before the gang has started; the gang
#: then makes no claims for as long as a claim lasts, so that other work gets the cleared machines
MAX_EXPIRED_ROUNDS = 2


class Claim(msgspec.Struct):
    """A gang's claim on a machine that is being cleared for it."""

    job: str
    #: monotonic time in seconds
    expires_at: float


class _ExpiredClaims(msgspec.Struct):
    """How often the claims of a gang that is still pending have expired."""

    rounds: int = 0
    #: monotonic time of the latest expiry
    latest_at: float = -math.inf
    #: monotonic time until which the gang makes no claims
    paused_until: float = -math.inf


class GangClaims:
    """Holds the claims on the machines of one node's shards."""

    def __init__(
        self,
        context: NodeContext,
        view: StoreView,
        leadership: Leadership,
        fleet_plan: FleetPlan,
    ) -> None:
        self._context = context
        self._view = view
        self._leadership = leadership
        self._fleet_plan = fleet_plan
        #: machine -> its claim
        self.by_machine: dict[str, Claim] = {}
        #: gang -> its expired claims
        self._expired: dict[str, _ExpiredClaims] = {}

    def is_claimed(self, machine: Machine, job: str = "") -> bool:
        """Whether a machine is claimed by a job other than ``job``.

        If the machine has no claim: whether the fleet plan reserves the machine for a live job
        other than ``job``.
        """
        claim = self.by_machine.get(machine.name)
        if claim is not None:
            return claim.job != job
        reserved_for = self._fleet_plan.reserved_machines.get(machine.name, "")
        return reserved_for not in ("", job) and reserved_for in self._view.jobs

    def claim(self, job: str, machines: list[Machine]) -> None:
        """Let a gang claim machines; all these claims expire at the same time."""
        expires_at = self._context.now + self._ttl_s()
        for machine in machines:
            self.by_machine[machine.name] = Claim(job, expires_at)

    def machines_claimed_for(self, shard: Shard, job: str) -> list[Machine]:
        """Return the machines of a shard that a job claims."""
        names = [name for name, claim in self.by_machine.items() if claim.job == job]
        return [shard.machines[name] for name in names if name in shard.machines]

    def expire(self) -> None:
        """Remove claims that have expired, and those of jobs that have started or ended.

        Claims are also removed if no shard of this node has both the machine and the gang.
        """
        for name, claim in list(self.by_machine.items()):
            is_pending = any(
                name in shard.machines and self._is_pending(shard, claim.job)
                for shard in self._leadership.shards.values()
            )
            if not is_pending:
                del self.by_machine[name]
            elif self._context.now > claim.expires_at:
                del self.by_machine[name]
                self._record_expiry(claim.job)
        for job in list(self._expired):
            if not any(self._is_pending(shard, job) for shard in self._leadership.shards.values()):
                del self._expired[job]

    def _is_pending(self, shard: Shard, gang: str) -> bool:
        """Whether a shard has a gang without placed tasks."""
        job_slice = shard.slices.get(gang)
        return job_slice is not None and not job_slice.placed_on

    def _record_expiry(self, gang: str) -> None:
        """Count a round of expired claims; all claims of a round expire at the same time."""
        now = self._context.now
        expired = self._expired.setdefault(gang, _ExpiredClaims())
        if expired.latest_at == now:
            return
        expired.latest_at = now
        expired.rounds += 1
        if expired.rounds >= MAX_EXPIRED_ROUNDS:
            expired.rounds = 0
            expired.paused_until = now + self._ttl_s()
            self._context.log(
                "info",
                f"gang {gang} makes no claims for {self._ttl_s():.0f} s:"
                f" its claims expired {MAX_EXPIRED_ROUNDS} times before it could start",
            )

    def may_claim(self, gang: str) -> bool:
        """Whether a gang may make claims now."""
        expired = self._expired.get(gang)
        return expired is None or self._context.now >= expired.paused_until

    def _ttl_s(self) -> float:
        return CLAIM_TTL_INTERVALS * self._context.settings.cluster.workers.report_s

    def has_claims(self, job: str) -> bool:
        """Whether a job has any claim."""
        return any(claim.job == job for claim in self.by_machine.values())
