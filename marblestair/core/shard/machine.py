"""A machine of a shard, and the tasks that are, or may be, on it."""

from __future__ import annotations

import enum
from collections import OrderedDict
from typing import NamedTuple, TypeAlias

from marblestair.core.domain.agents import TaskState
from marblestair.core.domain.amounts import Resources
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machines import MachineType
from marblestair.core.shard.responsiveness import Reachability, Responsiveness

#: job and index of a task. A plain pair rather than a named tuple: one is built for each task that
#: a heartbeat lists, and the constructor of a named tuple would double the cost of the search.
TaskKey: TypeAlias = tuple[str, int]


class StopReason(enum.StrEnum):
    """Why a task is to stop."""

    JOB_ENDED = "over"
    CANCELLED = "cancel"
    #: another task of its gang is gone
    GANG_LOST = "gang"
    #: the cloud reclaims the machine
    MACHINE_RECLAIMED = "drain"
    #: other work gets its resources
    PREEMPTED = "preempted"
    #: its machine is to be released
    MACHINE_RELEASED = "returned"


class CordonReason(enum.Enum):
    """Why nothing new is placed on a machine that works."""

    #: it is being transferred to another shard
    TRANSFER = "transfer"
    #: its tasks were stopped so that it can be released
    RELEASE = "return"


class ExitedTask(NamedTuple):
    """An exited task that an agent lists until a command lets it forget the task."""

    attempt: int
    is_done: bool


class PlacedTask:
    """A task that is, or may be, on a machine."""

    __slots__ = (
        "attempt",
        "index",
        "job",
        "resources",
        "running_since",
        "state",
        "stop_grace_s",
        "stop_reason",
        "stop_sent_at",
        "team",
    )

    def __init__(self, job: str, index: int, attempt: int, resources: Resources, team: str) -> None:
        self.job = job
        self.index = index
        self.attempt = attempt
        self.resources = resources
        self.team = team
        self.state = TaskState.PLANNED
        self.running_since: float | None = None
        #: grace of the stop that is requested; None when none is
        self.stop_grace_s: float | None = None
        self.stop_reason: StopReason | None = None
        #: when a command to stop was last sent; None when none was since the stop was requested
        self.stop_sent_at: float | None = None

    def request_stop(self, grace_s: float, reason: StopReason) -> None:
        """Have the task stopped, in place of any stop that was requested before."""
        self.stop_grace_s, self.stop_reason = grace_s, reason
        self.stop_sent_at = None


