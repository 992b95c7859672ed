"""Who may act for which part: leases, the followed view, takeovers and hand-backs.

A node acts for a part only while its state lease surely holds, the split record names it, and
its view includes the commit that made it owner. The lease is counted from when the renewal was
sent, on the node's own steady clock, less an allowance for drift.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from marblestair.core import keys, split
from marblestair.core.calls import (
    LEASE,
    Commit,
    Get,
    LeaseGrant,
    LeaseRenew,
    ListKeys,
    PeerCall,
    Put,
    Sleep,
    StateResult,
    Watch,
)
from marblestair.core.flow import Flow, Step
from marblestair.core.part import DRIFT, Part

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
#: a node must have been seen this many leases before it is given a part back
SETTLE = 1.5


class Authority:
    """Leases and ownership of one node."""

    def __init__(self, c: Controller) -> None:
        self.c = c
        workers = c.settings.cluster.workers
        self.ttl = min(600.0, max(0.5, workers.lease_s * LEASE_RATIO))
        self.takeover_s = TAKEOVER_LEASES * self.ttl
        self.until = -1e9
        #: revision of the commit that put this node's key; the view must include it
        self.key_rev = 0
        self.lease: int | None = None
        self.booted = False
        #: part -> a term that this node itself raised while it went on acting
        self.raised: dict[int, int] = {}
        self._taking = False
        self._absent: dict[int, float] = {}
        #: when each other node's present incarnation was first seen
        self.seen_since: dict[str, tuple[int, float]] = {}
        self._last_given = -1e9
        self._pause = 1.0
        #: promises given: node -> until when its parts are not taken
        self.promised: dict[str, float] = {}
        #: promises held from all the others: until when they stand in for the lease
        self.trusted_until = -1e9
        #: when a renewal last succeeded, and whether the latest one did
        self.renewed = -1e9
        self.failing = False
        #: until when this node asks for no part, because it lost touch with its workers
        self._resting_until = -1e9
        #: version of the split at which a takeover was sent whose fate is unknown
        self._take_doubt = -1

    # --- what holds ------------------------------------------------------------------------

    def holds(self, now: float) -> bool:
        """Whether this node's lease surely holds and its view is recent enough to act on."""
        c = self.c
        if c.view.rev < self.key_rev:
            return False
        if now < self.trusted_until:
            return True
        return now < self.until and now - c.view.fresh_at < c.settings.cluster.workers.lease_s

    def acts(self, part: Part | None, now: float) -> bool:
        """Whether this node may act for a part."""
        return part is not None and part.ready and not part.closing and self.holds(now)

    def resting(self, now: float) -> bool:
        """Whether this node has lost touch with its workers a short while ago."""
        return now < self._resting_until

    def heard_worker(self) -> None:
        """A worker has reached this node."""
        self._resting_until = -1e9

    # --- flows -----------------------------------------------------------------------------

    def boot(self) -> Flow:
        """Load the view, then follow it and keep a lease."""
        yield from self._load()
        self.booted = True
        self.c.runner.keep(self._follow)
        self.c.runner.keep(self._keep_lease)
        self.c.runner.keep(self._keep_promises)

    def _load(self) -> Step:
        """Read all that is followed, for as long as it takes."""
        c = self.c
        while True:
            sent = c.now
            pages = yield from self._list_pages()
            if pages is not None:
                c.view.load(pages)
                c.view.fresh_at = sent
                c.sync()
                return
            yield Sleep(0.3 + 0.4 * c.rng.random())

    def _list_pages(self) -> Step:
        """All pages of what is followed; None when one of them could not be read."""
        pages: list[StateResult] = []
        after = ""
        while True:
            page: StateResult = yield ListKeys(keys.VIEW, after, 1000, LEASE)
            if page.status != 200:
                return None
            pages.append(page)
            if not page.more or not page.items:
                return pages
            after = page.items[-1].key

    def _follow(self) -> Flow:
        c = self.c
        wait_ms = int(self.ttl * 500)
        # On a busy deployment something always has changed: a watch answers at once, and may not
        # take the node's whole rate of requests.
        rps = c.settings.cluster.state.rps / len(c.settings.nodes)
        pause = min(self.ttl / 8, max(0.15, 1.0 / (WATCH_SHARE * rps)))
        while True:
            sent = c.now
            r: StateResult = yield Watch(keys.VIEW, c.view.rev, wait_ms)
            if r.status == 200:
                c.view.apply(r.events, r.rev)
                c.view.fresh_at = max(c.view.fresh_at, sent)
                c.sync()
                yield Sleep(max(0.0, sent + pause - c.now))
            elif r.status == 410:
                yield from self._load()
            else:
                yield Sleep(0.2 + 0.3 * c.rng.random())

    def _keep_lease(self) -> Flow:
        c = self.c
        key = keys.NODES + c.node
        #: a lease that the node's key is to be tied to, and when it was last asked for
        granted: tuple[int, float] | None = None
        while True:
            sent = c.now
            if self.lease is not None:
                r: StateResult = yield LeaseRenew(self.lease)
                if r.status == 200:
                    self._extend(sent)
                elif r.status == 404:
                    self.lease = None
                    continue
            elif granted is None:
                r = yield LeaseGrant(int(self.ttl * 1000))
                if r.status == 200:
                    granted = r.lease, sent
                    continue
            else:
                # Every try ties the key to this one lease, and each is guarded on the version
                # read before it. A try without an answer, carried out late, can then neither
                # replace a newer one nor leave the key with a lease that nobody renews.
                version = c.view.version(key)
                lease, asked = granted
                put = Commit([(key, version)], [Put(key, c.incarnation, lease)], lane=LEASE)
                r = yield put
                if r.status == 200:
                    self.lease, granted = lease, None
                    # Authority counts only once the view includes this commit: while the
                    # key was missing, another node may have taken the parts.
                    self.key_rev = r.rev
                    c.view.committed(put, r.rev)
                    self._extend(asked)
                    c.sync()
                elif r.status == 400:
                    # The lease has ended meanwhile.
                    granted = None
                    continue
                elif r.status == 409:
                    got: StateResult = yield Get(key, LEASE)
                    if got.status == 200:
                        c.view.take_in(key, got.value, got.version)
                    elif got.status == 404:
                        c.view.take_absence(key, got.rev)
                    c.sync()
                if granted is not None:
                    # Tried again while it holds: what may still come is tied to it too.
                    asked = c.now
                    kept: StateResult = yield LeaseRenew(lease)
                    if kept.status == 200:
                        granted = lease, asked
                    elif kept.status == 404:
                        granted = None
            self.failing = r.status != 200
            pause = self.ttl / 4 if r.status == 200 else self.ttl / 12
            yield Sleep(pause * (0.8 + 0.4 * c.rng.random()))

    # --- promises --------------------------------------------------------------------------

    def _keep_promises(self) -> Flow:
        """While the lease cannot be renewed, ask all the others not to take this node's parts.

        Only promises of every other node let this one act beyond its lease, and only without a
        gap: a node that can still take over gives none, and one that does not answer gives none.
        """
        c = self.c
        while True:
            yield Sleep(self.ttl / 8)
            now = c.now
            failing = self.failing and now - self.renewed > 0.3 * self.ttl
            if not failing or not c.parts or not self.holds(now):
                continue
            if self.trusted_until - now > 0.6 * self.ttl or not c.settings.others:
                continue
            for p in c.settings.others:
                ask = [c.node, c.incarnation, c.view.rev]
                got = yield PeerCall(p.node, "promise", ask, 0.5)
                if not isinstance(got, list):
                    break
                for job, rev in got:
                    c.cancels.learn(str(job), int(rev))
            else:
                if self.holds(c.now):
                    before = self.trusted_until
                    until = now + self.ttl * (1 - DRIFT) - 0.05
                    self.trusted_until = max(before, until)
                    if before < now:
                        c.log("info", "the state service is out of reach: acting on promises")

    def promise(self, node: str, incarnation: int, rev: int) -> list[list[Any]] | None:
        """Promise not to take a node's parts for a lease's time, unless this node might.

        With the promise go the cancels that a view of the asker's revision may lack; it counts
        the promise only after it has applied them. So an owner that acts on promises has applied
        each cancel that any other node can have confirmed. None: no promise.
        """
        c = self.c
        s = c.view.split
        now = c.now
        if s is None or not self.booted or not self.failing or self._taking:
            return None
        if self._take_doubt == c.view.version(keys.SPLIT):
            # A takeover was sent and may yet be carried out.
            return None
        if c.view.nodes.get(node) != incarnation:
            return None
        entries = c.cancels.later_than(rev)
        if entries is not None:
            self.promised[node] = now + self.ttl
        return entries

    def bound(self, node: str, now: float) -> bool:
        """Whether a node may be acting on a promise given here, also before a restart."""
        return now < self.promised.get(node, -1e9) or now - self.c.started < self.ttl

    def _extend(self, sent: float) -> None:
        self.renewed = sent
        self.until = max(self.until, sent + self.ttl * (1 - DRIFT) - 0.05)

    # --- ownership -------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Take what is orphaned, give back what is too much."""
        c = self.c
        for node, inc in c.view.nodes.items():
            if self.seen_since.get(node, (None, 0.0))[0] != inc:
                self.seen_since[node] = (inc, now)
        if not self.booted or self._taking or not self.holds(now):
            return
        s = c.view.split
        if s is None:
            self._taking = True
            c.spawn(self._create())
            return
        mine = [i for i, p in enumerate(s.parts) if (p.owner, p.incarnation) == c.me]
        take: list[int] = []
        guards: list[tuple[str, int]] = []
        for i, p in enumerate(s.parts):
            if (p.owner, p.incarnation) == c.me:
                self._absent.pop(i, None)
                continue
            key = keys.NODES + p.owner
            if p.owner == c.node:
                # This node's earlier process held it, and that process is dead.
                take.append(i)
                continue
            if p.owner and c.view.nodes.get(p.owner) == p.incarnation:
                self._absent.pop(i, None)
                continue
            if p.owner and self.bound(p.owner, now):
                continue
            since = self._absent.setdefault(i, now)
            wait = 0.35 * (len(mine) + len(take)) + 0.15 * c.rng.random()
            if not p.owner:
                # A new deployment: leave each node time to take its own.
                wait += 0.0 if c.home(i) == c.node else self.ttl
            elif c.view.nodes.get(p.owner) is not None:
                # Its node is back as a new process, which takes the part itself.
                wait += self.ttl / 2
            if now - since < wait:
                continue
            take.append(i)
            if p.owner:
                guards.append((key, c.view.version(key)))
        # Each part taken is a change of its fence besides that of the split.
        take = take[: c.settings.cluster.state.txn_ops - 1]
        if take:
            self._taking = True
            c.spawn(self._take(take, guards))
        else:
            self._give(now, mine)

    def _create(self) -> Flow:
        c = self.c
        first = split.first(c.settings.cluster.size, c.settings.cluster.teams)
        put = Commit([(keys.SPLIT, 0)], [Put(keys.SPLIT, first)], lane=LEASE)
        r: StateResult = yield put
        if r.status == 200:
            c.view.committed(put, r.rev)
        else:
            yield Sleep(0.3)
        self._taking = False

    def _take(self, parts: list[int], guards: list[tuple[str, int]]) -> Flow:
        c = self.c
        s = c.view.split
        if s is not None:
            new = split.take(s, parts, c.node, c.incarnation)
            own = keys.NODES + c.node
            ok = yield from self.commit_split(
                new, parts, [*guards, (own, c.view.version(own))], c.view.version(keys.SPLIT)
            )
            if ok is None:
                self._take_doubt = c.view.version(keys.SPLIT)
            c.log("info", f"took parts {parts}: {ok}")
        self._taking = False

    def commit_split(
        self,
        new: split.SplitRecord,
        fenced: list[int],
        guards: list[tuple[str, int]],
        version: int,
    ) -> Step:
        """Commit a new split record.

        Parts in ``fenced`` get a new owner. Returns True, False, or None if the commit may
        yet be applied.
        """
        c = self.c
        puts = [Put(keys.SPLIT, new)]
        puts += [Put(f"{keys.FENCES}{i}", new.parts[i].term) for i in fenced]
        commit = Commit([(keys.SPLIT, version), *guards], puts, lane=LEASE)
        r: StateResult = yield commit
        if r.status == 200:
            c.view.committed(commit, r.rev)
            c.sync()
            return True
        if r.status == 409:
            yield from self.refresh_split()
            return False
        return None if r.status == 0 else False

    def refresh_split(self) -> Step:
        """Read the split record afresh."""
        c = self.c
        r: StateResult = yield Get(keys.SPLIT, LEASE)
        if r.status == 200:
            c.view.take_in(keys.SPLIT, r.value, r.version)
            c.sync()
            return True
        return False

    def refresh_machine(self, key: str) -> Step:
        """Read a machine's membership afresh, for as long as that takes."""
        c = self.c
        while True:
            r: StateResult = yield Get(key, LEASE)
            if r.status == 200:
                c.view.take_in(key, r.value, r.version)
                c.sync()
                return
            if r.status == 404:
                c.view.take_absence(key, r.rev)
                c.sync()
                return
            yield Sleep(0.3)

    def _give(self, now: float, mine: list[int]) -> None:
        """Hand parts back to nodes that have none, or away when the machines are out of reach."""
        c = self.c
        s = c.view.split
        if s is None or now - self._last_given < self._pause:
            return
        owned = {n: 0 for n in c.view.nodes}
        for p in s.parts:
            if p.owner in owned:
                owned[p.owner] += 1
        heard = [n for n in owned if n != c.node and now - c.heard.get(n, -1e9) < 3.0]
        movable = [i for i in mine if c.acts(i) and now - c.parts[i].since > self.ttl]
        if c.isolated(now):
            # Where all nodes have lost the machines, it is not this node's network; and while
            # the others are heard, only one that hears its machines can do better.
            others = heard if heard else [n for n in owned if n != c.node]
            others = [n for n in others if not heard or c.in_touch.get(n, False)]
            if others and movable:
                target = min(others, key=lambda n: (owned[n], n))
                c.log("info", f"out of touch with the machines: giving part to {target}")
                # Without a part no worker turns to this node, whether or not it could: whether it
                # is in touch again shows only when it is given one.
                self._resting_until = now + REST_LEASES * c.settings.cluster.workers.lease_s
                self._hand(movable[-1], target, now)
            return
        if len(mine) < 2 or not movable:
            return
        for n in sorted(heard):
            since = self.seen_since.get(n, (0, now))[1]
            fit = c.in_touch.get(n, False) and now - since > SETTLE * self.ttl
            if owned[n] == 0 and fit:
                part = next((i for i in movable if c.home(i) == n), movable[-1])
                self._hand(part, n, now)
                return

    def _hand(self, part: int, target: str, now: float) -> None:
        # Each hand-over doubles the pause before the next, so that a flapping node does not
        # move parts every time.
        quiet = now - self._last_given > 20 * self.ttl
        self._pause = 1.0 if quiet else min(2 * self._pause, 10 * self.ttl)
        self._last_given = now
        self.c.spawn(self._hand_over(part, target))

    def _hand_over(self, number: int, target: str) -> Flow:
        c = self.c
        part = c.parts.get(number)
        if part is None or part.closing:
            return
        # From here on this node does not act for the part: the commit may be applied any time.
        part.closing = True
        doubt = -1
        tries = 0
        while c.parts.get(number) is part and c.view.split is not None:
            version = c.view.version(keys.SPLIT)
            inc = c.view.nodes.get(target)
            tries += 1
            if inc is None or tries > 20:
                if doubt != version:
                    # Nothing that was sent can be applied any more: the split has moved on.
                    part.closing = False
                    return
                # Take the part anew, so that the commit in doubt cannot be applied late.
                target = c.node
                inc = c.incarnation
            new = split.take(c.view.split, [number], target, inc)
            key = keys.NODES + target
            guards = [(key, c.view.version(key)), c.fence(number)]
            ok = yield from self.commit_split(new, [number], guards, version)
            if ok:
                return
            if ok is None:
                doubt = version
                yield from self.refresh_split()
            yield Sleep(0.1 + 0.2 * c.rng.random())
