"""A machine of a shard, and the tasks that are, or may be, running on it."""

from __future__ import annotations

import enum
from collections import OrderedDict
from typing import NamedTuple, TypeAlias

from marblestair.core.domain.agents import TaskState
from marblestair.core.domain.amounts import Resources
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machines import MachineType
from marblestair.core.shard.responsiveness import Reachability, Responsiveness

#: job and index of a task. A key is built for each task that a heartbeat lists; a named tuple's
#: constructor would double the cost of a lookup.
TaskKey: TypeAlias = tuple[str, int]


class StopReason(enum.StrEnum):
    """The reason for which a task is stopped."""

    JOB_ENDED = "over"
    CANCELLED = "cancel"
    #: another task of the same gang was lost
    GANG_LOST = "gang"
    #: the cloud is about to reclaim the task's machine
    MACHINE_RECLAIMED = "drain"
    #: the task's resources are given to another task
    PREEMPTED = "preempted"
    #: the task's machine is to be released
    MACHINE_RELEASED = "returned"


class CordonReason(enum.Enum):
    """The reason for which no new task is placed on a working machine."""

    #: the machine is being transferred to another shard
    TRANSFER = "transfer"
    #: the machine is being emptied for release
    RELEASE = "return"


class ExitedTask(NamedTuple):
    """An exited task, which the agent lists until it receives a forget command."""

    attempt: int
    is_done: bool


class PlacedTask:
    """A task that is, or may be, running on a machine."""

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
        #: grace period of the requested stop, in seconds; None when no stop is requested
        self.stop_grace_s: float | None = None
        self.stop_reason: StopReason | None = None
        #: when the requested stop was last sent; None when it has not been sent yet
        self.stop_sent_at: float | None = None

    def request_stop(self, grace_s: float, reason: StopReason) -> None:
        """Request a stop of the task, replacing any stop requested earlier."""
        self.stop_grace_s, self.stop_reason = grace_s, reason
        self.stop_sent_at = None


class Machine:
    """A machine of a shard.

    The flags that say whether a machine is reconciled, cordoned, decommissioned or being released
    may occur in any combination.
    """

    def __init__(self, name: str, type_name: str, zone: str, spot: bool, now: float) -> None:
        self.name = name
        self.type_name = type_name
        self.zone = zone
        self.spot = spot
        #: None until the machine catalog lists the type
        self.machine_type: MachineType | None = None
        self.address = ""
        self.added_at = now
        #: incarnation and sequence number of the newest heartbeat, with which late duplicates are
        #: rejected; incarnation 0 means that no heartbeat has arrived
        self.agent_incarnation = 0
        self.sequence = -1
        #: highest fencing token of the accepted heartbeats since the agent's lease last expired
        self.fencing_token = 0
        #: the leases of agent incarnations below this one have expired
        self.min_incarnation = 0
        #: the shard's term when the machine joined it
        self.join_term = 0
        #: whether a heartbeat has arrived whose fencing token is at least ``join_term``; until
        #: then the agent's task list serves only to stop tasks of ended jobs
        self.is_reconciled = False
        #: when this node last answered a heartbeat with status 200, and when it last accepted one;
        #: None before the first
        self.last_answered_at: float | None = None
        self.last_heartbeat_at: float | None = None
        #: time since the last heartbeat after which no tasks are placed here, in seconds; None for
        #: no limit
        self.heartbeat_timeout_s: float | None = None
        #: when the cloud will reclaim the machine, if it has announced that
        self.reclaim_at: float | None = None
        self.tasks: dict[TaskKey, PlacedTask] = {}
        #: cpus, gpus and memory that no task reserves, in fixed point; zero until the type is known
        self.free = [0, 0, 0]
        #: exited tasks listed in the newest heartbeat
        self.exited_tasks: dict[TaskKey, ExitedTask] = {}
        #: attempt numbers of tasks that the agent lists but the shard does not expect here; these
        #: tasks are stopped
        self.unknown_tasks: dict[TaskKey, int] = {}
        self.responsiveness = Responsiveness(now)
        self.cordon: CordonReason | None = None
        #: heartbeats are never again answered with status 200, so that the agent's lease expires,
        #: and the cloud is asked to release the machine
        self.is_decommissioned = False
        #: a request to the cloud to release the machine is in flight
        self.is_releasing = False
        #: the cloud lists the machine as failed
        self.has_failed = False
        #: time until which no task is placed here, after a task failed or the agent refused to
        #: start one; None without such a back-off
        self.backoff_until: float | None = None
        self.idle_since: float | None = now
        #: image that the agent has cached or is fetching -> size in GB; most recently used last
        self.cached_images: OrderedDict[str, float] = OrderedDict()

    # --- capacity --------------------------------------------------------------------------

    def set_machine_type(self, machine_type: MachineType | None) -> None:
        """Set the machine's type, which determines its capacity, unless it is set already."""
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
        """Add a task and reserve its resources."""
        self.tasks[(task.job, task.index)] = task
        self._reserve(task.resources, 1)
        self.idle_since = None

    def remove_task(self, task: PlacedTask, now: float) -> None:
        """Remove a task, if it is here, and free its resources."""
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
            and (
                self.heartbeat_timeout_s is None
                or now - last_heartbeat_at < self.heartbeat_timeout_s
            )
            and self.reclaim_at is None
            and not self.unknown_tasks
            and (self.backoff_until is None or now >= self.backoff_until)
        )

    def back_off(self, until: float) -> None:
        """Place no task here before ``until``, or before the end of a longer earlier back-off."""
        if self.backoff_until is None or until > self.backoff_until:
            self.backoff_until = until

    def record_image(self, spec: JobSpec) -> None:
        """Record that the agent has or fetches a job's image.

        The least recently used images that exceed the agent's cache are dropped.
        """
        self.cached_images[spec.image] = spec.image_gb
        self.cached_images.move_to_end(spec.image)
        cache_gb = self.machine_type.cache_gb if self.machine_type else 0.0
        while len(self.cached_images) > 1 and sum(self.cached_images.values()) > cache_gb:
            self.cached_images.popitem(last=False)

    # --- reachability ----------------------------------------------------------------------

    @property
    def is_lease_expired(self) -> bool:
        """Whether the agent's lease has expired and no heartbeat has been accepted since."""
        return self.responsiveness.state is Reachability.LEASE_EXPIRED

    @property
    def is_unresponsive(self) -> bool:
        """Whether responses and commands seem not to reach the agent, or its lease has expired."""
        return self.responsiveness.state is not Reachability.RESPONSIVE

    def mark_lease_expired(self, now: float) -> None:
        """Record that the agent's lease has expired.

        Late duplicates of this incarnation's heartbeats are rejected from now on, so that the tasks
        that they list are not adopted again.
        """
        self.responsiveness.mark_lease_expired(now)
        # An agent that began anew has seen no token yet.
        self.fencing_token = 0
        self.min_incarnation = self.agent_incarnation + 1 if self.agent_incarnation else 0

    def last_seen_at(self, acquired_at: float) -> float:
        """Return the latest time at which the machine is known or assumed to have been up.

        This is the time of its last heartbeat, or of the shard's acquisition if that is later,
        since the previous leader may have received heartbeats until then.
        """
        last_heartbeat_at = self.last_heartbeat_at
        if last_heartbeat_at is None or last_heartbeat_at < acquired_at:
            return acquired_at
        return last_heartbeat_at