class Machine:
    """A machine of a shard.

    Its states are independent of one another, except those in ``responsiveness``: a machine may be
    reconciled or not, cordoned or not, given up and being released in any combination.
    """

    def __init__(self, name: str, type_name: str, zone: str, spot: bool, now: float) -> None:
        self.name = name
        self.type_name = type_name
        self.zone = zone
        self.spot = spot
        #: None while the catalog does not list the type
        self.machine_type: MachineType | None = None
        self.address = ""
        self.added_at = now
        #: the newest heartbeat; older ones are late copies. An incarnation of 0: there was none.
        self.agent_incarnation = 0
        self.sequence = -1
        #: agent incarnations below this one have surely lost their lease
        self.min_incarnation = 0
        #: the term at which the machine joined the shard
        self.join_term = 0
        #: a heartbeat with the fencing token of that term, or a later one, has come: from then on
        #: what the agent lists counts
        self.is_reconciled = False
        #: when the leader last answered, and received, a heartbeat; None before the first
        self.answered_at: float | None = None
        self.last_heartbeat_at: float | None = None
        #: time without a heartbeat after which nothing is placed here; None: no limit
        self.silence_limit_s: float | None = None
        #: when the cloud reclaims the machine, if it has announced that
        self.reclaim_at: float | None = None
        self.tasks: dict[TaskKey, PlacedTask] = {}
        #: what tasks may still use of cpus, gpus and memory, in fixed point
        self.free = [0, 0, 0]
        #: exited tasks listed in the newest heartbeat
        self.exited_tasks: dict[TaskKey, ExitedTask] = {}
        #: attempts of listed tasks that this shard knows nothing of; they are stopped
        self.unknown_tasks: dict[TaskKey, int] = {}
        self.responsiveness = Responsiveness(now)
        self.cordon: CordonReason | None = None
        #: no more 200 responses, for good: its lease is to expire, and the cloud is to stop it
        self.is_decommissioned = False
        #: a request to release it is under way
        self.is_releasing = False
        #: the cloud lists it as stopped by itself
        self.has_failed = False
        #: nothing is placed here before, after a failure or a refused start; None: no back-off
        self.backoff_until: float | None = None
        self.idle_since: float | None = now
        #: images that the agent has or fetches, with their size in GB, the latest used last
        self.cached_images: OrderedDict[str, float] = OrderedDict()

    # --- capacity --------------------------------------------------------------------------

    def set_machine_type(self, machine_type: MachineType | None) -> None:
        """Set the machine's type, and so its capacity, if it was not known."""
        if self.machine_type is None and machine_type is not None:
            self.machine_type = machine_type
            self.free = list(machine_type.capacity)
            for task in self.tasks.values():
                self._reserve(task.resources, 1)

    def _reserve(self, resources: Resources, sign: int) -> None:
        if self.machine_type is not None:
            free = self.free
            free[0] -= sign * resources.cpus
            free[1] -= sign * resources.gpus
            free[2] -= sign * resources.mem_gb

    def add_task(self, task: PlacedTask) -> None:
        """Reserve what a task uses."""
        self.tasks[(task.job, task.index)] = task
        self._reserve(task.resources, 1)
        self.idle_since = None

    def remove_task(self, task: PlacedTask, now: float) -> None:
        """Free what a task used, if it was here."""
        if self.tasks.pop((task.job, task.index), None) is not None:
            self._reserve(task.resources, -1)
            if not self.tasks:
                self.idle_since = now

    def is_usable(self, now: float) -> bool:
        """Whether tasks may be placed here now."""
        last_heartbeat_at = self.last_heartbeat_at
        return (
            self.is_reconciled
            and self.machine_type is not None
            and self.responsiveness.state is Reachability.RESPONSIVE
            and self.cordon is None
            and not self.is_decommissioned
            and not self.is_releasing
            and last_heartbeat_at is not None
            and (self.silence_limit_s is None or now - last_heartbeat_at < self.silence_limit_s)
            and self.reclaim_at is None
            and not self.unknown_tasks
            and (self.backoff_until is None or now >= self.backoff_until)
        )

    def back_off(self, until: float) -> None:
        """Place nothing here for a while, or for longer than was decided before."""
        if self.backoff_until is None or until > self.backoff_until:
            self.backoff_until = until

    def record_image(self, spec: JobSpec) -> None:
        """Record that the machine has, or fetches, a job's image."""
        self.cached_images[spec.image] = spec.image_gb
        self.cached_images.move_to_end(spec.image)
        cache_gb = self.machine_type.cache_gb if self.machine_type else 0.0
        while len(self.cached_images) > 1 and sum(self.cached_images.values()) > cache_gb:
            self.cached_images.popitem(last=False)

    # --- reachability ----------------------------------------------------------------------

    @property
    def is_lease_expired(self) -> bool:
        """Whether the agent's lease has expired without a heartbeat since."""
        return self.responsiveness.state is Reachability.SILENT

    @property
    def is_unresponsive(self) -> bool:
        """Whether responses and commands seem not to reach the agent, be it silent or not."""
        return self.responsiveness.state is not Reachability.RESPONSIVE

    def mark_lease_expired(self, now: float) -> None:
        """Record that the agent's lease has expired.

        Late copies of heartbeats of this incarnation must not bring its tasks back.
        """
        self.responsiveness.mark_lease_expired(now)
        self.min_incarnation = self.agent_incarnation + 1 if self.agent_incarnation else 0

    def last_seen_at(self, acquired_at: float) -> float:
        """Time since which nothing shows that the machine lives.

        That is its last heartbeat here, or the acquisition of the shard if that is later: earlier
        heartbeats may have reached the earlier leader.
        """
        last_heartbeat_at = self.last_heartbeat_at
        if last_heartbeat_at is None or last_heartbeat_at < acquired_at:
            return acquired_at
        return last_heartbeat_at
