"""Stand-in of the state service: keys, transactions, leases and watches, on the real clock."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from http_ import NO_ANSWER, Server, pack


class State:
    """The state service. Each controller has a port of its own, so faults can be set per node."""

    def __init__(self, log: Any, value_kb: float = 4.0, txn_ops: int = 12) -> None:
        self.log = log
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.rev = 0
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.history: list[tuple[int, str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        self.out = False
        self.refused: set[str] = set()
        #: nodes whose requests get no answer and are not carried out
        self.silent: set[str] = set()
        #: share of transactions without an answer: carried out 2 to 12 s later, or at once
        self.late_share = 0.0
        self.lost_share = 0.0
        self.delay_s = 0.0
        self.servers: dict[str, Server] = {}
        self.expirer: asyncio.Task[None] | None = None
        #: hook called with (node, request) before a transaction; may return "late", "lost"
        self.hook: Any = None
        #: limits of requests, and of puts and deletes, per second; None for none
        self.rps: float | None = None
        self.write_rps: float | None = None
        self._tokens = [0.0, 0.0]
        self._filled_at = 0.0
        self.refused_by_rate = 0

    async def listen(self, node: str) -> int:
        """Open a port for one controller; return it."""

        async def handle(method: str, path: str, args: dict[str, str], body: Any) -> Any:
            """Answer one request."""
            return await self.handle(node, method, path, args, body)

        server = self.servers[node] = Server(handle)
        return await server.start()

    def start(self) -> None:
        """Start."""
        self.expirer = asyncio.create_task(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.out:
                continue
            now = time.monotonic()
            ended = [lease for lease, (until, _) in self.leases.items() if now > until + 0.02]
            for lease in ended:
                del self.leases[lease]
                keys = [key for key, item in self.data.items() if item[2] == lease]
                if keys:
                    await self._apply([{"delete": key} for key in keys])

    def set_out(self, out: bool) -> None:
        """Begin or end an outage."""
        if self.out and not out:
            now = time.monotonic()
            for lease, (_, ttl) in list(self.leases.items()):
                self.leases[lease] = (now + ttl, ttl)
        self.out = out
        if not out:
            asyncio.get_running_loop().create_task(self._notify())

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def _apply(self, changes: list[dict[str, Any]]) -> int:
        self.rev += 1
        for change in changes:
            if "set" in change:
                key = change["set"]
                self.data[key] = (change["value"], self.rev, change.get("tenancy"))
                self.history.append((self.rev, key, change["value"]))
            else:
                key = change["delete"]
                if key in self.data:
                    del self.data[key]
                    self.history.append((self.rev, key, None))
        del self.history[:-10000]
        await self._notify()
        return self.rev

    async def commit(self, body: Any) -> tuple[int, Any]:
        """Carry out a transaction."""
        guards, changes = body.get("guards") or [], body.get("apply") or []
        if len(changes) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return 400, {"error": "too many"}
        if len(pack(body)) > 65536:
            return 400, {"error": "too large"}
        for change in changes:
            if "set" in change and len(pack(change["value"])) > self.value_kb * 1024:
                return 400, {"error": "value too large"}
            if change.get("tenancy") is not None and change["tenancy"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = []
        for guard in guards:
            item = self.data.get(guard["path"])
            if (item[1] if item else 0) != guard["stamp"]:
                failed.append(guard["path"])
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.rev}
        if not changes:
            return 200, {"ledger_rev": self.rev}
        return 200, {"ledger_rev": await self._apply(changes)}

    async def _commit_late(self, node: str, body: Any, after_s: float) -> None:
        await asyncio.sleep(after_s)
        status, value = await self.commit(body)
        self.log(
            "state-late", node=node, status=status, keys=_keys(body), rev=value.get("ledger_rev")
        )

    def over_rate(self, writes: int) -> bool:
        """Take tokens for a request; bursts of one second's worth are allowed."""
        if self.rps is None or self.write_rps is None:
            return False
        now = time.monotonic()
        passed, self._filled_at = now - self._filled_at, now
        for index, rate in enumerate((self.rps, self.write_rps)):
            self._tokens[index] = min(rate, self._tokens[index] + passed * rate)
        if self._tokens[0] < 1 or self._tokens[1] < min(writes, self.write_rps):
            self.refused_by_rate += 1
            return True
        self._tokens[0] -= 1
        self._tokens[1] -= writes
        return False

    def unavailable(self, node: str) -> bool:
        """Whether a node gets 503."""
        return self.out or node in self.refused

    async def handle(
        self, node: str, method: str, path: str, args: dict[str, str], body: Any
    ) -> Any:
        """Answer one request."""
        await asyncio.sleep(0.002 + self.delay_s * random.random() * 2)
        if node in self.silent:
            return await self._hang()
        writes = len(body.get("apply") or []) if path == "/commit" else 0
        if self.over_rate(writes):
            return 429, {"error": "too many requests"}
        if path == "/watch":
            return await self._watch(node, args)
        if self.unavailable(node):
            return 503, {"error": "trouble"}
        if path == "/commit":
            return await self._commit_for(node, body)
        if path.startswith("/keys"):
            return self._list(args) if path == "/keys" else self._get(path[6:])
        return self._lease(path, body)

    async def _commit_for(self, node: str, body: Any) -> Any:
        fate = self.hook(node, body) if self.hook else None
        if fate is None and self.late_share and random.random() < self.late_share:
            fate = "late"
        if fate is None and self.lost_share and random.random() < self.lost_share:
            fate = "lost"
        if fate == "late":
            asyncio.create_task(self._commit_late(node, body, random.uniform(2, 12)))
            return await self._hang()
        status, value = await self.commit(body)
        if fate == "lost":
            self.log("state-lost", node=node, status=status, keys=_keys(body))
            return await self._hang()
        return status, value

    def _get(self, key: str) -> Any:
        item = self.data.get(key)
        if item is None:
            return 404, {"ledger_rev": self.rev}
        return 200, {"path": key, "value": item[0], "stamp": item[1], "tenancy": item[2]}

    def _lease(self, path: str, body: Any) -> Any:
        if path == "/leases":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = body["ttl_ms"] / 1000
        elif path.startswith("/leases/") and path.endswith("/renew"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            ttl = self.leases[lease][1]
        else:
            return 400, {"error": path}
        self.leases[lease] = (time.monotonic() + ttl, ttl)
        return 200, {"tenancy": lease}

    async def _hang(self) -> Any:
        await asyncio.sleep(30)
        return NO_ANSWER

    def _list(self, args: dict[str, str]) -> Any:
        starts, after = args.get("starts", ""), args.get("from", "")
        limit = min(1000, int(args.get("limit", "1000")))
        keys = sorted(key for key in self.data if key.startswith(starts) and key > after)
        items, size = [], 0
        for key in keys[:limit]:
            size += len(pack(self.data[key][0])) + len(key) + 40
            if size > 512 * 1024:
                break
            items.append({"path": key, "value": self.data[key][0], "stamp": self.data[key][1]})
        return 200, {"items": items, "more": len(items) < len(keys), "ledger_rev": self.rev}

    async def _watch(self, node: str, args: dict[str, str]) -> Any:
        starts, since = args.get("starts", ""), int(args.get("from", "0"))
        if self.unavailable(node):
            return 503, {"error": "trouble"}
        until = time.monotonic() + int(args.get("hold_ms", "0")) / 1000
        while True:
            if not self.unavailable(node):
                if self.history and self.history[0][0] > since + 1 and len(self.history) >= 10000:
                    return 410, {"error": "too old"}
                found = [
                    {"set": key, "value": value, "stamp": rev}
                    if value is not None
                    else {"delete": key, "stamp": rev}
                    for rev, key, value in self.history
                    if rev > since and key.startswith(starts)
                ]
                if node in self.silent:
                    return await self._hang()
                if found or time.monotonic() >= until:
                    return 200, {"ledger_rev": self.rev, "log": found}
            left = 0.2 if self.unavailable(node) else max(0.0, until - time.monotonic())
            try:
                async with asyncio.timeout(min(left, 1.0) + 0.01):
                    async with self.changed:
                        await self.changed.wait()
            except TimeoutError:
                pass

    def close(self) -> None:
        """Close all."""
        if self.expirer is not None:
            self.expirer.cancel()
        for server in self.servers.values():
            server.close()


def _keys(body: Any) -> list[str]:
    return [change.get("set") or change.get("delete") for change in body.get("apply") or []]
