"""One part of the fleet under one term: its machines, tasks, leases and their reconciliation.

The rule this module guards above all is that no task runs twice. A task counts as on its machine
from the moment its launch is decided until it is *settled* as gone: a newer report of the
machine under this term does not list it (or lists it as exited), the worker's session has moved
on, the cloud confirmed that the machine is released, or the worker's lease must have run out.
Launches go only in the answers to reports: a worker drops answers after a few seconds and has one
report in flight, so its next report shows whether a launch happened.
"""

from __future__ import annotations

from collections import OrderedDict

from marblestair.core.boots import BootTimes
from marblestair.core.faults import Faults
from marblestair.core.model import (
    GANG,
    SERVICE,
    JobRecord,
    JobSpec,
    MachineType,
    Order,
    Report,
    TaskReport,
)
from marblestair.core.ranges import PAGE, Ranges
from marblestair.settings import Cluster

Key = tuple[str, int]

#: attempts are (term << ATTEMPT_BITS) + a count, so that no term reuses another's
ATTEMPT_BITS = 24
#: orders in one answer, to keep it well under the size limit
MAX_ORDERS = 400
#: a machine that has not reported for this many intervals gets nothing new, and gives back what
#: it was not sent yet
QUIET_REPORTS = 3.5
#: a worker that is answered reports again within this many intervals
HEARD_REPORTS = 2.0
#: launches or leases in a row without effect after which a machine counts as deaf
UNHEEDED = 2
#: share of a lease for which a machine must report as often as one that is answered, before what
#: went unheeded earlier is forgotten
HEARS_AGAIN = 0.5
#: allowance for clocks that drift apart, as a share of a lease
DRIFT = 0.002


class Placed:
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
        self.placed: dict[Key, Placed] = {}
        self.free = [0, 0, 0]
        #: exited tasks listed in the newest report: key -> (attempt, done)
        self.exited: dict[Key, tuple[int, bool]] = {}
        #: tasks listed that this part knows nothing of; they are stopped
        self.strays: dict[Key, int] = {}
        self.draining = False
        #: what it ran was stopped so that it can be given back
        self.returning = False
        #: no more 200 answers: its lease is to run out, and the cloud is to take it
        self.condemned = False
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

    def put(self, p: Placed) -> None:
        """Account for a task."""
        self.placed[(p.job, p.index)] = p
        self._use(p.need, 1)
        self.idle_since = None

    def take(self, p: Placed, now: float) -> None:
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
            and not (self.draining or self.condemned or self.releasing or self.silent or self.deaf)
            and now - self.seen < self.quiet_s
            and self.notice_at is None
            and not self.strays
            and now >= self.not_before
        )

    def note_image(self, spec: JobSpec) -> None:
        """Remember that the machine has, or fetches, an image."""
        self.images[spec.image] = spec.image_gb
        self.images.move_to_end(spec.image)
        cache = self.type.cache_gb if self.type else 0.0
        while len(self.images) > 1 and sum(self.images.values()) > cache:
            self.images.popitem(last=False)


class Slice:
    """The tasks of one job that this part holds."""

    def __init__(self, spec: JobSpec) -> None:
        self.spec = spec
        self.need = spec.need
        self.ranges: list[list[int]] = []
        self.size = 0
        self.pending = Ranges()
        self.placed: dict[int, Machine] = {}
        self.done = 0
        self.done_count = 0
        #: tasks on machines that were seen running
        self.runs = 0
        #: done bits that the state service holds, and the versions of their pages
        self.durable = 0
        self.pages: dict[int, int] = {}
        self.dirty_since: float | None = None
        self.cancelled = False
        self.cancelled_at = 0.0
        #: held before the takeover: some task may be on a machine that has not reported yet
        self.suspect = False
        self.attempt = 0
        #: version of the job record that this reflects
        self.version = 0
        self.stopping_gang = False
        self.waiting_since = 0.0
        #: task numbers dropped here for a migration whose commit is not known yet
        self.leaving: list[list[int]] = []
        #: the migration that dropped them: an earlier one must not restore them
        self.leaving_by = ""

    def load_done(self, page: int, bits: int) -> None:
        """Take in a page of progress that the state service holds."""
        bits <<= page * PAGE
        self.durable |= bits
        self.done |= bits
        for i in list(self.pending):
            if (bits >> i) & 1:
                self.pending.discard(i)
        self.done_count = sum(1 for i in Ranges(self.ranges) if (self.done >> i) & 1)

    def holds(self, i: int) -> bool:
        """Whether a task number belongs to this slice."""
        return any(a <= i < b for a, b in self.ranges)


