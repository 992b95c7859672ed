"""Stand-ins of the users and of the load balancer before the controllers."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from standins.record import Record
from standins.wire import Client

SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S, RETRY_FOR_S = 5.0, 2.0, 60.0
#: the load balancer's probes: interval, timeout, and the pause before a node is healthy again
PROBE_S, PROBE_TIMEOUT_S, HEALTHY_PAUSE_S = 1.0, 1.0, 3.0


class Balancer:
    """Chooses a healthy node for a new connection."""

    def __init__(self, nodes: dict[str, str], rng: random.Random) -> None:
        self._nodes, self._rng = nodes, rng
        self.healthy: set[str] = set()
        self._tasks = []

    def start(self) -> None:
        """Start to probe the nodes."""
        self._tasks = [asyncio.create_task(self._probe(node)) for node in self._nodes]

    def stop(self) -> None:
        """Stop to probe the nodes."""
        for task in self._tasks:
            task.cancel()

    async def _probe(self, node: str) -> None:
        client = Client()
        failures, successes, removed_at = 0, 0, None
        while True:
            status, _, _ = await client.request(
                self._nodes[node], "GET", "/healthz", None, PROBE_TIMEOUT_S
            )
            if status == 200:
                failures, successes = 0, successes + 1
                paused = removed_at is not None and (
                    successes < 2 or time.monotonic() - removed_at < HEALTHY_PAUSE_S
                )
                if not paused:
                    self.healthy.add(node)
            else:
                failures, successes = failures + 1, 0
                if failures >= 2 and node in self.healthy:
                    self.healthy.discard(node)
                    removed_at = time.monotonic()
            await asyncio.sleep(PROBE_S)

    def choose(self) -> str | None:
        """Return the name of a healthy node; None if there is none."""
        return self._rng.choice(sorted(self.healthy)) if self.healthy else None


class Users:
    """Users that submit, ask about and cancel jobs, as the protocol says."""

    def __init__(self, nodes: dict[str, str], balancer: Balancer, record: Record) -> None:
        self._nodes, self._balancer, self._record = nodes, balancer, record

    async def _call(
        self, method: str, path: str, value: Any, timeout_s: float, node: str | None
    ) -> tuple[int, Any, dict[str, str]]:
        chosen = node or self._balancer.choose()
        if chosen is None:
            self._record.write(f"user: {method} {path}: no healthy node")
            return 0, None, {}
        client = Client()
        status, body, headers = await client.request(
            self._nodes[chosen], method, path, value, timeout_s
        )
        client.close()
        self._record.write(f"user: {method} {path} at {chosen}: {status} {body}")
        return status, body, headers

    async def submit(self, job: dict[str, Any], node: str | None = None) -> tuple[int, Any]:
        """Submit a job until it is accepted or refused, for up to a minute."""
        path = "/v1/jobs"
        return await self._repeat(path, job, (200, 201, 400, 422), node, job["ref"])

    async def withdraw(self, ref: str, node: str | None = None) -> tuple[int, Any]:
        """Cancel a job until that is answered, for up to a minute."""
        return await self._repeat(f"/v1/jobs/{ref}/withdraw", {}, (200,), node, ref)

    async def _repeat(
        self, path: str, value: Any, final: tuple[int, ...], node: str | None, what: str
    ) -> tuple[int, Any]:
        until = time.monotonic() + RETRY_FOR_S
        status, body = 0, None
        while time.monotonic() < until:
            status, body, headers = await self._call("POST", path, value, SUBMIT_TIMEOUT_S, node)
            if status in final:
                return status, body
            wait_s = min(30.0, float(headers.get("retry-after", "1")))
            await asyncio.sleep(max(1.0, wait_s))
        self._record.write(f"user: {what}: given up")
        return status, body

    async def poll(self, ref: str, node: str | None = None) -> tuple[int, Any]:
        """Ask about a job once."""
        status, body, _ = await self._call("GET", f"/v1/jobs/{ref}", None, POLL_TIMEOUT_S, node)
        return status, body
