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
from marblestair.core.runtime.requests import (
    LEASE,
    CompareAndSwap,
    Get,
    GrantLease,
    ListKeys,
    Put,
    RenewLease,
    Sleep,
    StoreResponse,
    Watch,
)
from marblestair.core.shard.shard import DRIFT, Shard
from marblestair.core.state import keys

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

    lease: int
    asked_at: float


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
        self.ttl = min(600.0, max(0.5, workers.lease_s * LEASE_RATIO))
        self.takeover_s = TAKEOVER_LEASES * self.ttl
        self.until = -1e9
        #: revision of the commit that put this node's key; the view must include it
        self.key_rev = 0
        self.lease: int | None = None
        #: a lease that the node's key is to be tied to
        self._granted: GrantedLease | None = None
        self.booted = False
        #: part -> a term that this node itself raised while it went on acting
        self.raised: dict[int, int] = {}
        self._taking = False
        self._absent: dict[int, float] = {}
        #: when each other node's present incarnation was first seen
        self.seen_since: dict[str, tuple[int, float]] = {}
        self._last_given = -1e9
        self._pause = 1.0
        self.promises = Promises(controller, self)
        #: when a renewal last succeeded, and whether the latest one did
        self.renewed = -1e9
        self.failing = False
        #: until when this node asks for no part, because it lost touch with its workers
        self._resting_until = -1e9
        #: version of the split at which a takeover was sent whose fate is unknown
        self._take_doubt = -1
        #: by what this node acted when it last looked
        self._basis = LeadershipBasis.NONE

    # --- what holds ------------------------------------------------------------------------

    def holds(self, now: float) -> bool:
        """Whether this node's lease surely holds and its view is recent enough to act on."""
        controller = self.controller
        if controller.view.rev < self.key_rev:
            return False
        if self.promises.hold(now):
            return True
        return (
            now < self.until
            and now - controller.view.fresh_at < controller.settings.cluster.workers.lease_s
        )

    def _note_basis(self, now: float) -> None:
        """Log by what this node may act, when that has changed."""
        basis = LeadershipBasis.NONE
        if self.holds(now):
            basis = LeadershipBasis.LEASE if now < self.until else LeadershipBasis.PROMISES
        if basis is self._basis:
            return
        self._basis = basis
        view = self.controller.view
        self.controller.decisions.note(
            now,
            Decision.AUTHORITY,
            basis,
            lease_left_s=round(self.until - now, 2),
            promises_left_s=round(self.promises.held_until - now, 2),
            view_age_s=round(now - view.fresh_at, 2),
            view_rev=view.rev,
            parts={number: part.term for number, part in self.controller.parts.items()},
        )

    def acts(self, part: Shard | None, now: float) -> bool:
        """Whether this node may act for a part."""
        return part is not None and part.ready and not part.closing and self.holds(now)

    def resting(self, now: float) -> bool:
        """Whether this node has lost touch with its workers a short while ago."""
        return now < self._resting_until

    def heard_worker(self) -> None:
        """A worker has reached this node."""
        self._resting_until = -1e9

    # --- flows -----------------------------------------------------------------------------

    def boot(self) -> Coroutine:
        """Load the view, then follow it and keep a lease."""
        yield from self._load()
        self.booted = True
        self.controller.runner.keep(self._follow)
        self.controller.runner.keep(self._keep_lease)
        self.controller.runner.keep(self.promises.keep)

    def _load(self) -> Step:
        """Read all that is followed, for as long as it takes."""
        controller = self.controller
        while True:
            sent = controller.now
            pages = yield from self._list_pages()
            if pages is not None:
                controller.view.load(pages)
                controller.view.fresh_at = sent
                controller.sync()
                return
            yield Sleep(0.3 + 0.4 * controller.rng.random())

    def _list_pages(self) -> Step:
        """All pages of what is followed; None when one of them could not be read."""
        pages: list[StoreResponse] = []
        after = ""
        while True:
            page: StoreResponse = yield ListKeys(keys.VIEW, after, 1000, LEASE)
            if page.status != 200:
                return None
            pages.append(page)
            if not page.more or not page.items:
                return pages
            after = page.items[-1].key

    def _follow(self) -> Coroutine:
        controller = self.controller
        wait_ms = int(self.ttl * 500)
        # On a busy deployment something always has changed: a watch answers at once, and may not
        # take the node's whole rate of requests.
        rps = controller.settings.cluster.state.rps / len(controller.settings.nodes)
        pause = min(self.ttl / 8, max(0.15, 1.0 / (WATCH_SHARE * rps)))
        while True:
            sent = controller.now
            r: StoreResponse = yield Watch(keys.VIEW, controller.view.rev, wait_ms)
            if r.status == 200:
                controller.view.apply(r.events, r.rev)
                controller.view.fresh_at = max(controller.view.fresh_at, sent)
                controller.sync()
                yield Sleep(max(0.0, sent + pause - controller.now))
            elif r.status == 410:
                yield from self._load()
            else:
                yield Sleep(0.2 + 0.3 * controller.rng.random())

    def _keep_lease(self) -> Coroutine:
        controller = self.controller
        while True:
            if self.lease is not None:
                status = yield from self._renew(self.lease)
            elif self._granted is None:
                status = yield from self._grant()
            else:
                status = yield from self._tie_key(self._granted)
            if status is None:
                continue
            self.failing = status != 200
            pause = self.ttl / 4 if status == 200 else self.ttl / 12
            yield Sleep(pause * (0.8 + 0.4 * controller.rng.random()))

    def _renew(self, lease: int) -> Step:
        """Renew the node's lease: the status, or None when there is none any more."""
        sent = self.controller.now
        result: StoreResponse = yield RenewLease(lease)
        if result.status == 200:
            self._extend(sent)
        elif result.status == 404:
            self.lease = None
            return None
        return result.status

    def _grant(self) -> Step:
        """Ask for a lease: the status, or None when there is one to tie the node's key to."""
        sent = self.controller.now
        result: StoreResponse = yield GrantLease(int(self.ttl * 1000))
        if result.status == 200:
            self._granted = GrantedLease(result.lease, sent)
            return None
        return result.status

    def _tie_key(self, granted: GrantedLease) -> Step:
        """Put the node's key under a granted lease: the status, or None when that has ended.

        Every try ties the key to this one lease, and each is guarded on the version read before
        it. A try without an answer, carried out late, can then neither replace a newer one nor
        leave the key with a lease that nobody renews.
        """
        controller = self.controller
        key = keys.NODES + controller.node
        guards = [(key, controller.view.version(key))]
        put = CompareAndSwap(guards, [Put(key, controller.incarnation, granted.lease)], lane=LEASE)
        result: StoreResponse = yield put
        if result.status == 200:
            self.lease, self._granted = granted.lease, None
            # Authority counts only once the view includes this commit: while the key was
            # missing, another node may have taken the parts.
            self.key_rev = result.rev
            controller.view.committed(put, result.rev)
            self._extend(granted.asked_at)
            controller.sync()
            return result.status
        if result.status == 400:
            # The lease has ended meanwhile.
            self._granted = None
            return None
        if result.status == 409:
            yield from self._refresh_key(key)
        # Tried again while it holds: what may still come is tied to it too.
        asked_at = controller.now
        kept: StoreResponse = yield RenewLease(granted.lease)
        if kept.status == 200:
            self._granted = GrantedLease(granted.lease, asked_at)
        elif kept.status == 404:
            self._granted = None
        return result.status

    def _refresh_key(self, key: str) -> Step:
        """Read one followed key afresh; whether that succeeded."""
        controller = self.controller
        got: StoreResponse = yield Get(key, LEASE)
        if got.status == 200:
            controller.view.take_in(key, got.value, got.version)
        elif got.status == 404:
            controller.view.take_absence(key, got.rev)
        else:
            return False
        controller.sync()
        return True

    def _extend(self, sent: float) -> None:
        self.renewed = sent
        self.until = max(self.until, sent + self.ttl * (1 - DRIFT) - 0.05)

    # --- ownership -------------------------------------------------------------------------

    @property
    def may_be_taking(self) -> bool:
        """Whether a takeover by this node is under way, or was sent and may yet be carried out."""
        return self._taking or self._take_doubt == self.controller.view.version(keys.SPLIT)

    @property
    def renewal_overdue(self) -> bool:
        """Whether the lease could not be renewed when it should have been."""
        return self.failing and self.controller.now - self.renewed > OVERDUE * self.ttl

    def tick(self, now: float) -> None:
        """Take what is orphaned, give back what is too much."""
        controller = self.controller
        self._note_basis(now)
        for node, incarnation in controller.view.nodes.items():
            if self.seen_since.get(node, (None, 0.0))[0] != incarnation:
                self.seen_since[node] = (incarnation, now)
        if not self.booted or self._taking or not self.holds(now):
            return
        record = controller.view.split
        if record is None:
            self._taking = True
            controller.spawn(self._create())
            return
        mine = [
            number
            for number, part in enumerate(record.parts)
            if (part.owner, part.incarnation) == controller.me
        ]
        take: list[int] = []
        for number, part in enumerate(record.parts):
            if number in mine:
                self._absent.pop(number, None)
            elif self._is_orphaned(number, part, len(mine) + len(take), now):
                take.append(number)
        # Each part taken is a change of its fence besides that of the split.
        take = take[: controller.settings.cluster.state.txn_ops - 1]
        if take:
            self._taking = True
            controller.spawn(self._take(take, self._absence_guards(record, take)))
        else:
            self._give(now, mine)

    def _is_orphaned(self, number: int, part: shard_map.ShardRecord, held: int, now: float) -> bool:
        """Whether to take a part now, by a node that holds some number of parts already."""
        controller = self.controller
        if part.owner == controller.node:
            # This node's earlier process held it, and that process is dead.
            return True
        if part.owner and controller.view.nodes.get(part.owner) == part.incarnation:
            self._absent.pop(number, None)
            return False
        if part.owner and self.promises.bind(part.owner, now):
            return False
        since = self._absent.setdefault(number, now)
        wait = 0.35 * held + 0.15 * controller.rng.random()
        if not part.owner:
            # A new deployment: leave each node time to take its own.
            wait += 0.0 if controller.home(number) == controller.node else self.ttl
        elif controller.view.nodes.get(part.owner) is not None:
            # Its node is back as a new process, which takes the part itself.
            wait += self.ttl / 2
        return now - since >= wait

    def _absence_guards(self, record: shard_map.ShardMap, take: list[int]) -> list[tuple[str, int]]:
        """Guards that hold only while the owners of parts to be taken are gone."""
        guards = []
        for number in take:
            owner = record.parts[number].owner
            if owner not in ("", self.controller.node):
                key = keys.NODES + owner
                guards.append((key, self.controller.view.version(key)))
        return guards

    def _create(self) -> Coroutine:
        controller = self.controller
        first = shard_map.first(controller.settings.cluster.size, controller.settings.cluster.teams)
        put = CompareAndSwap([(keys.SPLIT, 0)], [Put(keys.SPLIT, first)], lane=LEASE)
        r: StoreResponse = yield put
        if r.status == 200:
            controller.view.committed(put, r.rev)
        else:
            yield Sleep(0.3)
        self._taking = False

    def _take(self, parts: list[int], guards: list[tuple[str, int]]) -> Coroutine:
        controller = self.controller
        s = controller.view.split
        if s is not None:
            new = shard_map.take(s, parts, controller.node, controller.incarnation)
            own = keys.NODES + controller.node
            ok = yield from self.commit_split(
                new,
                parts,
                [*guards, (own, controller.view.version(own))],
                controller.view.version(keys.SPLIT),
            )
            if ok is None:
                self._take_doubt = controller.view.version(keys.SPLIT)
            controller.log("info", f"took parts {parts}: {ok}")
        self._taking = False

    def commit_split(
        self,
        new: shard_map.ShardMap,
        fenced: list[int],
        guards: list[tuple[str, int]],
        version: int,
    ) -> Step:
        """Commit a new split record.

        Parts in ``fenced`` get a new owner. Returns True, False, or None if the commit may
        yet be applied.
        """
        controller = self.controller
        puts = [Put(keys.SPLIT, new)]
        puts += [Put(f"{keys.FENCES}{i}", new.parts[i].term) for i in fenced]
        commit = CompareAndSwap([(keys.SPLIT, version), *guards], puts, lane=LEASE)
        r: StoreResponse = yield commit
        if r.status == 200:
            controller.view.committed(commit, r.rev)
            controller.sync()
            return True
        if r.status == 409:
            yield from self.refresh_split()
            return False
        return None if r.status == 0 else False

    def refresh_split(self) -> Step:
        """Read the split record afresh."""
        return (yield from self._refresh_key(keys.SPLIT))

    def refresh_machine(self, key: str) -> Step:
        """Read a machine's membership afresh, for as long as that takes."""
        while not (yield from self._refresh_key(key)):
            yield Sleep(0.3)

    def _give(self, now: float, mine: list[int]) -> None:
        """Hand parts back to nodes that have none, or away when the machines are out of reach."""
        controller = self.controller
        s = controller.view.split
        if s is None or now - self._last_given < self._pause:
            return
        owned = {n: 0 for n in controller.view.nodes}
        for p in s.parts:
            if p.owner in owned:
                owned[p.owner] += 1
        heard = [
            n for n in owned if n != controller.node and now - controller.heard.get(n, -1e9) < 3.0
        ]
        movable = [
            i for i in mine if controller.acts(i) and now - controller.parts[i].since > self.ttl
        ]
        if controller.isolated(now):
            # Where all nodes have lost the machines, it is not this node's network; and while
            # the others are heard, only one that hears its machines can do better.
            others = heard if heard else [n for n in owned if n != controller.node]
            others = [n for n in others if not heard or controller.in_touch.get(n, False)]
            if others and movable:
                target = min(others, key=lambda n: (owned[n], n))
                controller.log("info", f"out of touch with the machines: giving part to {target}")
                # Without a part no worker turns to this node, whether or not it could: whether it
                # is in touch again shows only when it is given one.
                self._resting_until = (
                    now + REST_LEASES * controller.settings.cluster.workers.lease_s
                )
                self._hand(movable[-1], target, now)
            return
        if len(mine) < 2 or not movable:
            return
        for n in sorted(heard):
            since = self.seen_since.get(n, (0, now))[1]
            fit = controller.in_touch.get(n, False) and now - since > SETTLE * self.ttl
            if owned[n] == 0 and fit:
                part = next((i for i in movable if controller.home(i) == n), movable[-1])
                self._hand(part, n, now)
                return

    def _hand(self, part: int, target: str, now: float) -> None:
        # Each hand-over doubles the pause before the next, so that a flapping node does not
        # move parts every time.
        quiet = now - self._last_given > 20 * self.ttl
        self._pause = 1.0 if quiet else min(2 * self._pause, 10 * self.ttl)
        self._last_given = now
        self.controller.spawn(self._hand_over(part, target))

    def _hand_over(self, number: int, target: str) -> Coroutine:
        controller = self.controller
        part = controller.parts.get(number)
        if part is None or part.closing:
            return
        # From here on this node does not act for the part: the commit may be applied any time.
        part.closing = True
        doubt = -1
        tries = 0
        while controller.parts.get(number) is part and controller.view.split is not None:
            version = controller.view.version(keys.SPLIT)
            inc = controller.view.nodes.get(target)
            tries += 1
            if inc is None or tries > 20:
                if doubt != version:
                    # Nothing that was sent can be applied any more: the split has moved on.
                    part.closing = False
                    return
                # Take the part anew, so that the commit in doubt cannot be applied late.
                target = controller.node
                inc = controller.incarnation
            new = shard_map.take(controller.view.split, [number], target, inc)
            key = keys.NODES + target
            guards = [(key, controller.view.version(key)), controller.fence(number)]
            ok = yield from self.commit_split(new, [number], guards, version)
            if ok:
                return
            if ok is None:
                doubt = version
                yield from self.refresh_split()
            yield Sleep(0.1 + 0.2 * controller.rng.random())