class Part:
    """The state of one part while this controller owns it under one term."""

    def __init__(
        self,
        number: int,
        term: int,
        cluster: Cluster,
        now: float,
        faults: Faults | None = None,
        boots: BootTimes | None = None,
    ) -> None:
        self.faults = faults if faults is not None else Faults(cluster.workers)
        self.boots = boots if boots is not None else BootTimes()
        self.number = number
        self.term = term
        self.cluster = cluster
        self.since = now
        self.machines: dict[str, Machine] = {}
        self.slices: dict[str, Slice] = {}
        self.used: dict[str, list[int]] = {}
        #: machines of the part at the takeover whose tasks are not known yet
        self.suspects: set[str] = set()
        #: machines that list tasks of jobs that this part knows nothing of
        self.strayed: set[str] = set()
        #: the view has caught up with the takeover and progress is loaded
        self.ready = False
        #: being handed to another node
        self.closing = False
        #: term under which the part was taken; it tells one ownership from the next
        self.taken = term
        self._attempts = 0
        #: run times of finished tasks against their estimates, by class
        self.finished: list[tuple[JobSpec, float]] = []
        #: keys that are of no use any more (pages, rental intents), with the version that may be
        #: deleted; None where it is to be read first
        self.trash: dict[str, int | None] = {}
        self.lease_end = cluster.workers.lease_s * (1 + DRIFT) + 0.25

    # --- accounting ------------------------------------------------------------------------

    def new_attempt(self) -> int:
        """An attempt number that no other launch has or will have."""
        self._attempts += 1
        return (self.term << ATTEMPT_BITS) + self._attempts

    def usage(self, team: str) -> tuple[int, int]:
        """Return an upper bound of what a team's tasks use.

        Machines that are not settled, or that hold tasks of unknown jobs until those are
        stopped, count in full.
        """
        c, g = self.used.get(team, (0, 0))
        for name in (self.suspects | self.strayed) if self.strayed else self.suspects:
            m = self.machines.get(name)
            if m is None or m.type is None:
                return 1 << 62, 1 << 62
            c += m.type.size[0]
            g += m.type.size[1]
        return c, g

    def _count(self, p: Placed, sign: int) -> None:
        u = self.used.setdefault(p.team, [0, 0])
        u[0] += sign * p.need[0]
        u[1] += sign * p.need[1]

    def launch(self, m: Machine, s: Slice, index: int, attempt: int, now: float) -> None:
        """Decide to launch a task; the order goes in the answer to the machine's next report."""
        p = Placed(s.spec.id, index, attempt, s.need, s.spec.team, now)
        m.put(p)
        m.note_image(s.spec)
        s.placed[index] = m
        self._count(p, 1)

    def _adopt(self, m: Machine, s: Slice, t: TaskReport, now: float) -> None:
        p = Placed(t.job, t.index, t.attempt, s.need, s.spec.team, now)
        p.state = t.state
        if t.state in ("running", "saving"):
            p.run_since = now
            s.runs += 1
        if s.cancelled or (s.done >> t.index) & 1:
            p.grace, p.why_stop = 0.0, "over"
        m.put(p)
        m.note_image(s.spec)
        s.placed[t.index] = m
        s.pending.discard(t.index)
        s.attempt = max(s.attempt, t.attempt)
        self._count(p, 1)

    def _gone(self, m: Machine, p: Placed, now: float) -> None:
        """A task is settled as not on its machine; run it again unless it is done."""
        m.take(p, now)
        self._count(p, -1)
        s = self.slices.get(p.job)
        if s is None:
            return
        if s.placed.get(p.index) is m:
            del s.placed[p.index]
            if not s.placed:
                s.waiting_since = now
            if p.run_since is not None:
                s.runs -= 1
        if s.holds(p.index) and not (s.done >> p.index) & 1:
            s.pending.add(p.index, p.index + 1)
        if s.spec.kind == GANG:
            self._gang_lost(s)

    def _gang_lost(self, s: Slice) -> None:
        """A gang lost a member: the rest is stopped, and it starts again once all are gone."""
        if s.done_count == s.size:
            return
        if not s.placed:
            s.stopping_gang = False
            return
        s.stopping_gang = True
        for i, m in s.placed.items():
            p = m.placed.get((s.spec.id, i))
            if p is not None and p.grace is None:
                p.grace, p.why_stop = 0.0, "gang"

    def _done(self, s: Slice, index: int, now: float) -> None:
        if (s.done >> index) & 1 or not s.holds(index) or s.spec.kind == SERVICE:
            return
        # The members of a gang complete together: when one is done, all are.
        for i in Ranges(s.ranges) if s.spec.kind == GANG else (index,):
            if not (s.done >> i) & 1:
                s.done |= 1 << i
                s.done_count += 1
            s.pending.discard(i)
        if s.dirty_since is None:
            s.dirty_since = now

    # --- jobs ------------------------------------------------------------------------------

    def sync_job(self, record: JobRecord | None, job: str, version: int, now: float) -> None:
        """Follow a job's record: slices gained or lost, cancels, and its end."""
        s = self.slices.get(job)
        ranges = record.slices.get(str(self.number), []) if record is not None else []
        if record is None or (not ranges and s is None):
            if record is None and s is not None:
                for i, m in list(s.placed.items()):
                    p = m.placed.get((job, i))
                    if p is not None and p.grace is None:
                        p.grace, p.why_stop = 0.0, "over"
                del self.slices[job]
            return
        if s is None:
            s = self.slices[job] = Slice(record.spec)
            s.waiting_since = now
        if ranges != s.ranges:
            old = Ranges(s.ranges)
            mine_before = len(old)
            s.ranges = [list(r) for r in ranges]
            s.size = sum(b - a for a, b in s.ranges)
            if mine_before == 0:
                for a, b in s.ranges:
                    s.pending.add(a, b)
            else:
                now_held = Ranges(s.ranges)
                for i in list(s.pending):
                    if i not in now_held:
                        s.pending.discard(i)
                for i in now_held:
                    if i not in old and not (s.done >> i) & 1 and i not in s.placed:
                        s.pending.add(i, i + 1)
                # What a migration has dropped stays dropped until that migration is settled: this
                # record may be older than the update that is on its way.
                away, kept = Ranges(s.leaving), Ranges()
                for i in away:
                    if i in now_held:
                        kept.add(i, i + 1)
                        s.pending.discard(i)
                s.leaving = kept.items
                s.done_count = sum(1 for i in now_held if (s.done >> i) & 1)
                if not s.ranges and not s.placed and not s.cancelled:
                    del self.slices[job]
                    return
        s.version = version
        if record.cancelled:
            self.cancel(job, now)

    def cancel(self, job: str, now: float) -> None:
        """Apply a cancel: nothing starts any more, and what is there is stopped at once."""
        s = self.slices.get(job)
        if s is None or s.cancelled:
            return
        s.cancelled = True
        s.cancelled_at = now
        s.pending = Ranges()
        for i, m in list(s.placed.items()):
            p = m.placed.get((job, i))
            if p is None:
                continue
            if p.state == "planned":
                self._gone(m, p, now)
            else:
                p.grace, p.why_stop = 0.0, "cancel"
                p.stop_sent = -1e9
        s.pending = Ranges()

    def settle_suspects(self) -> None:
        """Once every machine of the takeover is settled, what is not on one may start."""
        if self.suspects:
            return
        for s in self.slices.values():
            s.suspect = False
            if s.spec.kind == GANG and s.placed and len(s.pending):
                # Only some of the gang survived the takeover.
                self._gang_lost(s)

    # --- machines --------------------------------------------------------------------------

    def add_machine(self, m: Machine) -> None:
        """A machine joins the part."""
        m.join_term = self.term
        m.quiet_s = QUIET_REPORTS * self.cluster.workers.report_s
        self.machines[m.name] = m

    def remove_machine(self, name: str, now: float) -> None:
        """A machine is gone for certain (released), or left the part idle and settled."""
        m = self.machines.pop(name, None)
        if m is None:
            return
        for p in list(m.placed.values()):
            self._gone(m, p, now)
        self.strayed.discard(name)
        self.suspects.discard(name)
        self.settle_suspects()

    def forget_tasks(self, m: Machine, now: float) -> None:
        """All tasks of the machine's session so far are gone."""
        for p in list(m.placed.values()):
            self._gone(m, p, now)
        m.exited = {}
        m.strays = {}
        self.strayed.discard(m.name)

    def _drain(self, now: float) -> None:
        """Save what can be saved on machines that the cloud takes back."""
        report_s = self.cluster.workers.report_s
        for m in self.machines.values():
            if m.notice_at is None:
                continue
            for p in list(m.placed.values()):
                s = self.slices.get(p.job)
                if s is None or s.spec.checkpoint_s <= 0 or p.grace is not None:
                    continue
                if m.notice_at - now > 2 * s.spec.save_s + 3 * report_s:
                    continue
                # A gang saves only if all its tasks are told, and told at nearly the same time.
                for i, at in s.placed.items():
                    q = at.placed.get((p.job, i))
                    if q is not None and q.grace is None:
                        q.grace, q.why_stop = max(s.spec.save_s, 0.001), "drain"

    def tick(self, now: float) -> None:
        """Let leases of silent workers run out."""
        self._drain(now)
        for m in list(self.machines.values()):
            last = m.answered if m.answered > self.since else self.since
            if now - m.seen >= m.quiet_s:
                # A launch that is in no answer yet can go elsewhere at once.
                for p in list(m.placed.values()):
                    if p.state == "planned":
                        self._gone(m, p, now)
            if (
                m.silent
                or now < last + self.lease_end
                or m.name not in self.suspects
                and not (m.session)
            ):
                continue
            # No report was answered for longer than the worker's lease: it has killed its
            # tasks. Late copies of its old reports must not bring them back.
            m.silent = True
            m.untaken = 0
            self._deaf(m, now)
            m.min_session = m.session + 1 if m.session else 0
            self.forget_tasks(m, now)
            self.suspects.discard(m.name)
            self.settle_suspects()

    def report(self, rep: Report, now: float) -> list[Order] | None:
        """Take in a report and return the orders of its answer.

        None when the report must not be answered with a 200.
        """
        m = self.machines.get(rep.machine)
        if m is None or m.condemned or m.releasing:
            return None
        if rep.token > self.term:
            return None
        newest = (rep.session, rep.seq) > (m.session, m.seq)
        if rep.session < m.min_session or not newest:
            # A late copy: the worker has given this report up, and its list is old.
            return None
        m.addr = rep.addr
        often = now - m.seen < HEARD_REPORTS * self.cluster.workers.report_s
        if rep.session != m.session:
            if not m.session and m.type is not None and m.name not in self.suspects:
                self.boots.note(m.type, now - m.added, now)
            if m.session:
                # Its lease ran out. If it reported all the while, what it was answered did not
                # reach it.
                if now - m.seen < self.cluster.workers.lease_s / 2:
                    m.unheeded += 1
                    self._deaf(m, now)
                self.forget_tasks(m, now)
            m.session = rep.session
        elif often and m.unheeded < UNHEEDED:
            # A worker that is not answered within some seconds turns to another controller.
            m.deaf = False
        if not often:
            m.often_since = now
        elif now - m.often_since > HEARS_AGAIN * self.cluster.workers.lease_s:
            # Nothing is sent to a deaf machine that could show whether it hears again.
            m.unheeded = 0
        m.seq = rep.seq
        if m.awaited:
            # It was away together with many. Whether it hears is told by what follows.
            m.deaf_since, m.awaited = now, False
        m.seen = now
        m.silent = False
        if rep.notice_s is not None:
            m.notice_at = now + rep.notice_s
        elif m.notice_at is not None:
            m.notice_at = None
        if rep.token >= m.join_term and not m.settled:
            m.settled = True
        if not m.settled:
            # Answering renews the lease and raises the token; the list counts only from the
            # first report that carries this term, because only that one is known to be newer
            # than everything the earlier owner sent. A machine that does not take the term up
            # is answered no more, so that its lease, which is counted from the last answer that
            # it may have had, comes to an end. (A session that moves on would not settle it: the
            # earlier session may be known from a late copy only.)
            if m.untaken > UNHEEDED:
                self._deaf(m, now)
                return None
            m.untaken += 1
            m.answered = now
            return self._over(rep)
        self._reconcile(m, rep, now)
        if m.name in self.suspects:
            self.suspects.discard(m.name)
            self.settle_suspects()
        m.answered = now
        return self._orders(m, now)

    def _over(self, rep: Report) -> list[Order]:
        """Return stops for tasks of jobs that are over on a machine that is not settled.

        An answer that renews its lease must not let them go on.
        """
        orders = []
        for t in rep.tasks:
            s = self.slices.get(t.job)
            if t.state != "exited" and (s is None or s.cancelled):
                orders.append(Order("stop", t.job, t.index, t.attempt, 0.0))
        return orders[:MAX_ORDERS]

    def _deaf(self, m: Machine, now: float) -> None:
        if not m.deaf:
            m.deaf, m.deaf_since = True, now

    def _reconcile(self, m: Machine, rep: Report, now: float) -> None:
        listed: dict[Key, TaskReport] = {}
        m.exited = {}
        m.strays = {}
        for t in rep.tasks:
            key = (t.job, t.index)
            p = m.placed.get(key)
            if t.state == "exited":
                if p is not None and p.attempt == t.attempt:
                    listed[key] = t
                elif t.why == "done":
                    # A result whose owner fell before it was recorded.
                    s = self.slices.get(t.job)
                    if s is not None and s.holds(t.index) and t.index not in s.placed:
                        self._done(s, t.index, now)
                if key not in m.exited or p is None or p.attempt != t.attempt:
                    m.exited[key] = (t.attempt, t.why == "done")
                continue
            listed[key] = t
            if p is not None and p.attempt == t.attempt:
                continue
            s = self.slices.get(t.job)
            if p is None and s is not None and s.holds(t.index) and t.index not in s.placed:
                self._adopt(m, s, t, now)
            else:
                m.strays[key] = t.attempt
        if m.strays:
            self.strayed.add(m.name)
        else:
            self.strayed.discard(m.name)
        lost = shown = False
        for key, p in list(m.placed.items()):
            found = listed.get(key)
            shown = shown or (found is not None and p.state == "sent")
            if found is not None and found.attempt == p.attempt:
                if found.state == "exited":
                    self._exited(m, p, found, now)
                elif found.state != p.state:
                    if found.state == "running" and p.run_since is None:
                        p.run_since = now
                        if (ran := self.slices.get(key[0])) is not None:
                            ran.runs += 1
                    p.state = found.state
            elif p.state == "sent":
                # Listed in no report newer than the answer that carried the launch: the answer
                # was dropped. It may be sent again.
                p.state = "planned"
                lost = True
                s = self.slices.get(key[0])
                if s is None or s.cancelled or p.grace is not None or m.deaf:
                    self._gone(m, p, now)
            elif p.state != "planned":
                self._gone(m, p, now)

        if shown:
            m.unheeded = 0
        elif lost:
            m.unheeded += 1
            if m.unheeded >= UNHEEDED and not m.deaf:
                self._deaf(m, now)
                for p in [p for p in m.placed.values() if p.state == "planned"]:
                    self._gone(m, p, now)

    def _exited(self, m: Machine, p: Placed, t: TaskReport, now: float) -> None:
        s = self.slices.get(p.job)
        if t.why == "done":
            if s is not None:
                if p.run_since is not None:
                    self.finished.append((s.spec, now - p.run_since))
                self.faults.succeeded(p.job, m.name)
                self._done(s, p.index, now)
        elif t.why == "error":
            self.faults.failed(p.job, m.name, s is not None and s.done_count > 0, now)
            m.not_before = max(m.not_before, now + self.faults.rest_s(m.name))
        elif t.why in ("no_room", "unknown", "busy"):
            m.not_before = now + 2 * self.cluster.workers.report_s
        self._gone(m, p, now)

    def _orders(self, m: Machine, now: float) -> list[Order]:
        orders: list[Order] = []
        for key, (attempt, done) in m.exited.items():
            s = self.slices.get(key[0])
            kept = done and s is not None and s.holds(key[1]) and s.spec.kind != SERVICE
            if kept and s is not None and not (s.durable >> key[1]) & 1:
                continue
            orders.append(Order("forget", key[0], key[1], attempt))
        for key, attempt in m.strays.items():
            orders.append(Order("stop", key[0], key[1], attempt, 0.0))
        for p in list(m.placed.values()):
            if p.grace is not None and p.state != "planned":
                orders.append(Order("stop", p.job, p.index, p.attempt, p.grace))
                p.stop_sent = now
        return orders

    def launches(self, m: Machine, now: float) -> list[Order]:
        """Launches to carry in the answer to the report just taken in, after its other orders."""
        orders: list[Order] = []
        if not m.settled or m.condemned or m.releasing:
            return orders
        for p in list(m.placed.values()):
            if p.state != "planned":
                continue
            s = self.slices.get(p.job)
            if m.deaf or s is None or s.cancelled or p.grace is not None or m.draining:
                self._gone(m, p, now)
            elif len(orders) < MAX_ORDERS:
                orders.append(Order("start", p.job, p.index, p.attempt))
                p.state = "sent"
                p.sent_seq = m.seq
        return orders

    def stop(self, tasks: list[Placed], why: str) -> None:
        """Stop tasks to make room for others; what can save does so."""
        for p in tasks:
            s = self.slices.get(p.job)
            if p.grace is None:
                saves = s is not None and s.spec.checkpoint_s > 0
                p.grace = s.spec.save_s if s is not None and saves else 0.0
                p.why_stop = why
                p.stop_sent = -1e9

    def direct_stops(self, now: float) -> list[tuple[Machine, list[Order]]]:
        """Return stops that should not wait for the machine's next report.

        They are harmless when late: attempts are never reused.
        """
        out = []
        again = self.cluster.workers.report_s * 2
        for m in self.machines.values():
            if not m.addr or not m.session or not m.settled:
                continue
            orders = []
            for p in m.placed.values():
                if p.grace is not None and p.state != "planned" and now - p.stop_sent > again:
                    orders.append(Order("stop", p.job, p.index, p.attempt, p.grace))
                    p.stop_sent = now
            if orders:
                out.append((m, orders[:MAX_ORDERS]))
        return out
