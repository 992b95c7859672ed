"""The view of the store never goes back, in whatever order reads and answers arrive."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

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

NODE_KEYS = [keys.NODES + name for name in ("a", "b", "c")]


class KeyState(NamedTuple):
    """A state of a key since a revision; a version of 0 is a deletion."""

    revision: int
    version: int


class History:
    """Everything that was ever committed, and what reads of each revision return."""

    def __init__(self) -> None:
        self.revision = 0
        self._changes: list[KeyChange] = []
        self.states = {key: [KeyState(0, 0)] for key in NODE_KEYS}

    def change(self, key: str, is_deletion: bool) -> None:
        """Put or delete a key."""
        self.revision += 1
        value = None if is_deletion else self.revision
        self._changes.append(KeyChange(key, value, self.revision))
        self.states[key].append(KeyState(self.revision, 0 if is_deletion else self.revision))

    def version(self, key: str) -> int:
        """The latest version of a key, or 0."""
        return self.states[key][-1].version

    def changes_after(self, revision: int) -> list[KeyChange]:
        """The changes after a revision, in order."""
        return [change for change in self._changes if change.version > revision]


class LateArrivals:
    """A view, and what is still on its way to it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.history = History()
        self.view = StoreView()
        self.on_their_way: list[Callable[[], None]] = []
        #: key -> place in its states before which the view may not fall back
        self._least_state = dict.fromkeys(NODE_KEYS, 0)

    def commit(self) -> None:
        """Change a key; if this node does, the response comes later."""
        key = self.rng.choice(NODE_KEYS)
        exists = self.history.version(key) > 0
        is_deletion = exists and self.rng.random() < 0.5
        self.history.change(key, is_deletion)
        revision = self.history.revision
        puts = [] if is_deletion else [Put(key, revision)]
        own = CompareAndSwap([], puts, [key] if is_deletion else [])
        if self.rng.random() < 0.5:
            self.on_their_way.append(lambda: self.view.apply_commit(own, revision))

    def read(self) -> None:
        """Read a key; the response comes later."""
        key = self.rng.choice(NODE_KEYS)
        version, revision = self.history.version(key), self.history.revision
        if version:
            self.on_their_way.append(lambda: self.view.apply_read(key, version, version))
        else:
            self.on_their_way.append(lambda: self.view.apply_absence(key, revision))

    def arrive(self) -> None:
        """Have something that was on its way arrive, in any order."""
        if self.on_their_way:
            self.on_their_way.pop(self.rng.randrange(len(self.on_their_way)))()

    def _interleave(self) -> None:
        """Have a few other things happen."""
        for _ in range(self.rng.randrange(4)):
            self.rng.choice([self.commit, self.read, self.arrive])()
            self.check()

    def watch(self) -> None:
        """Answer the one watch; other things may arrive before its response does."""
        revision = self.history.revision
        changes = self.history.changes_after(self.view.revision)
        self._interleave()
        self.view.apply_changes(changes, revision)

    def load(self) -> None:
        """List all keys, as when the watch's history is too short, with changes in between."""
        pages = [self._page("")]
        while pages[-1].has_more:
            self._interleave()
            pages.append(self._page(pages[-1].items[-1].key))
        self.view.load_listing(pages)

    def _page(self, after_key: str) -> StoreResponse:
        """One page of a listing, of one key."""
        found = [key for key in NODE_KEYS if key > after_key and self.history.version(key)]
        items = [
            StoredKey(key, self.history.version(key), self.history.version(key)) for key in found
        ]
        return StoreResponse(
            200, items=items[:1], has_more=len(found) > 1, revision=self.history.revision
        )

    def check(self) -> None:
        """No key may fall back behind what was known of it, nor behind the view's revision."""
        for key, states in self.history.states.items():
            known = [
                place for place, state in enumerate(states) if state.revision <= self.view.revision
            ]
            least = max(self._least_state[key], known[-1] if known else 0)
            shown = self.view.version(key)
            places = [
                place for place in range(least, len(states)) if states[place].version == shown
            ]
            assert places, (key, states, shown, self.view.revision)
            self._least_state[key] = places[0]


def play_late_arrivals(seed: int) -> None:
    late = LateArrivals(seed)
    late.load()
    steps: list[Callable[[], None]] = [late.commit, late.read, late.arrive, late.arrive]
    for _ in range(40):
        chance = late.rng.random()
        step = late.load if chance < 0.05 else late.watch if chance < 0.25 else None
        (step or late.rng.choice(steps))()
        late.check()
    while late.on_their_way:
        late.arrive()
        late.check()
    view, history = late.view, late.history
    view.apply_changes(history.changes_after(view.revision), history.revision)
    for key in NODE_KEYS:
        assert view.version(key) == history.version(key)


@pytest.mark.parametrize("batch", range(8))
def test_nothing_that_arrives_late_makes_the_view_older(batch: int) -> None:
    for seed in range(100):
        play_late_arrivals(1000 * batch + seed)


def test_a_deleted_machine_does_not_come_back() -> None:
    # Rented, recorded and returned, before the node that rented it gets its response.
    key = keys.MACHINES + "host-000001"
    record = [0, "t8", "a", False, 0.0]
    view = StoreView()
    view.apply_changes([KeyChange(key, record, 3), KeyChange(key, None, 5)], 5)
    view.apply_commit(CompareAndSwap([], [Put(key, record)]), 3)
    view.apply_read(key, record, 4)
    assert not view.machines
    assert list(view.removed_machines) == ["host-000001"]


def test_what_is_known_beyond_the_watch_is_forgotten_once_it_is_there() -> None:
    view = StoreView()
    followed = [f"{keys.NODES}{number}" for number in range(1000)]
    view.apply_changes([KeyChange(key, 1, 1) for key in followed], 1)
    for key in followed:
        view.apply_absence(key, 2)
        # Nothing is remembered of keys that the view never had, however many users ask for.
        view.apply_absence(key + "/unknown", 2)
    assert len(view._absent_at) == 1000
    view.apply_changes([KeyChange(key, None, 2) for key in followed], 2)
    assert not view._absent_at
