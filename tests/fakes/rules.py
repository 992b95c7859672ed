"""The users' rules, judged from the outside: by what users were told and what ran where."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

from marblestair import settings as st
from marblestair.core.domain.jobs import JobKind, JobSpec
from tests.fakes.state import FakeState
from tests.fakes.worker import FakeTask, Worker


class Rules:
    """What a simulated deployment must never show; ``broken`` lists what it did show."""

    now: float
    at: Callable[[float, Callable[[], None]], None]
    settings: list[st.Settings]
    state: FakeState
    cancel_s: float
    specs: dict[str, JobSpec]
    workers: dict[str, Worker]
    holders: dict[str, dict[str, Worker]]
    results: set[tuple[str, int]]
    cancel_asked: set[str]
    _ids: itertools.count[int]

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.accepted: dict[str, float] = {}
        self.told: dict[str, str] = {}
        #: job -> the final state that a user was told first, and the place of that answer in the
        #: order of all requests and such answers
        self.final_told: dict[str, tuple[str, int]] = {}
        self.cancel_told: dict[str, float] = {}
        #: job -> when a user was first told that it is over, done or cancelled
        self.over_told: dict[str, float] = {}
        #: when the last task of a job was done
        self.done_at: dict[str, float] = {}
        #: time, job, task, machine and attempt of each start
        self.starts: list[tuple[float, str, int, str, int]] = []
        #: since when the troubles are over, as the test says; what waits is judged from then on
        self.quiet_since: float | None = None
        #: job -> since when it has waited beside room
        self._beside: dict[str, float] = {}

    def _judge(self, what: str, arg: Any, r: Any, begun: int | None = None) -> None:
        """Judge an answer to a request that began at a place in the order of all requests."""
        if begun is None:
            begun = next(self._ids)
        job = arg.id if what == "submit" else arg
        if what == "submit":
            if r.status in (200, 201):
                self.accepted.setdefault(job, self.now)
            elif r.status in (400, 422) and job in self.accepted:
                self.broken.append(f"forgotten: {job} refused with {r.status}")
        if r.status == 404 and job in self.accepted:
            self.broken.append(f"forgotten: {job} answered 404")
        if r.status in (200, 201):
            if job not in self.specs:
                self.broken.append(f"invented: {job}")
                return
            self._judge_order(job, r.state, begun)
            if r.state == "cancelled" and not self._cancel_asked_before(job):
                self.broken.append(f"went_back: {job} cancelled by nobody")
            self._judge_orphan(job, r.state)
            if r.state == "done":
                missing = [
                    i for i in range(self.specs[job].task_count) if (job, i) not in self.results
                ]
                if missing:
                    self.broken.append(f"not_done: {job} lacks {missing}")
            self._note_told(job, r.state)

    def _note_told(self, job: str, state: str) -> None:
        """Remember what a user was told, and when it was told first."""
        if state in ("done", "cancelled"):
            self.over_told.setdefault(job, self.now)
        if state == "cancelled":
            self.cancel_told.setdefault(job, self.now)
        self.told[job] = state

    def ancestors(self, job: str) -> set[str]:
        """The jobs that a job needs, directly or through others."""
        found: set[str] = set()
        stack = [job]
        while stack:
            for parent in self.specs[stack.pop()].depends_on:
                if parent not in found and parent in self.specs:
                    found.add(parent)
                    stack.append(parent)
        return found

    def _cancel_asked_before(self, job: str) -> bool:
        """Whether a user cancelled the job or one that it needs."""
        return bool(({job} | self.ancestors(job)) & self.cancel_asked)

    def _judge_orphan(self, job: str, state: str) -> None:
        """Judge that what needs a cancelled job is not called alive for longer than allowed."""
        if state not in ("queued", "running"):
            return
        for ancestor in self.ancestors(job):
            told = self.cancel_told.get(ancestor)
            if told is not None and self.now > told + self.cancel_s:
                self.broken.append(f"orphaned: {job} called {state}, {ancestor} is cancelled")

    def _lacks(self, job: str) -> list[str]:
        """The jobs that a job awaits and of which some task is not done."""
        return [
            parent
            for parent in self.specs[job].depends_on
            if any((parent, i) not in self.results for i in range(self.specs[parent].task_count))
        ]

    def _ready(self, job: str) -> float:
        """When a job's tasks might start: after its acceptance and after all that it awaits."""
        if self._lacks(job):
            return self.now
        done = [self.done_at.get(parent, 0.0) for parent in self.specs[job].depends_on]
        return max([self.accepted[job], *done])

    def _judge_order(self, job: str, state: str, begun: int) -> None:
        """Judge that no answer goes back.

        What began before a final state was told may be answered with what was true when it
        began; two final states may never differ.
        """
        final, since = self.final_told.get(job, ("", 0))
        is_final = state in ("done", "cancelled")
        if final and state != final and (begun > since or is_final):
            self.broken.append(f"went_back: {job} from {final} to {state}")
        if is_final and not final:
            self.final_told[job] = (state, next(self._ids))

    def check_start(self, worker: Worker, t: FakeTask) -> None:
        """The rules that concern a start."""
        self.starts.append((self.now, t.job, t.index, worker.name, t.attempt))
        spec = self.specs[t.job]
        if self._lacks(t.job):
            self.broken.append(f"too_early: {t.job} starts, {self._lacks(t.job)} are not done")
        for other in self.holders.get(t.job, {}).values():
            x = other.tasks.get((t.job, t.index))
            if x is not None and x is not t and x.state != "exited" and not other.deleted:
                self.broken.append(
                    f"ran_twice: {t.job}/{t.index} on {worker.name} and {other.name}"
                )
        if (spec.machine_types is not None and worker.type.name not in spec.machine_types) or (
            spec.zone is not None and worker.zone != spec.zone
        ):
            self.broken.append(f"wrong_place: {t.job} on {worker.name}")
        if worker.spot and not spec.allows_spot:
            self.broken.append(f"wrong_place: {t.job} on spot {worker.name}")
        zones = [
            x.zone
            for x in self.holders.get(t.job, {}).values()
            if not x.deleted
            for y in x.live.values()
            if y.job == t.job
        ]
        if spec.single_zone and len(set(zones)) > 1:
            self.broken.append(f"wrong_place: {t.job} in {set(zones)}")
        if spec.spread_zones and zones.count(worker.zone) > (spec.task_count + 1) // 2:
            self.broken.append(f"wrong_place: {t.job} has too many in {worker.zone}")
        told = self.cancel_told.get(t.job)
        if told is not None and self.now > told + self.cancel_s:
            self.broken.append(f"ran_cancelled: {t.job} starts")

    def _check(self) -> None:
        self.at(0.25, self._check)
        self._watch_waiting()
        self.broken += self.state.unsafe
        self.state.unsafe.clear()
        used: dict[str, float] = {}
        for worker in self.workers.values():
            if worker.deleted:
                continue
            for task in worker.live.values():
                spec = self.specs[task.job]
                used[spec.team] = used.get(spec.team, 0.0) + spec.cpus
                told = self.cancel_told.get(task.job)
                if told is not None and self.now > told + self.cancel_s:
                    self.broken.append(f"ran_cancelled: {task.job} on {worker.name}")
                self._judge_left_over(worker, task)
        for team in self.settings[0].cluster.teams:
            if used.get(team.name, 0.0) > team.cpu_limit + 1e-9:
                self.broken.append(f"quota: {team.name} uses {used[team.name]}")

    def _judge_left_over(self, worker: Worker, task: FakeTask) -> None:
        """Judge that no task goes on of which the controllers no longer know.

        A user was told that its job is over, or one before its job, and it runs all the same.
        """
        over = {job: self.cancel_told.get(job) for job in self.ancestors(task.job)}
        over[task.job] = self.over_told.get(task.job)
        for job, told in over.items():
            if told is not None and self.now > told + self.cancel_s:
                self.broken.append(
                    f"orphaned: {task.job}/{task.index} on {worker.name}, {job} is over"
                )

    def _watch_waiting(self) -> None:
        """Once troubles are over, no job waits 90 s beside a machine with room for it while its
        team is under its limit.
        """
        if self.quiet_since is None:
            self._beside.clear()
            return
        limits = {team.name: team.cpu_limit for team in self.settings[0].cluster.teams}
        rooms = []
        for worker in self.workers.values():
            if not worker.deleted and worker.up and not worker.hung and worker.notice is None:
                live = [self.specs[task.job].resources for task in worker.live.values()]
                free = [a - sum(n[i] for n in live) for i, a in enumerate(worker.type.capacity)]
                rooms.append((worker, free))
                for task in worker.live.values():
                    spec = self.specs[task.job]
                    limits[spec.team] -= spec.cpus
        for job in self.accepted:
            spec = self.specs[job]
            on = {
                task.index
                for worker in self.holders.get(job, {}).values()
                for task in worker.live.values()
                if task.job == job and not worker.deleted
            }
            done = {i for j, i in self.results if j == job}
            waits = spec.task_count - len(on | done)
            over = self.told.get(job) in ("done", "cancelled")
            if self._cancel_asked_before(job) or waits <= 0 or over or self._lacks(job):
                self._beside.pop(job, None)
                continue
            whole = spec.kind == JobKind.GANG
            fits = sum(
                min((f // n for f, n in zip(free, spec.resources, strict=True) if n), default=0)
                for worker, free in rooms
                if spec.may_run_on(worker.type.name, worker.zone, worker.spot)
                and (not spec.single_zone or not on or worker.zone in self._zones_of(job))
            )
            enough = fits >= (spec.task_count if whole else 1) and not (whole and on)
            if not enough or limits[spec.team] < spec.cpus * (spec.task_count if whole else 1):
                self._beside.pop(job, None)
                continue
            since = self._beside.setdefault(job, self.now)
            last = max((t for t, j, *_ in self.starts[-200:] if j == job), default=0.0)
            if self.now - max(since, last) > 90.0:
                self.broken.append(f"waits: {job} beside room")
                self._beside[job] = self.now

    def _zones_of(self, job: str) -> set[str]:
        return {
            worker.zone
            for worker in self.holders.get(job, {}).values()
            if not worker.deleted and any(task.job == job for task in worker.live.values())
        }

    def unserved(self) -> list[str]:
        """Classes and teams of which less than half of what was accepted and not cancelled is
        done, and jobs that did not begin within four minutes.
        """
        out = []
        began: dict[str, float] = {}
        for t, job, *_ in self.starts:
            began.setdefault(job, t)
        jobs = [j for j in self.accepted if not self._cancel_asked_before(j)]
        kinds: dict[str, list[bool]] = {}
        for j in jobs:
            over = all((j, i) in self.results for i in range(self.specs[j].task_count))
            for kind in (f"class {self.specs[j].job_class}", f"team {self.specs[j].team}"):
                kinds.setdefault(kind, []).append(over)
            if began.get(j, self.now) - self._ready(j) > 240.0:
                out.append(f"late: {j}")
        return out + [f"unserved: {k}" for k, v in kinds.items() if 2 * sum(v) < len(v)]
