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
from marblestair.core.capacity.shard_summary import summarize_shard
from marblestair.core.domain.agents import CommandVerb, Heartbeat, TaskCommand
from marblestair.core.domain.machines import MachineType
from marblestair.core.jobs.answers import Answers
from marblestair.core.jobs.cancellations import Cancellations
from marblestair.core.jobs.completion_records import CompletionRecords
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.job_managers import JobManagers
from marblestair.core.jobs.migration_locks import MigrationLocks
from marblestair.core.jobs.user_requests import UserRequests
from marblestair.core.leadership.leadership import ISOLATED, Leadership
from marblestair.core.leadership.shard_recovery import recover_shard
from marblestair.core.runtime.coroutines import Coroutine, CoroutineRunner
from marblestair.core.runtime.decision_log import Decision, DecisionLog
from marblestair.core.runtime.outbox import DirectCommand, PeerMessage, ShardSummary, UserReply
from marblestair.core.runtime.store_requests import CompareAndSwap
from marblestair.core.scheduling.dispatch import Dispatcher
from marblestair.core.scheduling.inherited_urgency import InheritedUrgency
from marblestair.core.scheduling.machine_transfers import MachineTransfers
from marblestair.core.scheduling.preemption import Preemption
from marblestair.core.scheduling.quota import jobs_within_guarantee
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
        self.identity = (settings.node, incarnation)
        self.rng = rng
        self.now = now
        self.wall_time = wall
        self.started_at = now
        self.teams: dict[str, Team] = {team.name: team for team in settings.cluster.teams}
        self.coroutines = CoroutineRunner()
        self.coroutines.on_error = self._coroutine_failed
        self.replies: list[UserReply] = []
        self.direct_commands: list[DirectCommand] = []
        self.messages: list[PeerMessage] = []
        self.peer_replies: list[tuple[int, Any]] = []
        self.log_lines: list[tuple[str, str]] = []
        self.decisions = DecisionLog(self.log)
        self.view = StoreView()
        self.shards: dict[int, Shard] = {}
        self.machine_types: dict[str, MachineType] = {}
        self.guaranteed_jobs: set[str] = set()
        #: per class: measured run time against the estimate
        self.run_time_ratios: dict[str, float] = {}
        #: class -> seconds by which it is served earlier, from the operators' policy
        self.deadline_offsets_s: dict[str, float] = {}
        self.shard_summaries: dict[int, tuple[float, ShardSummary]] = {}
        self.last_received_at: dict[str, float] = {}
        #: whether each other node last said that it hears its machines
        self.peer_reaches_agents: dict[str, bool] = {}
        #: room lowered ahead of a commit that gives it to another part
        self.pending_quota_releases: dict[tuple[int, str], list[int]] = {}
        self.failures = FailureAttribution(settings.cluster.workers)
        self.boot_times = BootTimes()
        self.leadership = Leadership(self)
        self.dependencies = DependencyGraph(self)
        self.inherited_urgency = InheritedUrgency(self)
        self.answers = Answers(self)
        self.cancellations = Cancellations(self)
        self.job_managers = JobManagers(self)
        self.user_requests = UserRequests(self)
        self.quota_transfers = QuotaTransfers(self)
        self.fleet = FleetManager(self)
        self.slice_migrations = SliceMigrations(self)
        self.migration_locks = MigrationLocks(self)
        self.machine_transfers = MachineTransfers(self)
        self.preemption = Preemption(self)
        self.completion_records = CompletionRecords(self)
        self.dispatcher = Dispatcher(self)
        #: commits that the state service refused as malformed or too large
        self.rejected_writes = 0
        self._next_rebalance_at = now
        self._next_transfer_at = now

    # --- plumbing --------------------------------------------------------------------------

    def log(self, level: str, text: str) -> None:
        """Leave a line for the log."""
        self.log_lines.append((level, text))

    def _coroutine_failed(self, e: BaseException) -> None:
        self.log("error", f"a flow ended by {type(e).__name__}: {e}")

    def send(self, node: str, tag: str, args: list[Any]) -> None:
        """Send a one-way message to another controller."""
        self.messages.append(PeerMessage(node, tag, args))

    def spawn(self, flow: Coroutine) -> None:
        """Start a flow."""
        self.coroutines.spawn(flow)

    def start(self) -> None:
        """Begin: load the view, take a lease."""
        self.coroutines.now = self.now
        self.spawn(self.leadership.start())
        self.coroutines.supervise(self.fleet.learn_machine_types)
        self.coroutines.supervise(self.fleet.watch_machine_list)
        self.coroutines.supervise(self.dependencies.read_unknown_ends)

    def set_time(self, now: float, wall: float) -> None:
        """Every input comes with the time."""
        self.now = now
        self.wall_time = wall
        self.coroutines.now = now

    def complete(self, call: int, result: Any) -> None:
        """A call of a flow was answered."""
        self.coroutines.resume(call, result)

    def record_rejected_write(self, commit: CompareAndSwap) -> None:
        """The state service refused a commit as malformed or too large: a defect of this program.

        A key whose lease has ended is refused likewise, and is none.
        """
        if any(put.lease_id is not None for put in commit.puts):
            return
        self.rejected_writes += 1
        sizes = {put.key: len(msgspec.msgpack.encode(put.value)) for put in commit.puts}
        self.log("error", f"commit refused: {commit.change_count} changes, bytes by key {sizes}")

    def home_node(self, shard_id: int) -> str:
        """The node that a part belongs to when all are well."""
        nodes = self.settings.nodes
        return nodes[shard_id % len(nodes)]

    def fence_precondition(self, shard_id: int) -> tuple[str, int]:
        """Guard that fails once the part has another owner."""
        key = f"{keys.FENCES}{shard_id}"
        return key, self.view.version(key)

    def leader_of(self, shard_id: int) -> str | None:
        """Node that owns a part, as far as the view tells."""
        shard_map = self.view.shard_map
        if shard_map is None or not 0 <= shard_id < len(shard_map.shards):
            return None
        return shard_map.shards[shard_id].leader or None

    @property
    def max_batch_changes(self) -> int:
        """Changes in one transaction that leave room for others within the same second."""
        state = self.settings.cluster.state
        share = 0.5 * state.write_rps / len(self.settings.nodes)
        return max(1, min(state.txn_ops, int(share)))

    def is_leader(self, number: int) -> bool:
        """Whether this node may act for a part now."""
        return self.leadership.may_lead(self.shards.get(number), self.now)

    def led_shards(self) -> list[Shard]:
        """Parts this node may act for now."""
        return [shard for i, shard in sorted(self.shards.items()) if self.is_leader(i)]

    def is_healthy(self) -> bool:
        """Whether this node can take requests."""
        if not self.leadership.is_started or self.is_cut_off():
            return False
        return not self.is_isolated(self.now)

    def is_cut_off(self) -> bool:
        """Whether nobody was heard for the time of a lease.

        Neither the state service nor another controller: this node can then tell users
        nothing, and refuses them at once.
        """
        limit = self.leadership.lease_ttl_s
        if (
            self.now - max(self.view.fresh_as_of, self.leadership.renewed_at, self.started_at)
            < limit
        ):
            return False
        return all(
            self.now - self.last_received_at.get(peer.node, -1e9) > limit
            for peer in self.settings.others
        )

    def is_isolated(self, now: float) -> bool:
        """Whether this node is cut off from its workers.

        The sign is that the machines of its parts are silent while the state service still
        answers.
        """
        limit = max(
            ISOLATED * self.settings.cluster.workers.lease_s,
            2.5 * self.settings.cluster.workers.report_s,
        )
        heard = [
            max(machine.last_heartbeat_at, shard.acquired_at)
            for shard in self.shards.values()
            if shard.is_ready
            for machine in shard.machines.values()
            if self._should_send_heartbeats(shard, machine)
            and not machine.is_given_up
            and not machine.is_releasing
        ]
        if not heard or now - max(heard) < limit:
            return False
        peers = [n for n in self.view.nodes if n != self.node]
        deaf = all(now - self.last_received_at.get(n, self.started_at) > limit for n in peers)
        return bool(peers) and (deaf or len(heard) > 1)

    def _should_send_heartbeats(self, shard: Shard, machine: Machine) -> bool:
        """Whether a machine is up as far as is known.

        It has reported under this part's term, or it was there at the takeover and has had
        time to boot.
        """
        if machine.is_reconciled:
            return True
        record = self.view.machines.get(machine.name)
        if (
            machine.name not in shard.unreconciled_machines
            or record is None
            or machine.machine_type is None
        ):
            return False
        return self.wall_time - record.added_at > BOOTED * machine.machine_type.boot_s

    def reaches_agents(self) -> bool:
        """Whether this node can be given parts, as far as it can tell."""
        return not self.is_isolated(self.now) and not self.leadership.is_in_cooldown(self.now)

    # --- following the view ----------------------------------------------------------------

    def sync(self) -> None:
        """Bring parts, machines and jobs in line with the view."""
        view = self.view
        if view.shard_map_changed:
            view.shard_map_changed = False
            self._sync_shards()
        if view.changed_machines:
            names, view.changed_machines = view.changed_machines, set()
            for name in sorted(names):
                self.sync_machine(name)
        jobs_changed = bool(view.changed_jobs)
        if jobs_changed:
            ids, view.changed_jobs = view.changed_jobs, set()
            for job in sorted(ids):
                self._sync_job(job)
            self._sync_urgency()
        if jobs_changed or self.failures.quarantine_changed:
            self.failures.quarantine_changed = False
            self.guaranteed_jobs = jobs_within_guarantee(
                view.jobs, self.teams, self.failures.is_quarantined
            )

    def _sync_job(self, job: str) -> None:
        self.cancellations.record_changed(job)
        if job not in self.view.jobs:
            self.inherited_urgency.job_ended(job)
        for shard in self.shards.values():
            if shard.is_ready:
                self.sync_slice(shard, job)
        self.job_managers.record_changed(job)
        self.dependencies.record_changed(job)

    def _sync_urgency(self) -> None:
        """Schedule by what jobs inherit from those that need them."""
        for job in self.inherited_urgency.pop_changed():
            for shard in self.shards.values():
                if job in shard.slices:
                    self.sync_slice(shard, job)

    def _sync_shards(self) -> None:
        shard_map = self.view.shard_map
        if shard_map is None:
            return
        for i, record in enumerate(shard_map.shards):
            shard = self.shards.get(i)
            if (record.leader, record.incarnation) == self.identity:
                if shard is not None and shard.acquired_term == record.acquired_term:
                    # The same ownership; another owner may have raised the term, to move a
                    # machine into this part. What tells is in the record itself: the split may
                    # be read ahead of the rest of the view, and an ownership that ended and
                    # began again must not look like one.
                    shard.term = record.term
                else:
                    shard = self._new_shard(i, record.term)
                    shard.acquired_term = record.acquired_term
                    self.shards[i] = shard
                    rev = self.view.version(keys.SHARD_MAP)
                    self.coroutines.supervise(partial(recover_shard, self, shard, rev))
            elif shard is not None:
                del self.shards[i]
                self.log("info", f"part {i} is now with {record.leader}, term {record.term}")
        self.job_managers.shards_changed()

    def _new_shard(self, number: int, term: int) -> Shard:
        return Shard(number, term, self.settings.cluster, self.now, self.failures, self.boot_times)

    def sync_machine(self, name: str, populating: Shard | None = None) -> None:
        """Bring a machine of the parts here in line with the view, also of one being rebuilt."""
        record = self.view.machines.get(name)
        for shard in self.shards.values():
            if not shard.is_ready and shard is not populating:
                continue
            machine = shard.machines.get(name)
            if record is None or record.shard_id != shard.shard_id:
                if machine is not None:
                    shard.remove_machine(name, self.now)
            elif machine is None:
                machine = Machine(name, record.machine_type, record.zone, record.spot, self.now)
                machine.set_machine_type(self.machine_types.get(record.machine_type))
                shard.add_machine(machine)

    def sync_slice(self, shard: Shard, job: str) -> None:
        """Bring a part's slice of a job in line with the view."""
        s = shard.slices.get(job)
        was_waiting = s is None or s.is_blocked
        record = self.view.jobs.get(job)
        if record is None and s is not None:
            for page, version in s.page_versions.items():
                shard.obsolete_keys[keys.progress_page(shard.shard_id, job, page)] = version
        shard.sync_job(record, job, self.view.version(keys.JOBS + job), self.now)
        if job in shard.slices and self.cancellations.is_known(job):
            # Known ahead of the view: a slice that comes by an older record is over too.
            shard.cancel(job, self.now)
        held = shard.slices.get(job)
        if held is None or record is None:
            return
        held.spec = self.inherited_urgency.scheduling_spec(record)
        if was_waiting and not held.is_blocked:
            self.dispatcher.shards_with_new_work.add(shard.shard_id)

    def set_machine_types(self, types: list[MachineType]) -> None:
        """Learn the machine types."""
        self.machine_types = {machine_type.name: machine_type for machine_type in types}
        for shard in self.shards.values():
            for machine in shard.machines.values():
                machine.set_machine_type(self.machine_types.get(machine.type_name))

    # --- shares ----------------------------------------------------------------------------

    def quota(self, shard: Shard, team: str) -> tuple[int, int]:
        """What the team's tasks may use in this part."""
        shard_map = self.view.shard_map
        if shard_map is None:
            return 0, 0
        c, g = shard_map.shards[shard.shard_id].quotas.get(team, [0, 0])
        low = self.pending_quota_releases.get((shard.shard_id, team), [0, 0])
        return c - low[0], g - low[1]

    # --- workers ---------------------------------------------------------------------------

    def receive_heartbeat(
        self, heartbeat: Heartbeat
    ) -> tuple[int, int, list[TaskCommand], str | None]:
        """A worker's report: status, token, orders, and the node to report to."""
        now = self.now
        self.leadership.heartbeat_received()
        record = self.view.machines.get(heartbeat.machine)
        if record is None:
            return self.fleet.receive_unregistered(heartbeat)
        owner = self.leader_of(record.shard_id)
        if owner != self.node:
            return 421, 0, [], owner
        shard = self.shards.get(record.shard_id)
        if shard is None or not self.is_leader(record.shard_id):
            return 503, 0, [], None
        machine = shard.machines.get(heartbeat.machine)
        if machine is not None and machine.machine_type is None:
            machine.set_machine_type(self.machine_types.get(machine.type_name))
        before = machine.is_reconciled if machine is not None else False
        free = list(machine.free) if machine is not None else []
        if heartbeat.fencing_token > shard.term:
            return 421, 0, [], None
        orders = shard.receive_heartbeat(heartbeat, now)
        if orders is None:
            return 503, 0, [], None
        if shard.finished_tasks:
            self._record_run_times(shard)
        if shard.shard_id in self.dispatcher.shards_with_new_work:
            self.dispatcher.place_all(shard)
        elif machine is not None and (machine.is_reconciled != before or machine.free != free):
            # Room has come up: fill it with this very answer rather than the next one.
            self.dispatcher.fill_machine(shard, machine)
        if machine is not None:
            launches = shard.launch_commands(machine, now)
            self.decisions.count(
                Decision.STOP,
                "in an answer",
                sum(command.verb is CommandVerb.STOP for command in orders),
            )
            self.decisions.count(Decision.LAUNCH, "in an answer", len(launches))
            orders += launches
        return 200, shard.term, orders, None

    def _record_run_times(self, shard: Shard) -> None:
        for spec, ran in shard.finished_tasks:
            if spec.estimated_run_s > 0:
                old = self.run_time_ratios.get(spec.job_class, 1.0)
                self.run_time_ratios[spec.job_class] = old + 0.02 * (
                    min(5.0, ran / spec.estimated_run_s) - old
                )
        shard.finished_tasks.clear()

    # --- time ------------------------------------------------------------------------------

    def tick(self) -> None:
        """To be called a few times a second."""
        now = self.now
        self.coroutines.wake(now)
        self.sync()
        self.leadership.tick(now)
        led_shards = self.led_shards()
        self.preemption.tick()
        for shard in led_shards:
            shard.tick(now)
            self.dispatcher.place_all(shard)
            for machine, commands in shard.overdue_stops(now):
                self.decisions.count(Decision.STOP, "direct", len(commands))
                self.direct_commands.append(
                    DirectCommand(machine.address, shard.term, machine.agent_incarnation, commands)
                )
            self.fleet.enforce_cancel_deadline(shard)
        self.job_managers.tick()
        self.migration_locks.tick()
        if now >= self._next_transfer_at:
            self._next_transfer_at = now + 0.4
            self._publish_summaries(led_shards)
            for shard in led_shards:
                self.slice_migrations.migrate_pending(shard)
                self.machine_transfers.transfer_idle_machines(shard)
        if now >= self._next_rebalance_at:
            self._next_rebalance_at = now + 1.0
            self.cancellations.prune()
            self.quota_transfers.rebalance(led_shards)

    def _publish_summaries(self, led_shards: list[Shard]) -> None:
        told = []
        for shard in led_shards:
            summary = summarize_shard(self, shard)
            self.shard_summaries[shard.shard_id] = (self.now, summary)
            told.append(msgspec.to_builtins(summary))
        args = [self.incarnation, told, self.reaches_agents(), self.fleet.capacity_refusals()]
        for peer in self.settings.others:
            self.send(peer.node, "summaries", args)

    # --- peers -----------------------------------------------------------------------------

    def receive_message(self, node: str, tag: str, args: list[Any]) -> None:
        """A one-way message from another node."""
        self.last_received_at[node] = self.now
        try:
            if tag == "summaries":
                if self.view.nodes.get(node, args[0]) != args[0]:
                    # A late message of an earlier process, or one of a process not seen yet.
                    return
                for raw in args[1]:
                    summary = msgspec.convert(raw, ShardSummary)
                    self.shard_summaries[summary.shard_id] = (self.now, summary)
                    self.failures.receive_failing_jobs(
                        summary.shard_id, summary.failing_jobs, self.now
                    )
                self.peer_reaches_agents[node] = bool(args[2])
                self.fleet.receive_refusals(args[3])
            elif tag == "progress":
                self.job_managers.receive_progress(args)
            elif tag == "confirmed":
                self.cancellations.mark_confirmed(str(args[0]), int(args[1]))
            elif tag == "ended":
                self.dependencies.receive_end(str(args[0]), str(args[1]))
            elif tag == "record":
                self.job_managers.receive_record(str(args[0]), args[1], int(args[2]))
        except (msgspec.ValidationError, IndexError, TypeError, ValueError) as e:
            self.log("error", f"malformed {tag} from {node}: {e}")

    def receive_request(self, request: int, node: str, tag: str, args: list[Any]) -> None:
        """A question from another node; answered through ``peer_replies``."""
        if node in self.settings.nodes:
            self.last_received_at[node] = self.now
        self.spawn(self._answer_request(request, tag, args))

    def _answer_request(self, request: int, tag: str, args: list[Any]) -> Coroutine:
        answer: Any = None
        try:
            if tag == "query":
                answer = msgspec.to_builtins(self.answers.status_from_memory(str(args[0])))
            elif tag == "cancel":
                answer = yield from self.job_managers.cancel_managed(str(args[0]))
            elif tag == "apply":
                answer = self.cancellations.apply_entry(str(args[0]), int(args[1]))
            elif tag in ("lock", "update", "release"):
                answer = yield from self.migration_locks.handle(tag, args)
            elif tag == "status":
                answer = status(self)
            elif tag == "promise":
                answer = self.leadership.promises.grant(str(args[0]), int(args[1]), int(args[2]))
            elif tag == "arrive":
                answer = yield from self.job_managers.slice_arrived(str(args[0]), int(args[1]))
            elif tag == "entries":
                answer = self.job_managers.receive_change_entries(
                    str(args[0]), list(args[2]), int(args[3])
                )
        except (msgspec.ValidationError, IndexError, TypeError, ValueError) as e:
            self.log("error", f"malformed {tag}: {e}")
        self.peer_replies.append((request, answer))
