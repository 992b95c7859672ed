"""Keeps the view up to date: a listing at the start, then a watch, and reads of single keys."""

from __future__ import annotations

from marblestair.core.runtime.context import NodeContext
from marblestair.core.runtime.coroutines import Coroutine
from marblestair.core.runtime.requests import Sleep
from marblestair.core.runtime.store_requests import (
    Get,
    ListKeys,
    RequestPriority,
    StoreResponse,
    Watch,
)
from marblestair.core.state import keys
from marblestair.core.state.store_view import StoreView

#: keys in one page of a listing
PAGE_KEYS = 1000
#: milliseconds for which a watch waits for a change, for each second of the node's lease
WATCH_WAIT_MS_PER_LEASE_S = 500
#: pause between two watches: at most this share of the node's lease, and at least so long
LONGEST_PAUSE = 1 / 8
LEAST_PAUSE_S = 0.15
#: share of a node's requests to the store that its watch may take
WATCH_SHARE = 0.2


class StoreFollower:
    """Follows the store's keys on behalf of one node's view."""

    def __init__(self, context: NodeContext, view: StoreView, lease_ttl_s: float) -> None:
        self._context = context
        self._view = view
        self._wait_ms = int(lease_ttl_s * WATCH_WAIT_MS_PER_LEASE_S)
        # On a busy deployment something always has changed: a watch answers at once, and may not
        # take the node's whole rate of requests.
        settings = context.settings
        requests_per_s = settings.cluster.state.rps / len(settings.nodes)
        pause_s = max(LEAST_PAUSE_S, 1.0 / (WATCH_SHARE * requests_per_s))
        self._pause_s = min(lease_ttl_s * LONGEST_PAUSE, pause_s)

    def load(self) -> Coroutine[None]:
        """Read all that is followed, for as long as it takes."""
        while True:
            sent_at = self._context.now
            pages = yield from self._list_pages()
            if pages is not None:
                self._view.load_listing(pages)
                self._view.current_as_of = sent_at
                self._view.publish_changes()
                return
            yield Sleep(0.3 + 0.4 * self._context.rng.random())

    def _list_pages(self) -> Coroutine[list[StoreResponse] | None]:
        """All pages of what is followed; None when one of them could not be read."""
        pages: list[StoreResponse] = []
        after_key = ""
        while True:
            page: StoreResponse = yield ListKeys(
                keys.WATCHED, after_key, PAGE_KEYS, RequestPriority.LEASE
            )
            if page.status != 200:
                return None
            pages.append(page)
            if not page.has_more or not page.items:
                return pages
            after_key = page.items[-1].key

    def follow(self) -> Coroutine[None]:
        """Watch for changes, for good."""
        while True:
            sent_at = self._context.now
            response: StoreResponse = yield Watch(keys.WATCHED, self._view.revision, self._wait_ms)
            if response.status == 200:
                self._view.apply_changes(response.events, response.revision)
                self._view.advance_current_as_of(sent_at)
                self._view.publish_changes()
                yield Sleep(max(0.0, sent_at + self._pause_s - self._context.now))
            elif response.status == 410:
                # The store does not remember changes that far back.
                yield from self.load()
            else:
                yield Sleep(0.2 + 0.3 * self._context.rng.random())

    def refresh(self, key: str) -> Coroutine[bool]:
        """Read one followed key afresh; whether that succeeded."""
        response: StoreResponse = yield Get(key, RequestPriority.LEASE)
        if response.status == 200:
            self._view.apply_read(key, response.value, response.version)
        elif response.status == 404:
            self._view.apply_absence(key, response.revision)
        else:
            return False
        self._view.publish_changes()
        return True

    def refresh_until_read(self, key: str) -> Coroutine[None]:
        """Read one followed key afresh, for as long as that takes."""
        while not (yield from self.refresh(key)):
            yield Sleep(0.3)
