"""Who may act for which part: leases, the followed view, takeovers and hand-backs.

A node acts for a part only while its state lease surely holds, the split record names it, and
its view includes the commit that made it owner. The lease is counted from when the renewal was
sent, on the node's own steady clock, less an allowance for drift.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from marblestair.core.leadership import shard_map
from marblestair.core.leadership.promises import Promises
from marblestair.core.runtime.coroutines import Coroutine, Step
from marblestair.core.runtime.decision_log import Decision
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Get,
    GrantLease,
    Lane,
    ListKeys,
    Put,
    RenewLease,
    StoreResponse,
    Watch,
)
from marblestair.core.shard.shard import DRIFT, Shard
from marblestair.core.state import keys
from marblestair.core.state.records import ShardMap, ShardRecord

if TYPE_CHECKING:
    from marblestair.core.controller import Controller

#: a node's lease against the workers' lease: a takeover must finish before theirs run out
LEASE_RATIO = 0.4
#: a node that has to be out of touch with its machines this long gives its parts away
ISOLATED = 0.35
#: leases of a worker for which a node that lost touch with its workers asks for no part
REST_LEASES = 4.0
#: share of a node's requests to the state service that its watch may take
WATCH_SHARE = 0.2
#: a node's leases within which a part of a node that fell has a new owner, as a rule
TAKEOVER_LEASES = 1.6
#: share of a lease after which a renewal that has not succeeded is overdue
OVERDUE = 0.3
#: a node must have been seen this many leases before it is given a part back
SETTLE = 1.5


class GrantedLease(msgspec.Struct, frozen=True):
    """A lease, and the time at which it was last asked for."""

    lease_id: int
    requested_at: float


class LeadershipBasis(enum.StrEnum):
    """By what a node may act for its parts."""

    LEASE = "lease"
    PROMISES = "promises"
    NONE = "none"


class Leadership:
    """Leases and ownership of one node."""

    def __init__(self, controller: Controller) -> None:
        self.controller = controller
        workers = controller.settings.cluster.workers
        self.lease_ttl_s = min(600.0, max(0.5, workers.lease_s * LEASE_RATIO))
        self.failover_s = TAKEOVER_LEASES * self.lease_ttl_s
        self.lease_expires_at = -1e9
        #: revision of the commit that put this node's key; the view must include it
        self.node_key_revision = 0
        self.lease_id: int | None = None
        #: a lease that the node's key is to be tied to
        self._granted_lease: GrantedLease | None = None
        self.is_started = False
        #: part -> a term that this node itself raised while it went on acting
        self.raised_terms: dict[int, int] = {}
        self._failover_in_progress = False
        self._absent_since: dict[int, float] = {}
        #: when each other node's present incarnation was first seen
        self.incarnation_seen_since: dict[str, tuple[int, float]] = {}
        self._last_transfer_at = -1e9
        self._transfer_pause_s = 1.0
        self.promises = Promises(controller, self)
        #: when a renewal last succeeded, and whether the latest one did
        self.renewed_at = -1e9
        self.is_renewal_failing = False
        #: until when this node asks for no part, because it lost touch with its workers
        self._cooldown_until = -1e9
        #: version of the split at which a takeover was sent whose fate is unknown
        self._uncertain_failover_version = -1
        #: by what this node acted when it last looked
        self._basis = LeadershipBasis.NONE

    # --- what holds ------------------------------------------------------------------------

    def is_authorized(self, now: float) -> bool:
        """Whether this node's lease surely holds and its view is recent enough to act on."""
        controller = self.controller
        if controller.view.revision < self.node_key_revision:
            return False
        if self.promises.are_held(now):
            return True
        return (
            now < self.lease_expires_at
            and now - controller.view.fresh_as_of < controller.settings.cluster.workers.lease_s
        )

    def _log_basis_change(self, now: float) -> None:
        """Log by what this node may act, when that has changed."""
        basis = LeadershipBasis.NONE
        if self.is_authorized(now):
            basis = (
                LeadershipBasis.LEASE if now < self.lease_expires_at else LeadershipBasis.PROMISES
            )
        if basis is self._basis:
            return
        self._basis = basis
        view = self.controller.view
        self.controller.decisions.note(
            now,
            Decision.AUTHORITY,
            basis,
            lease_left_s=round(self.lease_expires_at - now, 2),
            promises_left_s=round(self.promises.valid_until - now, 2),
            view_age_s=round(now - view.fresh_as_of, 2),
            view_rev=view.revision,
            parts={number: shard.term for number, shard in self.controller.shards.items()},
        )

    def may_lead(self, shard: Shard | None, now: float) -> bool:
        """Whether this node may act for a part."""
        return (
            shard is not None
            and shard.is_ready
            and not shard.is_closing
            and self.is_authorized(now)
        )

    def is_in_cooldown(self, now: float) -> bool:
        """Whether this node has lost touch with its workers a short while ago."""
        return now < self._cooldown_until

    def heartbeat_received(self) -> None:
        """A worker has reached this node."""
        self._cooldown_until = -1e9

    # --- flows -----------------------------------------------------------------------------

    def start(self) -> Coroutine:
        """Load the view, then follow it and keep a lease."""
        yield from self._load_view()
        self.is_started = True
        self.controller.coroutines.supervise(self._follow_store)
        self.controller.coroutines.supervise(self._maintain_lease)
        self.controller.coroutines.supervise(self.promises.maintain)

    def _load_view(self) -> Step:
        """Read all that is followed, for as long as it takes."""
        controller = self.controller
        while True:
            sent = controller.now
            pages = yield from self._list_pages()
            if pages is not None:
                controller.view.load_listing(pages)
                controller.view.fresh_as_of = sent
                controller.sync()
                return
            yield Sleep(0.3 + 0.4 * controller.rng.random())

    def _list_pages(self) -> Step:
        """All pages of what is followed; None when one of them could not be read."""
        pages: list[StoreResponse] = []
        after = ""
        while True:
            page: StoreResponse = yield ListKeys(keys.VIEW, after, 1000, Lane.LEASE)
            if page.status != 200:
                return None
            pages.append(page)
            if not page.has_more or not page.items:
                return pages
            after = page.items[-1].key

    def _follow_store(self) -> Coroutine:
        controller = self.controller
        wait_ms = int(self.lease_ttl_s * 500)
        # On a busy deployment something always has changed: a watch answers at once, and may not
        # take the node's whole rate of requests.
        rps = controller.settings.cluster.state.rps / len(controller.settings.nodes)
        pause = min(self.lease_ttl_s / 8, max(0.15, 1.0 / (WATCH_SHARE * rps)))
        while True:
            sent = controller.now
            response: StoreResponse = yield Watch(keys.VIEW, controller.view.revision, wait_ms)
            if response.status == 200:
                controller.view.apply_changes(response.events, response.revision)
                controller.view.fresh_as_of = max(controller.view.fresh_as_of, sent)
                controller.sync()
                yield Sleep(max(0.0, sent + pause - controller.now))
            elif response.status == 410:
                yield from self._load_view()
            else:
                yield Sleep(0.2 + 0.3 * controller.rng.random())

    def _maintain_lease(self) -> Coroutine:
        controller = self.controller
        while True:
            if self.lease_id is not None:
                status = yield from self._renew(self.lease_id)
            elif self._granted_lease is None:
                status = yield from self._grant()
            else:
                status = yield from self._attach_node_key(self._granted_lease)
            if status is None:
                continue
            self.is_renewal_failing = status != 200
            pause = self.lease_ttl_s / 4 if status == 200 else self.lease_ttl_s / 12
            yield Sleep(pause * (0.8 + 0.4 * controller.rng.random()))

    def _renew(self, lease: int) -> Step:
        """Renew the node's lease: the status, or None when there is none any more."""
        sent = self.controller.now
        response: StoreResponse = yield RenewLease(lease)
        if response.status == 200:
            self._extend(sent)
        elif response.status == 404:
            self.lease_id = None
            return None
        return response.status

    def _grant(self) -> Step:
        """Ask for a lease: the status, or None when there is one to tie the node's key to."""
        sent = self.controller.now
        response: StoreResponse = yield GrantLease(int(self.lease_ttl_s * 1000))
        if response.status == 200:
            self._granted_lease = GrantedLease(response.lease_id, sent)
            return None
        return response.status

    def _attach_node_key(self, granted: GrantedLease) -> Step:
        """Put the node's key under a granted lease: the status, or None when that has ended.

        Every try ties the key to this one lease, and each is guarded on the version read before
        it. A try without an answer, carried out late, can then neither replace a newer one nor
        leave the key with a lease that nobody renews.
        """
        controller = self.controller
        key = keys.NODES + controller.node
        guards = [(key, controller.view.version(key))]
        put = CompareAndSwap(
            guards, [Put(key, controller.incarnation, granted.lease_id)], lane=Lane.LEASE
        )
        response: StoreResponse = yield put
        if response.status == 200:
            self.lease_id, self._granted_lease = granted.lease_id, None
            # Authority counts only once the view includes this commit: while the key was
            # missing, another node may have taken the parts.
            self.node_key_revision = response.revision
            controller.view.record_commit(put, response.revision)
            self._extend(granted.requested_at)
            controller.sync()
            return response.status
        if response.status == 400:
            # The lease has ended meanwhile.
            self._granted_lease = None
            return None
        if response.status == 409:
            yield from self._refresh_key(key)
        # Tried again while it holds: what may still come is tied to it too.
        asked_at = controller.now
        kept: StoreResponse = yield RenewLease(granted.lease_id)
        if kept.status == 200:
            self._granted_lease = GrantedLease(granted.lease_id, asked_at)
        elif kept.status == 404:
            self._granted_lease = None
        return response.status

    def _refresh_key(self, key: str) -> Step:
        """Read one followed key afresh; whether that succeeded."""
        controller = self.controller
        read: StoreResponse = yield Get(key, Lane.LEASE)
        if read.status == 200:
            controller.view.record_read(key, read.value, read.version)
        elif read.status == 404:
            controller.view.record_absence(key, read.revision)
        else:
            return False
        controller.sync()
        return True

    def _extend(self, sent: float) -> None:
        self.renewed_at = sent
        self.lease_expires_at = max(
            self.lease_expires_at, sent + self.lease_ttl_s * (1 - DRIFT) - 0.05
        )

    # --- ownership -------------------------------------------------------------------------

    @property
    def is_failover_pending(self) -> bool:
        """Whether a takeover by this node is under way, or was sent and may yet be carried out."""
        return (
            self._failover_in_progress
            or self._uncertain_failover_version == self.controller.view.version(keys.SHARD_MAP)
        )

    @property
    def renewal_overdue(self) -> bool:
        """Whether the lease could not be renewed when it should have been."""
        return (
            self.is_renewal_failing
            and self.controller.now - self.renewed_at > OVERDUE * self.lease_ttl_s
        )

    def tick(self, now: float) -> None:
        """Take what is orphaned, give back what is too much."""
        controller = self.controller
        self._log_basis_change(now)
        for node, incarnation in controller.view.nodes.items():
            if self.incarnation_seen_since.get(node, (None, 0.0))[0] != incarnation:
                self.incarnation_seen_since[node] = (incarnation, now)
        if not self.is_started or self._failover_in_progress or not self.is_authorized(now):
            return
        record = controller.view.shard_map
        if record is None:
            self._failover_in_progress = True
            controller.spawn(self._create_shard_map())
            return
        mine = [
            number
            for number, shard in enumerate(record.shards)
            if (shard.leader, shard.incarnation) == controller.identity
        ]
        take: list[int] = []
        for number, shard in enumerate(record.shards):
            if number in mine:
                self._absent_since.pop(number, None)
            elif self._should_take_over(number, shard, len(mine) + len(take), now):
                take.append(number)
        # Each part taken is a change of its fence besides that of the split.
        take = take[: controller.settings.cluster.state.txn_ops - 1]
        if take:
            self._failover_in_progress = True
            controller.spawn(self._take_over(take, self._absence_preconditions(record, take)))
        else:
            self._transfer_surplus(now, mine)

    def _should_take_over(self, number: int, shard: ShardRecord, held: int, now: float) -> bool:
        """Whether to take a part now, by a node that holds some number of parts already."""
        controller = self.controller
        if shard.leader == controller.node:
            # This node's earlier process held it, and that process is dead.
            return True
        if shard.leader and controller.view.nodes.get(shard.leader) == shard.incarnation:
            self._absent_since.pop(number, None)
            return False
        if shard.leader and self.promises.may_be_relied_on(shard.leader, now):
            return False
        since = self._absent_since.setdefault(number, now)
        wait = 0.35 * held + 0.15 * controller.rng.random()
        if not shard.leader:
            # A new deployment: leave each node time to take its own.
            wait += 0.0 if controller.home_node(number) == controller.node else self.lease_ttl_s
        elif controller.view.nodes.get(shard.leader) is not None:
            # Its node is back as a new process, which takes the part itself.
            wait += self.lease_ttl_s / 2
        return now - since >= wait

    def _absence_preconditions(self, record: ShardMap, take: list[int]) -> list[tuple[str, int]]:
        """Guards that hold only while the owners of parts to be taken are gone."""
        guards = []
        for number in take:
            owner = record.shards[number].leader
            if owner not in ("", self.controller.node):
                key = keys.NODES + owner
                guards.append((key, self.controller.view.version(key)))
        return guards

    def _create_shard_map(self) -> Coroutine:
        controller = self.controller
        first = shard_map.initial_shard_map(
            controller.settings.cluster.size, controller.settings.cluster.teams
        )
        put = CompareAndSwap([(keys.SHARD_MAP, 0)], [Put(keys.SHARD_MAP, first)], lane=Lane.LEASE)
        response: StoreResponse = yield put
        if response.status == 200:
            controller.view.record_commit(put, response.revision)
        else:
            yield Sleep(0.3)
        self._failover_in_progress = False

    def _take_over(self, shard_ids: list[int], guards: list[tuple[str, int]]) -> Coroutine:
        controller = self.controller
        s = controller.view.shard_map
        if s is not None:
            new = shard_map.assign_shards(s, shard_ids, controller.node, controller.incarnation)
            own = keys.NODES + controller.node
            ok = yield from self.commit_shard_map(
                new,
                shard_ids,
                [*guards, (own, controller.view.version(own))],
                controller.view.version(keys.SHARD_MAP),
            )
            if ok is None:
                self._uncertain_failover_version = controller.view.version(keys.SHARD_MAP)
            controller.log("info", f"took parts {shard_ids}: {ok}")
        self._failover_in_progress = False

    def commit_shard_map(
        self,
        new: ShardMap,
        fenced: list[int],
        guards: list[tuple[str, int]],
        version: int,
    ) -> Step:
        """Commit a new split record.

        Parts in ``fenced`` get a new owner. Returns True, False, or None if the commit may
        yet be applied.
        """
        controller = self.controller
        puts = [Put(keys.SHARD_MAP, new)]
        puts += [Put(f"{keys.FENCES}{i}", new.shards[i].term) for i in fenced]
        commit = CompareAndSwap([(keys.SHARD_MAP, version), *guards], puts, lane=Lane.LEASE)
        response: StoreResponse = yield commit
        if response.status == 200:
            controller.view.record_commit(commit, response.revision)
            controller.sync()
            return True
        if response.status == 409:
            yield from self.refresh_shard_map()
            return False
        return None if response.status == 0 else False

    def refresh_shard_map(self) -> Step:
        """Read the split record afresh."""
        return (yield from self._refresh_key(keys.SHARD_MAP))

    def refresh_machine(self, key: str) -> Step:
        """Read a machine's membership afresh, for as long as that takes."""
        while not (yield from self._refresh_key(key)):
            yield Sleep(0.3)

    def _transfer_surplus(self, now: float, mine: list[int]) -> None:
        """Hand parts back to nodes that have none, or away when the machines are out of reach."""
        controller = self.controller
        shard_map = controller.view.shard_map
        if shard_map is None or now - self._last_transfer_at < self._transfer_pause_s:
            return
        owned = {n: 0 for n in controller.view.nodes}
        for shard in shard_map.shards:
            if shard.leader in owned:
                owned[shard.leader] += 1
        heard = [
            n
            for n in owned
            if n != controller.node and now - controller.last_received_at.get(n, -1e9) < 3.0
        ]
        movable = [
            i
            for i in mine
            if controller.is_leader(i) and now - controller.shards[i].acquired_at > self.lease_ttl_s
        ]
        if controller.is_isolated(now):
            # Where all nodes have lost the machines, it is not this node's network; and while
            # the others are heard, only one that hears its machines can do better.
            others = heard if heard else [n for n in owned if n != controller.node]
            others = [
                n for n in others if not heard or controller.peer_reaches_agents.get(n, False)
            ]
            if others and movable:
                target = min(others, key=lambda n: (owned[n], n))
                controller.log("info", f"out of touch with the machines: giving part to {target}")
                # Without a part no worker turns to this node, whether or not it could: whether it
                # is in touch again shows only when it is given one.
                self._cooldown_until = (
                    now + REST_LEASES * controller.settings.cluster.workers.lease_s
                )
                self._begin_transfer(movable[-1], target, now)
            return
        if len(mine) < 2 or not movable:
            return
        for n in sorted(heard):
            since = self.incarnation_seen_since.get(n, (0, now))[1]
            fit = (
                controller.peer_reaches_agents.get(n, False)
                and now - since > SETTLE * self.lease_ttl_s
            )
            if owned[n] == 0 and fit:
                shard_id = next((i for i in movable if controller.home_node(i) == n), movable[-1])
                self._begin_transfer(shard_id, n, now)
                return

    def _begin_transfer(self, shard_id: int, target: str, now: float) -> None:
        # Each hand-over doubles the pause before the next, so that a flapping node does not
        # move parts every time.
        quiet = now - self._last_transfer_at > 20 * self.lease_ttl_s
        self._transfer_pause_s = (
            1.0 if quiet else min(2 * self._transfer_pause_s, 10 * self.lease_ttl_s)
        )
        self._last_transfer_at = now
        self.controller.spawn(self._transfer(shard_id, target))

    def _transfer(self, number: int, target: str) -> Coroutine:
        controller = self.controller
        shard = controller.shards.get(number)
        if shard is None or shard.is_closing:
            return
        # From here on this node does not act for the part: the commit may be applied any time.
        shard.is_closing = True
        doubt = -1
        tries = 0
        while controller.shards.get(number) is shard and controller.view.shard_map is not None:
            version = controller.view.version(keys.SHARD_MAP)
            inc = controller.view.nodes.get(target)
            tries += 1
            if inc is None or tries > 20:
                if doubt != version:
                    # Nothing that was sent can be applied any more: the split has moved on.
                    shard.is_closing = False
                    return
                # Take the part anew, so that the commit in doubt cannot be applied late.
                target = controller.node
                inc = controller.incarnation
            new = shard_map.assign_shards(controller.view.shard_map, [number], target, inc)
            key = keys.NODES + target
            guards = [(key, controller.view.version(key)), controller.fence_precondition(number)]
            ok = yield from self.commit_shard_map(new, [number], guards, version)
            if ok:
                return
            if ok is None:
                doubt = version
                yield from self.refresh_shard_map()
            yield Sleep(0.1 + 0.2 * controller.rng.random())
