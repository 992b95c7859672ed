"""Stand-in of the state service, with one address per controller."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any

import msgspec

from standins.wire import Request, port_of, serve

#: number of changes that a watch can go back
KEPT_CHANGES = 10_000
MAX_ITEMS = 1000
MAX_PAGE_BYTES = 512 * 1024
MAX_TRANSACTION_BYTES = 64 * 1024
#: interval at which ended leases are looked for
LEASE_CHECK_S = 0.02


class _Key:
    def __init__(self, value: Any, stamp: int, tenancy: int | None) -> None:
        self.value, self.stamp, self.tenancy = value, stamp, tenancy


class _Bucket:
    """A rate limit that allows a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate, self._tokens, self._at = rate, rate, time.monotonic()

    def take(self, count: int) -> bool:
        now = time.monotonic()
        self._tokens = min(self._rate, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


class Store:
    """Keys, leases, transactions and watches."""

    def __init__(self, limits: dict[str, Any]) -> None:
        self._limits = limits
        self._requests = _Bucket(float(limits["rps"]))
        self._writes = _Bucket(float(limits["write_rps"]))
        self.keys: dict[str, _Key] = {}
        self.revision = 1
        self._log: list[dict[str, Any]] = []
        self._leases: dict[int, list[float]] = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()
        self._is_out = False
        #: controllers that alone get 503
        self.refused: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []

    async def start(self, host: str, nodes: list[str]) -> dict[str, str]:
        """Start to serve; return the address for each controller."""
        addresses = {}
        for node in nodes:
            server = await serve(host, self._handler(node))
            self._servers.append(server)
            addresses[node] = f"{host}:{port_of(server)}"
        self._tasks.append(asyncio.create_task(self._end_leases()))
        return addresses

    def begin_outage(self) -> None:
        """Refuse all requests; open watches wait and leases do not end."""
        self._is_out = True

    def end_outage(self) -> None:
        """Serve again; all leases have their full time."""
        self._is_out = False
        now = time.monotonic()
        for lease in self._leases.values():
            lease[1] = now + lease[0]

    def _handler(self, node: str) -> Any:
        async def handle(request: Request) -> tuple[int, Any]:
            if self._is_out or node in self.refused:
                return 503, {"error": "unavailable"}
            if not self._requests.take(1):
                return 429, {"error": "too many requests"}
            return await self._serve(node, request)

        return handle

    async def _serve(self, node: str, request: Request) -> tuple[int, Any]:
        path = request.path
        if path == "/keys":
            return self._list(request.query)
        if path.startswith("/keys/"):
            return self._get(path[len("/keys/") :])
        if path == "/commit":
            return self._commit(request)
        if path == "/watch":
            return await self._watch(node, request.query)
        if path == "/leases":
            return self._grant(request.decoded())
        if path.startswith("/leases/"):
            return self._lease(request.method, path.split("/"))
        return 400, {"error": "no such call"}

    def _get(self, key: str) -> tuple[int, Any]:
        found = self.keys.get(key)
        if found is None:
            return 404, {"ledger_rev": self.revision}
        answer = {"path": key, "value": found.value, "stamp": found.stamp}
        if found.tenancy is not None:
            answer["tenancy"] = found.tenancy
        return 200, answer

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        limit = min(int(query.get("limit", "200")), MAX_ITEMS)
        after, prefix = query.get("from", ""), query.get("starts", "")
        names = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        items: list[dict[str, Any]] = []
        size = 0
        for name in names[:limit]:
            found = self.keys[name]
            size += len(msgspec.json.encode(found.value)) + len(name)
            if items and size > MAX_PAGE_BYTES:
                break
            items.append({"path": name, "value": found.value, "stamp": found.stamp})
        return 200, {"items": items, "more": len(items) < len(names), "ledger_rev": self.revision}

    def _commit(self, request: Request) -> tuple[int, Any]:
        body = request.decoded()
        changes = body.get("apply") or []
        guards = body.get("guards") or []
        if not self._is_well_formed(body, changes, guards):
            return 400, {"error": "malformed"}
        if changes and not self._writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        for change in changes:
            if "set" in change and change.get("tenancy") is not None:
                if change["tenancy"] not in self._leases:
                    return 400, {"error": "no such lease"}
        failed = [guard["path"] for guard in guards if self._stamp(guard["path"]) != guard["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if changes:
            self._apply(changes)
        return 200, {"ledger_rev": self.revision}

    def _is_well_formed(self, body: Any, changes: list[Any], guards: list[Any]) -> bool:
        limits = self._limits
        if len(changes) > limits["txn_ops"] or len(guards) > 4 * limits["txn_ops"]:
            return False
        if len(msgspec.json.encode(body)) > MAX_TRANSACTION_BYTES:
            return False
        most = limits["value_kb"] * 1024
        return all(
            len(msgspec.json.encode(change["value"])) <= most
            for change in changes
            if "set" in change
        )

    def _stamp(self, key: str) -> int:
        found = self.keys.get(key)
        return 0 if found is None else found.stamp

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.revision += 1
        for change in changes:
            if "set" in change:
                key, value = change["set"], change["value"]
                self.keys[key] = _Key(value, self.revision, change.get("tenancy"))
                self._log.append({"set": key, "value": value, "stamp": self.revision})
            elif self.keys.pop(change["delete"], None) is not None:
                self._log.append({"delete": change["delete"], "stamp": self.revision})
        del self._log[:-KEPT_CHANGES]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _watch(self, node: str, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query.get("starts", ""), int(query.get("from", "0"))
        until = time.monotonic() + min(int(query.get("hold_ms", "0")), 60_000) / 1000
        if len(self._log) == KEPT_CHANGES and after < self._log[0]["stamp"] - 1:
            return 410, {"ledger_rev": self.revision}
        while True:
            if self._is_out or node in self.refused:
                await asyncio.sleep(0.05)
                continue
            found = [
                change
                for change in self._log
                if change["stamp"] > after
                and (change.get("set") or change.get("delete")).startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return 200, {"ledger_rev": self.revision, "log": found}
            try:
                async with asyncio.timeout(min(left_s, 0.1)):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _grant(self, body: Any) -> tuple[int, Any]:
        ttl_s = int(body["ttl_ms"]) / 1000
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = [ttl_s, time.monotonic() + ttl_s]
        return 200, {"tenancy": lease_id}

    def _lease(self, method: str, parts: list[str]) -> tuple[int, Any]:
        lease = self._leases.get(int(parts[2]))
        if lease is None:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_lease(int(parts[2]))
        else:
            lease[1] = time.monotonic() + lease[0]
        return 200, {"tenancy": int(parts[2])}

    def _end_lease(self, lease_id: int) -> None:
        del self._leases[lease_id]
        attached = [key for key, found in self.keys.items() if found.tenancy == lease_id]
        if attached:
            self._apply([{"delete": key} for key in attached])

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self._is_out:
                continue
            now = time.monotonic()
            for lease_id in [i for i, lease in self._leases.items() if lease[1] < now]:
                self._end_lease(lease_id)
