"""The controller: composes authority, parts, the jobs' managers and the fleet.

Pure: every input carries the time, every output is collected for the shell to carry out. Nothing
here does I/O, reads a clock or uses global randomness.
"""

from __future__ import annotations

import random
from functools import partial
from typing import Any

import msgspec

from marblestair.core.capacity.boot_times import BootTimes
from marblestair.core.capacity.failures import FailureAttribution
from marblestair.core.capacity.fleet import FleetManager
from marblestair.core.capacity.shard_summary import summarise
from marblestair.core.domain.model import Heartbeat, MachineType, TaskCommand
from marblestair.core.jobs.answers import Answers
from marblestair.core.jobs.cancellations import Cancellations
from marblestair.core.jobs.completion_records import CompletionRecords
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.job_managers import JobManagers
from marblestair.core.jobs.migration_locks import MigrationLocks
from marblestair.core.jobs.user_requests import UserRequests
from marblestair.core.leadership.leadership import ISOLATED, Leadership
from marblestair.core.leadership.shard_recovery import rebuild
from marblestair.core.runtime.coroutines import Coroutine, CoroutineRunner
from marblestair.core.runtime.decision_log import Decision, DecisionLog
from marblestair.core.runtime.outbox import DirectCommand, PeerMessage, ShardSummary, UserReply
from marblestair.core.runtime.requests import CompareAndSwap
from marblestair.core.scheduling.dispatch import Dispatcher
from marblestair.core.scheduling.inherited_urgency import InheritedUrgency
from marblestair.core.scheduling.machine_transfers import MachineTransfers
from marblestair.core.scheduling.preemption import Preemption
from marblestair.core.scheduling.quota import within_guarantee
from marblestair.core.scheduling.quota_transfers import QuotaTransfers
from marblestair.core.scheduling.slice_migration import SliceMigrations
from marblestair.core.shard.machine import Machine
from marblestair.core.shard.shard import Shard
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView
from marblestair.core.status import status
from marblestair.settings import Settings, Team

#: boot times after which a machine that was rented is expected to report
BOOTED = 2.0


