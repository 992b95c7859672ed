"""A machine of a part, and the tasks that are, or may be, on it."""

from __future__ import annotations

import enum
from collections import OrderedDict

from marblestair.core.domain.agents import TaskState
from marblestair.core.domain.jobs import JobSpec
from marblestair.core.domain.machines import MachineType

#: a task: its job and its number
TaskKey = tuple[str, int]


class StopReason(enum.StrEnum):
    """Why a task is to stop."""

    JOB_ENDED = "over"
    CANCELLED = "cancel"
    #: another task of its gang is gone
    GANG_LOST = "gang"
    #: the cloud takes the machine back
    MACHINE_RECLAIMED = "drain"
    #: other work needs its resources
    PREEMPTED = "preempted"
    #: its machine is to be given back
    MACHINE_RETURNED = "returned"


class PlacedTask:
    """A task that is, or may be, on a machine."""

    __slots__ = (
        "attempt",
        "stop_grace_s",
        "index",
        "job",
        "resources",
        "running_since",
        "is_checkpoint_saved",
        "sent_sequence",
        "placed_at",
        "state",
        "stop_sent_at",
        "team",
        "stop_reason",
    )

    def __init__(
        self, job: str, index: int, attempt: int, need: tuple[int, int, int], team: str, now: float
    ) -> None:
        self.job = job
        self.index = index
        self.attempt = attempt
        self.resources = need
        self.team = team
        #: ``planned`` until the launch is in an answer, ``sent`` until a report lists the task
        self.state = TaskState.PLANNED
        self.placed_at = now
        self.running_since: float | None = None
        #: sequence number of the report whose answer carried the launch
        self.sent_sequence = -1
        #: grace of the stop that is wanted, None when none is
        self.stop_grace_s: float | None = None
        self.stop_reason: StopReason | None = None
        self.stop_sent_at = -1e9
        self.is_checkpoint_saved = False


class Machine:
    """A machine of this part."""

    #: no placement on a machine that has not reported for this long; the part sets it
    silence_limit_s = 1e9

    def __init__(self, name: str, type_name: str, zone: str, spot: bool, now: float) -> None:
        self.name = name
        self.type_name = type_name
        self.zone = zone
        self.spot = spot
        self.machine_type: MachineType | None = None
        self.address = ""
        self.added_at = now
        #: newest (session, seq) seen; older reports are late copies
        self.agent_incarnation = 0
        self.sequence = -1
        #: sessions below this one have lost their lease for certain
        self.min_incarnation = 0
        #: a report under this part's term has been seen; the term at which it joined counts
        self.is_reconciled = False
        self.join_term = 0
        self.answered_at = -1e9
        self.last_heartbeat_at = -1e9
        self.reclaim_at: float | None = None
        self.tasks: dict[TaskKey, PlacedTask] = {}
        self.free = [0, 0, 0]
        #: exited tasks listed in the newest report: key -> (attempt, done)
        self.exited_tasks: dict[TaskKey, tuple[int, bool]] = {}
        #: tasks listed that this part knows nothing of; they are stopped
        self.unknown_tasks: dict[TaskKey, int] = {}
        self.is_draining = False
        #: what it ran was stopped so that it can be given back
        self.is_returning = False
        #: no more 200 answers: its lease is to run out, and the cloud is to take it
        self.is_given_up = False
        self.is_releasing = False
        self.is_silent = False
        #: it fell silent together with many others, and is waited for
        self.is_awaited = False
        #: the cloud lists it as stopped by itself
        self.has_failed = False
        #: its reports arrive, but answers and commands seem not to: nothing is placed here until
        #: it reports as often as only a worker does that is answered
        self.is_unresponsive = False
        self.unresponsive_since = now
        #: how often in a row a launch did not show in a newer report, or a lease ran out though
        #: it was answered
        self.ignored_commands = 0
        #: since when it has reported, without a gap, as often as only an answered worker does
        self.frequent_since = now
        #: answers to reports that did not carry this part's term yet
        self.ignored_terms = 0
        #: it rests after a failure that counts against it
        self.usable_from = -1e9
        self.idle_since: float | None = now
        self.cached_images: OrderedDict[str, float] = OrderedDict()

    def set_machine_type(self, machine_type: MachineType | None) -> None:
        """Learn the machine's capacity."""
        if self.machine_type is None and machine_type is not None:
            self.machine_type = machine_type
            self.free = list(machine_type.capacity)
            for task in self.tasks.values():
                self._reserve(task.resources, 1)

    def _reserve(self, need: tuple[int, int, int], sign: int) -> None:
        if self.machine_type is not None:
            for i in range(3):
                self.free[i] -= sign * need[i]

    def add_task(self, task: PlacedTask) -> None:
        """Account for a task."""
        self.tasks[(task.job, task.index)] = task
        self._reserve(task.resources, 1)
        self.idle_since = None

    def remove_task(self, task: PlacedTask, now: float) -> None:
        """Stop accounting for a task."""
        if self.tasks.pop((task.job, task.index), None) is not None:
            self._reserve(task.resources, -1)
            if not self.tasks:
                self.idle_since = now

    def is_usable(self, now: float) -> bool:
        """Whether tasks may be placed here now."""
        return (
            self.is_reconciled
            and self.machine_type is not None
            and not (
                self.is_draining
                or self.is_given_up
                or self.is_releasing
                or self.is_silent
                or self.is_unresponsive
            )
            and now - self.last_heartbeat_at < self.silence_limit_s
            and self.reclaim_at is None
            and not self.unknown_tasks
            and now >= self.usable_from
        )

    def record_image(self, spec: JobSpec) -> None:
        """Remember that the machine has, or fetches, an image."""
        self.cached_images[spec.image] = spec.image_gb
        self.cached_images.move_to_end(spec.image)
        cache = self.machine_type.cache_gb if self.machine_type else 0.0
        while len(self.cached_images) > 1 and sum(self.cached_images.values()) > cache:
            self.cached_images.popitem(last=False)
