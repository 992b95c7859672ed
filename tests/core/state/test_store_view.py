"""The view of the store never goes back, in whatever order reads and answers arrive."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    KeyChange,
    Put,
    StoredKey,
    StoreResponse,
)
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView

NODES = [keys.NODES + name for name in ("a", "b", "c")]


class History:
    """Everything that was ever committed, and what reads of each revision return."""

    def __init__(self) -> None:
        self.rev = 0
        self.log: list[KeyChange] = []
        #: key -> (revision, version) of each change; a version of 0 is a deletion
        self.states: dict[str, list[tuple[int, int]]] = {key: [(0, 0)] for key in NODES}

    def change(self, key: str, delete: bool) -> None:
        self.rev += 1
        self.log.append(KeyChange(key, None if delete else self.rev, self.rev))
        self.states[key].append((self.rev, 0 if delete else self.rev))

    def version(self, key: str) -> int:
        return self.states[key][-1][1]

    def events(self, after: int) -> list[KeyChange]:
        return [change for change in self.log if change.version > after]


class Late:
    """A view, and what is still on its way to it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.history = History()
        self.view = StoreView()
        self.on_their_way: list[Callable[[], None]] = []
        #: key -> place in its states before which the view may not fall back
        self.least = dict.fromkeys(NODES, 0)

    def commit(self) -> None:
        """Somebody changes a key; if it is this node, its answer comes later."""
        key = self.rng.choice(NODES)
        exists = self.history.version(key) > 0
        delete = exists and self.rng.random() < 0.5
        self.history.change(key, delete)
        rev = self.history.rev
        own = CompareAndSwap([], [] if delete else [Put(key, rev)], [key] if delete else [])
        if self.rng.random() < 0.5:
            self.on_their_way.append(lambda: self.view.record_commit(own, rev))

    def read(self) -> None:
        """A key is read; the answer comes later."""
        key = self.rng.choice(NODES)
        version, rev = self.history.version(key), self.history.rev
        if version:
            self.on_their_way.append(lambda: self.view.record_read(key, version, version))
        else:
            self.on_their_way.append(lambda: self.view.record_absence(key, rev))

    def arrive(self) -> None:
        """Something that was on its way arrives, in any order."""
        if self.on_their_way:
            self.on_their_way.pop(self.rng.randrange(len(self.on_their_way)))()

    def watch(self) -> None:
        """The one watch is answered; other things may arrive before its answer does."""
        events, rev = self.history.events(self.view.revision), self.history.rev
        for _ in range(self.rng.randrange(4)):
            self.rng.choice([self.commit, self.read, self.arrive])()
            self.check()
        self.view.apply_changes(events, rev)

    def load(self) -> None:
        """The log was too short: all is listed, page by page, with changes in between."""
        pages = [self.page("")]
        while pages[-1].has_more:
            for _ in range(self.rng.randrange(4)):
                self.rng.choice([self.commit, self.read, self.arrive])()
                self.check()
            pages.append(self.page(pages[-1].items[-1].key))
        self.view.load_listing(pages)

    def page(self, after: str) -> StoreResponse:
        """One page of a listing, of one key."""
        found = [key for key in NODES if key > after and self.history.version(key)]
        items = [
            StoredKey(key, self.history.version(key), self.history.version(key)) for key in found
        ]
        return StoreResponse(
            200, items=items[:1], has_more=len(found) > 1, revision=self.history.rev
        )

    def check(self) -> None:
        """No key may fall back behind what was known of it, nor behind the view's revision."""
        for key, states in self.history.states.items():
            known = [i for i, (rev, _) in enumerate(states) if rev <= self.view.revision]
            least = max(self.least[key], known[-1] if known else 0)
            shown = self.view.version(key)
            places = [i for i in range(least, len(states)) if states[i][1] == shown]
            assert places, (key, states, shown, self.view.revision)
            self.least[key] = places[0]


@pytest.mark.parametrize("batch", range(8))
def test_nothing_that_arrives_late_makes_the_view_older(batch: int) -> None:
    for seed in range(100):
        late = Late(1000 * batch + seed)
        late.load()
        steps: list[Callable[[], Any]] = [late.commit, late.read, late.arrive, late.arrive]
        for _ in range(40):
            chance = late.rng.random()
            step = late.load if chance < 0.05 else late.watch if chance < 0.25 else None
            (step or late.rng.choice(steps))()
            late.check()
        while late.on_their_way:
            late.arrive()
            late.check()
        late.view.apply_changes(late.history.events(late.view.revision), late.history.rev)
        now = {key: late.history.version(key) for key in NODES}
        assert {key: late.view.version(key) for key in NODES} == now


def test_a_machine_that_is_gone_does_not_come_back() -> None:
    # Rented, recorded and given back, before the node that rented it is answered.
    key = keys.MACHINES + "host-000001"
    member = [0, "t8", "a", False, 0.0]
    view = StoreView()
    view.apply_changes([KeyChange(key, member, 3), KeyChange(key, None, 5)], 5)
    view.record_commit(CompareAndSwap([], [Put(key, member)]), 3)
    view.record_read(key, member, 4)
    assert not view.machines
    assert list(view.gone_machines) == ["host-000001"]


def test_what_is_known_beyond_the_watch_is_forgotten_once_it_is_there() -> None:
    view = StoreView()
    followed = [f"{keys.NODES}{number}" for number in range(1000)]
    view.apply_changes([KeyChange(key, 1, 1) for key in followed], 1)
    for key in followed:
        view.record_absence(key, 2)
        # Nothing is kept of keys that the view never held, however many users ask for.
        view.record_absence(key + "/unknown", 2)
    assert len(view._absent_at) == 1000
    view.apply_changes([KeyChange(key, None, 2) for key in followed], 2)
    assert not view._absent_at