class Controller:
    """One node's whole state; see the module's page for how it is driven."""

    def __init__(
        self, settings: Settings, incarnation: int, rng: random.Random, now: float, wall: float
    ) -> None:
        self.settings = settings
        self.node = settings.node
        self.incarnation = incarnation
        self.me = (settings.node, incarnation)
        self.rng = rng
        self.now = now
        self.wall = wall
        self.started = now
        self.teams: dict[str, Team] = {t.name: t for t in settings.cluster.teams}
        self.runner = CoroutineRunner()
        self.runner.on_error = self._flow_error
        self.replies: list[UserReply] = []
        self.commands: list[DirectCommand] = []
        self.notes: list[PeerMessage] = []
        self.peer_replies: list[tuple[int, Any]] = []
        self.lines: list[tuple[str, str]] = []
        self.decisions = DecisionLog(self.log)
        self.view = StoreView()
        self.parts: dict[int, Shard] = {}
        self.types: dict[str, MachineType] = {}
        self.guaranteed: set[str] = set()
        #: per class: measured run time against the estimate
        self.factor: dict[str, float] = {}
        #: class -> seconds by which it is served earlier, from the operators' policy
        self.lead_s: dict[str, float] = {}
        self.summaries: dict[int, tuple[float, ShardSummary]] = {}
        self.heard: dict[str, float] = {}
        #: whether each other node last said that it hears its machines
        self.in_touch: dict[str, bool] = {}
        #: room lowered ahead of a commit that gives it to another part
        self.lowered: dict[tuple[int, str], list[int]] = {}
        self.faults = FailureAttribution(settings.cluster.workers)
        self.boots = BootTimes()
        self.authority = Leadership(self)
        self.pipelines = DependencyGraph(self)
        self.urgency = InheritedUrgency(self)
        self.answers = Answers(self)
        self.cancels = Cancellations(self)
        self.jobs = JobManagers(self)
        self.requests = UserRequests(self)
        self.share_moves = QuotaTransfers(self)
        self.fleet = FleetManager(self)
        self.migrations = SliceMigrations(self)
        self.migration_locks = MigrationLocks(self)
        self.machine_moves = MachineTransfers(self)
        self.preemption = Preemption(self)
        self.completion_records = CompletionRecords(self)
        self.dispatch = Dispatcher(self)
        #: commits that the state service refused as malformed or too large
        self.refused_commits = 0
        self._next_slow = now
        self._next_move = now

    # --- plumbing --------------------------------------------------------------------------

    def log(self, level: str, text: str) -> None:
        """Leave a line for the log."""
        self.lines.append((level, text))

    def _flow_error(self, e: BaseException) -> None:
        self.log("error", f"a flow ended by {type(e).__name__}: {e}")

    def tell(self, node: str, tag: str, args: list[Any]) -> None:
        """Send a one-way message to another controller."""
        self.notes.append(PeerMessage(node, tag, args))

    def spawn(self, flow: Coroutine) -> None:
        """Start a flow."""
        self.runner.spawn(flow)

    def start(self) -> None:
        """Begin: load the view, take a lease."""
        self.runner.now = self.now
        self.spawn(self.authority.boot())
        self.runner.keep(self.fleet.learn_types)
        self.runner.keep(self.fleet.keep_list)
        self.runner.keep(self.pipelines.keep_reading)

    def set_time(self, now: float, wall: float) -> None:
        """Every input comes with the time."""
        self.now = now
        self.wall = wall
        self.runner.now = now

    def complete(self, call: int, result: Any) -> None:
        """A call of a flow was answered."""
        self.runner.complete(call, result)

    def note_refused_commit(self, commit: CompareAndSwap) -> None:
        """The state service refused a commit as malformed or too large: a defect of this program.

        A key whose lease has ended is refused likewise, and is none.
        """
        if any(put.lease is not None for put in commit.puts):
            return
        self.refused_commits += 1
        sizes = {put.key: len(msgspec.msgpack.encode(put.value)) for put in commit.puts}
        self.log("error", f"commit refused: {commit.writes} changes, bytes by key {sizes}")

    def home(self, part: int) -> str:
        """The node that a part belongs to when all are well."""
        nodes = self.settings.nodes
        return nodes[part % len(nodes)]

    def fence(self, part: int) -> tuple[str, int]:
        """Guard that fails once the part has another owner."""
        key = f"{keys.FENCES}{part}"
        return key, self.view.version(key)

    def owner(self, part: int) -> str | None:
        """Node that owns a part, as far as the view tells."""
        s = self.view.split
        if s is None or not 0 <= part < len(s.parts):
            return None
        return s.parts[part].owner or None

    @property
    def batch(self) -> int:
        """Changes in one transaction that leave room for others within the same second."""
        state = self.settings.cluster.state
        share = 0.5 * state.write_rps / len(self.settings.nodes)
        return max(1, min(state.txn_ops, int(share)))

    def acts(self, number: int) -> bool:
        """Whether this node may act for a part now."""
        return self.authority.acts(self.parts.get(number), self.now)

    def acting(self) -> list[Shard]:
        """Parts this node may act for now."""
        return [p for i, p in sorted(self.parts.items()) if self.acts(i)]

    def healthy(self) -> bool:
        """Whether this node can take requests."""
        if not self.authority.booted or self.cut_off():
            return False
        return not self.isolated(self.now)

    def cut_off(self) -> bool:
        """Whether nobody was heard for the time of a lease.

        Neither the state service nor another controller: this node can then tell users
        nothing, and refuses them at once.
        """
        limit = self.authority.ttl
        if self.now - max(self.view.fresh_at, self.authority.renewed, self.started) < limit:
            return False
        return all(self.now - self.heard.get(p.node, -1e9) > limit for p in self.settings.others)

    def isolated(self, now: float) -> bool:
        """Whether this node is cut off from its workers.

        The sign is that the machines of its parts are silent while the state service still
        answers.
        """
        limit = max(
            ISOLATED * self.settings.cluster.workers.lease_s,
            2.5 * self.settings.cluster.workers.report_s,
        )
        heard = [
            max(m.seen, p.since)
            for p in self.parts.values()
            if p.ready
            for m in p.machines.values()
            if self._should_report(p, m) and not m.given_up and not m.releasing
        ]
        if not heard or now - max(heard) < limit:
            return False
        peers = [n for n in self.view.nodes if n != self.node]
        deaf = all(now - self.heard.get(n, self.started) > limit for n in peers)
        return bool(peers) and (deaf or len(heard) > 1)

    def _should_report(self, part: Shard, m: Machine) -> bool:
        """Whether a machine is up as far as is known.

        It has reported under this part's term, or it was there at the takeover and has had
        time to boot.
        """
        if m.settled:
            return True
        record = self.view.machines.get(m.name)
        if m.name not in part.suspects or record is None or m.type is None:
            return False
        return self.wall - record.since > BOOTED * m.type.boot_s

    def in_touch_with_workers(self) -> bool:
        """Whether this node can be given parts, as far as it can tell."""
        return not self.isolated(self.now) and not self.authority.resting(self.now)

    # --- following the view ----------------------------------------------------------------

    def sync(self) -> None:
        """Bring parts, machines and jobs in line with the view."""
        v = self.view
        if v.changed_split:
            v.changed_split = False
            self._sync_parts()
        if v.changed_machines:
            names, v.changed_machines = v.changed_machines, set()
            for name in sorted(names):
                self.sync_machine(name)
        jobs_changed = bool(v.changed_jobs)
        if jobs_changed:
            ids, v.changed_jobs = v.changed_jobs, set()
            for job in sorted(ids):
                self._sync_job(job)
            self._sync_urgency()
        if jobs_changed or self.faults.changed:
            self.faults.changed = False
            self.guaranteed = within_guarantee(v.jobs, self.teams, self.faults.is_suspected)

    def _sync_job(self, job: str) -> None:
        self.cancels.changed(job)
        if job not in self.view.jobs:
            self.urgency.job_ended(job)
        for p in self.parts.values():
            if p.ready:
                self.sync_slice(p, job)
        self.jobs.changed(job)
        self.pipelines.job_changed(job)

    def _sync_urgency(self) -> None:
        """Schedule by what jobs inherit from those that need them."""
        for job in self.urgency.take_changed():
            for p in self.parts.values():
                if job in p.slices:
                    self.sync_slice(p, job)

    def _sync_parts(self) -> None:
        s = self.view.split
        if s is None:
            return
        for i, record in enumerate(s.parts):
            part = self.parts.get(i)
            if (record.owner, record.incarnation) == self.me:
                if part is not None and part.taken == record.taken:
                    # The same ownership; another owner may have raised the term, to move a
                    # machine into this part. What tells is in the record itself: the split may
                    # be read ahead of the rest of the view, and an ownership that ended and
                    # began again must not look like one.
                    part.term = record.term
                else:
                    part = self._new_part(i, record.term)
                    part.taken = record.taken
                    self.parts[i] = part
                    rev = self.view.version(keys.SPLIT)
                    self.runner.keep(partial(rebuild, self, part, rev))
            elif part is not None:
                del self.parts[i]
                self.log("info", f"part {i} is now with {record.owner}, term {record.term}")
        self.jobs.parts_changed()

    def _new_part(self, number: int, term: int) -> Shard:
        return Shard(number, term, self.settings.cluster, self.now, self.faults, self.boots)

    def sync_machine(self, name: str, populating: Shard | None = None) -> None:
        """Bring a machine of the parts here in line with the view, also of one being rebuilt."""
        record = self.view.machines.get(name)
        for p in self.parts.values():
            if not p.ready and p is not populating:
                continue
            m = p.machines.get(name)
            if record is None or record.part != p.number:
                if m is not None:
                    p.remove_machine(name, self.now)
            elif m is None:
                m = Machine(name, record.type, record.zone, record.spot, self.now)
                m.set_type(self.types.get(record.type))
                p.add_machine(m)

    def sync_slice(self, p: Shard, job: str) -> None:
        """Bring a part's slice of a job in line with the view."""
        s = p.slices.get(job)
        was_waiting = s is None or s.is_waiting
        record = self.view.jobs.get(job)
        if record is None and s is not None:
            for page, version in s.pages.items():
                p.obsolete_keys[keys.progress(p.number, job, page)] = version
        p.sync_job(record, job, self.view.version(keys.JOBS + job), self.now)
        if job in p.slices and self.cancels.known(job):
            # Known ahead of the view: a slice that comes by an older record is over too.
            p.cancel(job, self.now)
        held = p.slices.get(job)
        if held is None or record is None:
            return
        held.spec = self.urgency.scheduling_spec(record)
        if was_waiting and not held.is_waiting:
            self.dispatch.fresh.add(p.number)

    def set_types(self, types: list[MachineType]) -> None:
        """Learn the machine types."""
        self.types = {t.name: t for t in types}
        for p in self.parts.values():
            for m in p.machines.values():
                m.set_type(self.types.get(m.type_name))

    # --- shares ----------------------------------------------------------------------------

    def share(self, part: Shard, team: str) -> tuple[int, int]:
        """What the team's tasks may use in this part."""
        s = self.view.split
        if s is None:
            return 0, 0
        c, g = s.parts[part.number].shares.get(team, [0, 0])
        low = self.lowered.get((part.number, team), [0, 0])
        return c - low[0], g - low[1]

    # --- workers ---------------------------------------------------------------------------

    def report(self, rep: Heartbeat) -> tuple[int, int, list[TaskCommand], str | None]:
        """A worker's report: status, token, orders, and the node to report to."""
        now = self.now
        self.authority.heard_worker()
        record = self.view.machines.get(rep.machine)
        if record is None:
            return self.fleet.stranger(rep)
        owner = self.owner(record.part)
        if owner != self.node:
            return 421, 0, [], owner
        part = self.parts.get(record.part)
        if part is None or not self.acts(record.part):
            return 503, 0, [], None
        m = part.machines.get(rep.machine)
        if m is not None and m.type is None:
            m.set_type(self.types.get(m.type_name))
        before = m.settled if m is not None else False
        free = list(m.free) if m is not None else []
        if rep.token > part.term:
            return 421, 0, [], None
        orders = part.report(rep, now)
        if orders is None:
            return 503, 0, [], None
        if part.finished:
            self._learn(part)
        if part.number in self.dispatch.fresh:
            self.dispatch.place(part)
        elif m is not None and (m.settled != before or m.free != free):
            # Room has come up: fill it with this very answer rather than the next one.
            self.dispatch.fill(part, m)
        if m is not None:
            launches = part.launches(m, now)
            self.decisions.count(Decision.STOP, "in an answer", sum(o.op == "stop" for o in orders))
            self.decisions.count(Decision.LAUNCH, "in an answer", len(launches))
            orders += launches
        return 200, part.term, orders, None

    def _learn(self, part: Shard) -> None:
        for spec, ran in part.finished:
            if spec.estimate_s > 0:
                old = self.factor.get(spec.cls, 1.0)
                self.factor[spec.cls] = old + 0.02 * (min(5.0, ran / spec.estimate_s) - old)
        part.finished.clear()

    # --- time ------------------------------------------------------------------------------

    def tick(self) -> None:
        """To be called a few times a second."""
        now = self.now
        self.runner.wake(now)
        self.sync()
        self.authority.tick(now)
        acting = self.acting()
        self.preemption.tick()
        for p in acting:
            p.tick(now)
            self.dispatch.place(p)
            for m, orders in p.direct_stops(now):
                self.decisions.count(Decision.STOP, "direct", len(orders))
                self.commands.append(DirectCommand(m.addr, p.term, m.session, orders))
            self.fleet.guard_cancels(p)
        self.jobs.tick()
        self.migration_locks.tick()
        if now >= self._next_move:
            self._next_move = now + 0.4
            self._tell(acting)
            for p in acting:
                self.migrations.look(p)
                self.machine_moves.give_machines(p)
        if now >= self._next_slow:
            self._next_slow = now + 1.0
            self.cancels.prune()
            self.share_moves.rebalance(acting)

    def _tell(self, acting: list[Shard]) -> None:
        told = []
        for p in acting:
            summary = summarise(self, p)
            self.summaries[p.number] = (self.now, summary)
            told.append(msgspec.to_builtins(summary))
        args = [self.incarnation, told, self.in_touch_with_workers(), self.fleet.refusals()]
        for peer in self.settings.others:
            self.tell(peer.node, "summaries", args)

    # --- peers -----------------------------------------------------------------------------

    def note(self, node: str, tag: str, args: list[Any]) -> None:
        """A one-way message from another node."""
        self.heard[node] = self.now
        try:
            if tag == "summaries":
                if self.view.nodes.get(node, args[0]) != args[0]:
                    # A late message of an earlier process, or one of a process not seen yet.
                    return
                for raw in args[1]:
                    g = msgspec.convert(raw, ShardSummary)
                    self.summaries[g.part] = (self.now, g)
                    self.faults.told(g.part, g.failing, self.now)
                self.in_touch[node] = bool(args[2])
                self.fleet.told_refusals(args[3])
            elif tag == "progress":
                self.jobs.told(args)
            elif tag == "confirmed":
                self.cancels.confirm(str(args[0]), int(args[1]))
            elif tag == "ended":
                self.pipelines.told_ended(str(args[0]), str(args[1]))
            elif tag == "record":
                self.jobs.told_record(str(args[0]), args[1], int(args[2]))
        except (msgspec.ValidationError, IndexError, TypeError, ValueError) as e:
            self.log("error", f"malformed {tag} from {node}: {e}")

    def peer_request(self, request: int, node: str, tag: str, args: list[Any]) -> None:
        """A question from another node; answered through ``peer_replies``."""
        if node in self.settings.nodes:
            self.heard[node] = self.now
        self.spawn(self._peer(request, tag, args))

    def _peer(self, request: int, tag: str, args: list[Any]) -> Coroutine:
        answer: Any = None
        try:
            if tag == "query":
                answer = msgspec.to_builtins(self.answers.local(str(args[0])))
            elif tag == "cancel":
                answer = yield from self.jobs.cancel_here(str(args[0]))
            elif tag == "apply":
                answer = self.cancels.apply(str(args[0]), int(args[1]))
            elif tag in ("lock", "update", "release"):
                answer = yield from self.migration_locks.answer(tag, args)
            elif tag == "status":
                answer = status(self)
            elif tag == "promise":
                answer = self.authority.promises.give(str(args[0]), int(args[1]), int(args[2]))
            elif tag == "arrive":
                answer = yield from self.jobs.arrive(str(args[0]), int(args[1]))
            elif tag == "entries":
                answer = self.jobs.entries(str(args[0]), list(args[2]), int(args[3]))
        except (msgspec.ValidationError, IndexError, TypeError, ValueError) as e:
            self.log("error", f"malformed {tag}: {e}")
        self.peer_replies.append((request, answer))
