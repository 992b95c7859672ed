"""A machine of a part, and the tasks that are, or may be, on it."""

from __future__ import annotations

from collections import OrderedDict

from marblestair.core.domain.model import JobSpec, MachineType

#: a task: its job and its number
TaskKey = tuple[str, int]


class PlacedTask:
    """A task that is, or may be, on a machine."""

    __slots__ = (
        "attempt",
        "grace",
        "index",
        "job",
        "need",
        "run_since",
        "saved",
        "sent_seq",
        "since",
        "state",
        "stop_sent",
        "team",
        "why_stop",
    )

    def __init__(
        self, job: str, index: int, attempt: int, need: tuple[int, int, int], team: str, now: float
    ) -> None:
        self.job = job
        self.index = index
        self.attempt = attempt
        self.need = need
        self.team = team
        #: ``planned`` until the launch is in an answer, ``sent`` until a report lists the task
        self.state = "planned"
        self.since = now
        self.run_since: float | None = None
        #: sequence number of the report whose answer carried the launch
        self.sent_seq = -1
        #: grace of the stop that is wanted, None when none is
        self.grace: float | None = None
        self.why_stop = ""
        self.stop_sent = -1e9
        self.saved = False


class Machine:
    """A machine of this part."""

    #: no placement on a machine that has not reported for this long; the part sets it
    quiet_s = 1e9

    def __init__(self, name: str, type_name: str, zone: str, spot: bool, now: float) -> None:
        self.name = name
        self.type_name = type_name
        self.zone = zone
        self.spot = spot
        self.type: MachineType | None = None
        self.addr = ""
        self.added = now
        #: newest (session, seq) seen; older reports are late copies
        self.session = 0
        self.seq = -1
        #: sessions below this one have lost their lease for certain
        self.min_session = 0
        #: a report under this part's term has been seen; the term at which it joined counts
        self.settled = False
        self.join_term = 0
        self.answered = -1e9
        self.seen = -1e9
        self.notice_at: float | None = None
        self.placed: dict[TaskKey, PlacedTask] = {}
        self.free = [0, 0, 0]
        #: exited tasks listed in the newest report: key -> (attempt, done)
        self.exited: dict[TaskKey, tuple[int, bool]] = {}
        #: tasks listed that this part knows nothing of; they are stopped
        self.unknown_tasks: dict[TaskKey, int] = {}
        self.draining = False
        #: what it ran was stopped so that it can be given back
        self.returning = False
        #: no more 200 answers: its lease is to run out, and the cloud is to take it
        self.given_up = False
        self.releasing = False
        self.silent = False
        #: it fell silent together with many others, and is waited for
        self.awaited = False
        #: the cloud lists it as stopped by itself
        self.failed = False
        #: its reports arrive, but answers and commands seem not to: nothing is placed here until
        #: it reports as often as only a worker does that is answered
        self.deaf = False
        self.deaf_since = now
        #: how often in a row a launch did not show in a newer report, or a lease ran out though
        #: it was answered
        self.unheeded = 0
        #: since when it has reported, without a gap, as often as only an answered worker does
        self.often_since = now
        #: answers to reports that did not carry this part's term yet
        self.untaken = 0
        #: it rests after a failure that counts against it
        self.not_before = -1e9
        self.idle_since: float | None = now
        self.images: OrderedDict[str, float] = OrderedDict()

    def set_type(self, t: MachineType | None) -> None:
        """Learn the machine's capacity."""
        if self.type is None and t is not None:
            self.type = t
            self.free = list(t.size)
            for p in self.placed.values():
                self._use(p.need, 1)

    def _use(self, need: tuple[int, int, int], sign: int) -> None:
        if self.type is not None:
            for i in range(3):
                self.free[i] -= sign * need[i]

    def put(self, p: PlacedTask) -> None:
        """Account for a task."""
        self.placed[(p.job, p.index)] = p
        self._use(p.need, 1)
        self.idle_since = None

    def take(self, p: PlacedTask, now: float) -> None:
        """Stop accounting for a task."""
        if self.placed.pop((p.job, p.index), None) is not None:
            self._use(p.need, -1)
            if not self.placed:
                self.idle_since = now

    def usable(self, now: float) -> bool:
        """Whether tasks may be placed here now."""
        return (
            self.settled
            and self.type is not None
            and not (self.draining or self.given_up or self.releasing or self.silent or self.deaf)
            and now - self.seen < self.quiet_s
            and self.notice_at is None
            and not self.unknown_tasks
            and now >= self.not_before
        )

    def note_image(self, spec: JobSpec) -> None:
        """Remember that the machine has, or fetches, an image."""
        self.images[spec.image] = spec.image_gb
        self.images.move_to_end(spec.image)
        cache = self.type.cache_gb if self.type else 0.0
        while len(self.images) > 1 and sum(self.images.values()) > cache:
            self.images.popitem(last=False)
