"""The view of the store never returns to an older state, in any order of responses."""

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
    """State of a key from a revision on; version 0 means that the key does not exist."""

    revision: int
    version: int


class History:
    """All committed changes, and the successive states of each key."""

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
        """Return the latest version of a key; 0 if it does not exist."""
        return self.states[key][-1].version

    def changes_after(self, revision: int) -> list[KeyChange]:
        """Return the changes after a revision, in order."""
        return [change for change in self._changes if change.version > revision]


class ViewSimulation:
    """Simulates a view to which responses are delivered late and in random order."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.history = History()
        self.view = StoreView()
        #: callbacks that each apply a response to the view
        self.in_flight: list[Callable[[], None]] = []
        #: key -> index of the oldest of its states that the view may show
        self._min_index = dict.fromkeys(NODE_KEYS, 0)

    def commit(self) -> None:
        """Change a random key; half of the commits are this node's and get a late response."""
        key = self.rng.choice(NODE_KEYS)
        exists = self.history.version(key) > 0
        is_deletion = exists and self.rng.random() < 0.5
        self.history.change(key, is_deletion)
        revision = self.history.revision
        puts = [] if is_deletion else [Put(key, revision)]
        swap = CompareAndSwap([], puts, [key] if is_deletion else [])
        if self.rng.random() < 0.5:
            self.in_flight.append(lambda: self.view.apply_commit(swap, revision))

    def read(self) -> None:
        """Read a random key; the response is delivered later."""
        key = self.rng.choice(NODE_KEYS)
        version, revision = self.history.version(key), self.history.revision
        if version:
            self.in_flight.append(lambda: self.view.apply_read(key, version, version))
        else:
            self.in_flight.append(lambda: self.view.apply_absence(key, revision))

    def deliver(self) -> None:
        """Deliver one of the responses in flight, chosen at random."""
        if self.in_flight:
            self.in_flight.pop(self.rng.randrange(len(self.in_flight)))()

    def _interleave(self) -> None:
        """Perform up to three random commits, reads or deliveries."""
        for _ in range(self.rng.randrange(4)):
            self.rng.choice([self.commit, self.read, self.deliver])()
            self.check()

    def watch(self) -> None:
        """Answer the watch; other responses may be delivered before the watch's response."""
        revision = self.history.revision
        changes = self.history.changes_after(self.view.revision)
        self._interleave()
        self.view.apply_changes(changes, revision)

    def load(self) -> None:
        """Load a listing, as if the watch's history were too short; changes occur between pages."""
        pages = [self._page("")]
        while pages[-1].has_more:
            self._interleave()
            pages.append(self._page(pages[-1].items[-1].key))
        self.view.load_listing(pages)

    def _page(self, after_key: str) -> StoreResponse:
        """Return a page of a listing with the first key after ``after_key``."""
        found = [key for key in NODE_KEYS if key > after_key and self.history.version(key)]
        items = [
            StoredKey(key, self.history.version(key), self.history.version(key)) for key in found
        ]
        return StoreResponse(
            200, items=items[:1], has_more=len(found) > 1, revision=self.history.revision
        )

    def check(self) -> None:
        """Check that each key's state is no older than before, nor than the view's revision."""
        for key, states in self.history.states.items():
            included = [
                index for index, state in enumerate(states) if state.revision <= self.view.revision
            ]
            min_index = max(self._min_index[key], included[-1] if included else 0)
            version = self.view.version(key)
            matches = [
                index for index in range(min_index, len(states)) if states[index].version == version
            ]
            assert matches, (key, states, version, self.view.revision)
            self._min_index[key] = matches[0]


def simulate_late_responses(seed: int) -> None:
    simulation = ViewSimulation(seed)
    simulation.load()
    steps: list[Callable[[], None]] = [
        simulation.commit,
        simulation.read,
        simulation.deliver,
        simulation.deliver,
    ]
    for _ in range(40):
        chance = simulation.rng.random()
        step = simulation.load if chance < 0.05 else simulation.watch if chance < 0.25 else None
        (step or simulation.rng.choice(steps))()
        simulation.check()
    while simulation.in_flight:
        simulation.deliver()
        simulation.check()
    view, history = simulation.view, simulation.history
    view.apply_changes(history.changes_after(view.revision), history.revision)
    for key in NODE_KEYS:
        assert view.version(key) == history.version(key)


@pytest.mark.parametrize("batch", range(8))
def test_nothing_that_arrives_late_makes_the_view_older(batch: int) -> None:
    for seed in range(100):
        simulate_late_responses(1000 * batch + seed)


def test_a_deleted_machine_does_not_come_back() -> None:
    # The machine is rented, recorded and released before the node that recorded it gets the
    # response to its commit.
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
    watched_keys = [f"{keys.NODES}{number}" for number in range(1000)]
    view.apply_changes([KeyChange(key, 1, 1) for key in watched_keys], 1)
    for key in watched_keys:
        view.apply_absence(key, 2)
        # Keys that the view never had are not retained, however many of them users query.
        view.apply_absence(key + "/unknown", 2)
    assert len(view._absent_at) == 1000
    view.apply_changes([KeyChange(key, None, 2) for key in watched_keys], 2)
    assert not view._absent_at
