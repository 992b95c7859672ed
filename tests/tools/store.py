"""Simulated store: versioned keys, guarded transactions, leases, watches, limits and faults."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from tests.tools.http_service import Responder, ServiceConnection
from tests.tools.messages import HttpMessage, pack, unpack
from tests.tools.network import Address, Network
from tests.tools.rates import TokenBucket

#: maximum number of items and of bytes in one page of a listing
MAX_PAGE_ITEMS, MAX_PAGE_BYTES = 1000, 512 * 1024
#: number of past changes from which watches can resume
MAX_LOG_CHANGES = 10_000
#: maximum size of one transaction in bytes
MAX_TRANSACTION_BYTES = 64 * 1024
MAX_GUARDS_PER_OPERATION = 4
#: maximum delay from the expiry of a lease to its end: half of it is the delay after which the
#: store ends the lease, the other half is one SCAN_INTERVAL_S
LEASE_GRACE_S = 0.1
#: interval between two checks of leases and watches
SCAN_INTERVAL_S = 0.05
#: bounds of the processing time of a request
MIN_PROCESSING_S, MAX_PROCESSING_S = 0.001, 0.008
#: bounds of the delay of a transaction that is executed late
MIN_LATENESS_S, MAX_LATENESS_S = 0.5, 20.0
MALFORMED_BODIES = [
    b"\xc1",
    b"",
    pack([]),
    pack({}),
    pack({"items": 3, "value": 4, "stamp": "x"}),
]


@dataclass
class StoredValue:
    """Value of a key, with its version and the lease to which it is attached."""

    value: Any
    version: int
    lease: int | None


@dataclass
class Lease:
    """A lease; the keys attached to it are deleted when it expires."""

    ttl_s: float
    expires_at_s: float


@dataclass
class Watch:
    """A request that waits for changes of keys with a prefix."""

    prefix: str
    version: int
    expires_at_s: float
    responder: Responder


@dataclass
class StoreFaults:
    """Faults injected at present; the numbers without a unit are shares of the requests."""

    is_down: bool = False
    slowness_s: float = 0.0
    lost_answers: float = 0.0
    late_transactions: float = 0.0
    malformed_answers: float = 0.0
    watch_lag_s: float = 0.0


class Store:
    """The HTTP service of the key-value store."""

    def __init__(
        self, network: Network, address: Address, limits: dict[str, Any], seed: str
    ) -> None:
        self._loop = network.loop
        self._limits = limits
        self._random = random.Random(f"{seed}/store")
        self._requests = TokenBucket(limits["rps"], self._loop.time)
        self._writes = TokenBucket(limits["write_rps"], self._loop.time)
        self.faults = StoreFaults()
        #: names of hosts whose requests are refused
        self.refused_hosts: set[str] = set()
        self.max_log_changes = MAX_LOG_CHANGES
        self.max_page_items = MAX_PAGE_ITEMS
        self._revision = 0
        self._keys: dict[str, StoredValue] = {}
        self._log: deque[dict[str, Any]] = deque()
        self._compacted_revision = 0
        self._leases: dict[int, Lease] = {}
        self._last_lease = 0
        self._watches: list[Watch] = []
        network.listen(address, lambda: ServiceConnection(self._receive))
        self._scan()

    # faults

    def begin_outage(self) -> None:
        """Refuse all requests; open watches stay unanswered."""
        self.faults.is_down = True

    def end_outage(self) -> None:
        """End an outage and renew all leases."""
        self.faults.is_down = False
        for lease in self._leases.values():
            lease.expires_at_s = self._loop.time() + lease.ttl_s

    def end_faults(self) -> None:
        """End all injected faults."""
        if self.faults.is_down:
            self.end_outage()
        self.faults = StoreFaults()
        self.refused_hosts.clear()

    # requests

    def _receive(self, request: HttpMessage, responder: Responder) -> None:
        processing_s = self._random.uniform(MIN_PROCESSING_S, MAX_PROCESSING_S)
        if self.faults.slowness_s:
            processing_s += self.faults.slowness_s * self._random.uniform(0.5, 1.5)
        self._loop.call_later(processing_s, self._handle, request, responder)

    def _handle(self, request: HttpMessage, responder: Responder) -> None:
        if self._is_refused(responder):
            responder.answer(503, {"error": "trouble"})
        elif not self._requests.take(1):
            responder.answer(429, {"error": "too many requests"})
        elif request.target.startswith("/watch"):
            self._open_watch(request, responder)
        elif request.target == "/commit" and self._occurs(self.faults.late_transactions):
            lateness_s = self._random.uniform(MIN_LATENESS_S, MAX_LATENESS_S)
            self._loop.call_later(lateness_s, self._execute, request)
        else:
            status, value = self._execute(request)
            self._answer(responder, status, value)

    def _answer(self, responder: Responder, status: int, value: Any) -> None:
        if self._occurs(self.faults.lost_answers):
            return
        if self._occurs(self.faults.malformed_answers):
            status = self._random.choice([status, status, 500, 404])
            responder.answer_malformed(self._random, status, MALFORMED_BODIES)
        else:
            responder.answer(status, value)

    def _occurs(self, share: float) -> bool:
        return share > 0 and self._random.random() < share

    def _is_refused(self, responder: Responder) -> bool:
        return self.faults.is_down or responder.caller.name in self.refused_hosts

    def _execute(self, request: HttpMessage) -> tuple[int, Any]:
        """Execute a request; return the status and the value of the answer."""
        self._expire_leases()
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if request.method == "GET" and url.path.startswith("/keys/"):
            return self._get(unquote(url.path.removeprefix("/keys/")))
        if request.method == "GET" and url.path == "/keys":
            return self._list(query)
        body = unpack(request.body) if request.body else {}
        if request.method != "POST" or not isinstance(body, dict):
            return 400, {"error": "malformed"}
        if url.path == "/commit":
            return self._commit(body, len(request.body))
        if url.path == "/leases":
            return self._grant(body)
        parts = url.path.split("/")
        if parts[1] == "leases" and parts[-1] == "renew":
            return self._renew(int(parts[2]))
        return 400, {"error": "malformed"}

    def _get(self, key: str) -> tuple[int, Any]:
        stored = self._keys.get(key)
        if stored is None:
            return 404, {"ledger_rev": self._revision}
        answer = {"path": key, "value": stored.value, "stamp": stored.version}
        if stored.lease is not None:
            answer["tenancy"] = stored.lease
        return 200, answer

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query.get("starts", ""), query.get("from", "")
        limit = min(int(query.get("limit", MAX_PAGE_ITEMS)), self.max_page_items)
        keys = sorted(key for key in self._keys if key.startswith(prefix) and key > after)
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys[:limit]:
            stored = self._keys[key]
            item = {"path": key, "value": stored.value, "stamp": stored.version}
            size += len(pack(item))
            if size > MAX_PAGE_BYTES:
                break
            items.append(item)
        is_more = len(items) < len(keys)
        return 200, {"items": items, "more": is_more, "ledger_rev": self._revision}

    # transactions

    def _commit(self, body: dict[str, Any], size: int) -> tuple[int, Any]:
        guards, changes = body.get("guards") or [], body.get("apply") or []
        if size > MAX_TRANSACTION_BYTES or not self._is_within_limits(guards, changes):
            return 400, {"error": "too large"}
        if not self._writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        leases = [x["tenancy"] for x in changes if x.get("tenancy") is not None]
        if any(lease not in self._leases for lease in leases):
            return 400, {"error": "no such lease"}
        failed = [x["path"] for x in guards if self._current_version(x["path"]) != x["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self._revision}
        if changes:
            self._apply(changes)
        return 200, {"ledger_rev": self._revision}

    def _is_within_limits(self, guards: list[Any], changes: list[dict[str, Any]]) -> bool:
        max_operations = self._limits["txn_ops"]
        if len(changes) > max_operations or len(guards) > MAX_GUARDS_PER_OPERATION * max_operations:
            return False
        max_value_bytes = self._limits["value_kb"] * 1024
        return all(len(pack(x.get("value"))) <= max_value_bytes for x in changes)

    def _current_version(self, key: str) -> int:
        stored = self._keys.get(key)
        return stored.version if stored is not None else 0

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self._revision += 1
        for change in changes:
            if "set" in change:
                key, value = change["set"], change.get("value")
                self._keys[key] = StoredValue(value, self._revision, change.get("tenancy"))
                self._log.append({"set": key, "value": value, "stamp": self._revision})
            elif self._keys.pop(change["delete"], None) is not None:
                self._log.append({"delete": change["delete"], "stamp": self._revision})
        while len(self._log) > self.max_log_changes:
            self._compacted_revision = self._log.popleft()["stamp"]

    # leases

    def _grant(self, body: dict[str, Any]) -> tuple[int, Any]:
        ttl_s = body["ttl_ms"] / 1000
        self._last_lease += 1
        self._leases[self._last_lease] = Lease(ttl_s, self._loop.time() + ttl_s)
        return 200, {"tenancy": self._last_lease}

    def _renew(self, number: int) -> tuple[int, Any]:
        lease = self._leases.get(number)
        if lease is None:
            return 404, {"error": "no such lease"}
        lease.expires_at_s = self._loop.time() + lease.ttl_s
        return 200, {"tenancy": number}

    def _expire_leases(self) -> None:
        if self.faults.is_down:
            return
        expired_before_s = self._loop.time() - LEASE_GRACE_S / 2
        for number in [
            n for n, lease in self._leases.items() if lease.expires_at_s < expired_before_s
        ]:
            del self._leases[number]
            keys = [key for key, stored in self._keys.items() if stored.lease == number]
            if keys:
                self._apply([{"delete": key} for key in keys])

    # watches

    def _open_watch(self, request: HttpMessage, responder: Responder) -> None:
        query = {x: y[0] for x, y in parse_qs(urlsplit(request.target).query).items()}
        expires_at_s = self._loop.time() + int(query.get("hold_ms", "0")) / 1000
        watch = Watch(query["starts"], int(query["from"]), expires_at_s, responder)
        if not self._answer_watch(watch):
            self._watches.append(watch)

    def _answer_watch(self, watch: Watch) -> bool:
        """Answer a watch if it has changes, timed out or is too old; return whether it did."""
        if self._is_refused(watch.responder):
            return False
        if watch.version < self._compacted_revision:
            watch.responder.answer(410, {"error": "too old"})
            return True
        changes = self._changes(watch)
        if not changes and self._loop.time() < watch.expires_at_s:
            return False
        answer = {"ledger_rev": self._revision, "log": changes}
        lag_s = self.faults.watch_lag_s
        self._loop.call_later(lag_s, self._answer, watch.responder, 200, answer)
        return True

    def _changes(self, watch: Watch) -> list[dict[str, Any]]:
        changes = []
        for change in reversed(self._log):
            if change["stamp"] <= watch.version:
                break
            key = change["set"] if "set" in change else change["delete"]
            if key.startswith(watch.prefix):
                changes.append(change)
        return changes[::-1]

    def _scan(self) -> None:
        """Delete expired leases and answer watches, at regular intervals."""
        self._expire_leases()
        self._watches = [watch for watch in self._watches if not self._answer_watch(watch)]
        self._loop.call_later(SCAN_INTERVAL_S, self._scan)
