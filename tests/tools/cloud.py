"""Simulated cloud: machine types, rentals, releases, a delayed list, and injected faults."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tests.tools.http_service import Responder, ServiceConnection
from tests.tools.messages import HttpMessage, pack, unpack
from tests.tools.network import Address, Network
from tests.tools.processes import Host
from tests.tools.rates import TokenBucket

#: maximum number of machines in one rental, in one release, and in one page of the list
MAX_RENTAL_MACHINES, MAX_RELEASE_MACHINES, MAX_LIST_MACHINES = 50, 100, 500
#: size of a burst that the request limit allows, in seconds of its rate
BURST_S = 2.0
#: bounds of the processing time of a request
MIN_PROCESSING_S, MAX_PROCESSING_S = 0.01, 0.2
#: bounds of the delay of a request that is executed late
MIN_LATENESS_S, MAX_LATENESS_S = 2.0, 25.0
#: bounds of the duration of a normal and of a late boot, as multiples of the type's boot time
BOOT_FACTORS, LATE_BOOT_FACTORS = (0.6, 1.5), (3.0, 8.0)
#: a failed machine is listed as running for this long
FAILURE_LIST_DELAY_S = 30.0
#: bounds of the current spot price, as multiples of the nominal price
SPOT_PRICE_FACTORS = (2 / 3, 4 / 3)
#: bounds of the duration of a fast boot
INSTANT_BOOT_BOUNDS_S = (0.05, 2.0)
AGENT_PORT = 9000
#: number of addresses in one subnet of the machines' network
ADDRESSES_PER_SUBNET = 250
MALFORMED_BODIES = [b"\xc1", b"", pack([]), pack({"benches": 3, "builds": None})]


@dataclass
class Machine:
    """A rented machine."""

    host: Host
    machine_type: dict[str, Any]
    zone: str
    is_spot: bool
    rented_at_s: float
    up_at_s: float | None = None
    failed_at_s: float | None = None
    terminated_at_s: float | None = None

    @property
    def name(self) -> str:
        """Name of the machine."""
        return self.host.name

    @property
    def kind(self) -> tuple[str, str, bool]:
        """Type, zone, and whether it is a spot machine: capacity is limited per kind."""
        return self.machine_type["sku"], self.zone, self.is_spot


@dataclass
class CloudFaults:
    """Faults injected at present; the numbers are shares of the requests or of the boots."""

    is_down: bool = False
    lost_answers: float = 0.0
    late_requests: float = 0.0
    malformed_answers: float = 0.0
    never_boots: float = 0.0
    late_boots: float = 0.0
    instant_boots: float = 0.0


class Cloud:
    """The cloud's HTTP service, which rents machines and boots them."""

    def __init__(
        self,
        network: Network,
        address: Address,
        limits: dict[str, Any],
        types: list[dict[str, Any]],
        seed: str,
    ) -> None:
        self._network = network
        self._loop = network.loop
        self._random = random.Random(f"{seed}/cloud")
        self._requests = TokenBucket(limits["rps"], self._loop.time, BURST_S)
        self._list_lag_s = limits["list_lag_s"]
        self._types = {x["sku"]: x for x in types}
        self._rentals: dict[str, list[str]] = {}
        self.machines: dict[str, Machine] = {}
        self.faults = CloudFaults()
        #: maximum number of machines by kind; a kind that is not listed is not limited
        self.capacity: dict[tuple[str, str, bool], int] = {}
        self.max_list_machines = MAX_LIST_MACHINES
        #: called when a machine has booted, and when it is terminated or fails
        self.on_up: Callable[[Machine], None] = lambda machine: None
        self.on_down: Callable[[Machine], None] = lambda machine: None
        network.listen(address, lambda: ServiceConnection(self._receive))

    # events of machines

    def terminate(self, machine: Machine) -> None:
        """Terminate a machine, because it was released or because the cloud reclaims it."""
        if machine.terminated_at_s is None:
            machine.terminated_at_s = self._loop.time()
            self.on_down(machine)

    def fail(self, machine: Machine) -> None:
        """Let a machine fail; it remains listed."""
        if machine.terminated_at_s is None and machine.failed_at_s is None:
            machine.failed_at_s = self._loop.time()
            self.on_down(machine)

    def create_unrequested(self, sku: str, zone: str) -> Machine:
        """Create a machine without a rental request."""
        return self._create(sku, zone, is_spot=False)

    # requests

    def _receive(self, request: HttpMessage, responder: Responder) -> None:
        processing_s = self._random.uniform(MIN_PROCESSING_S, MAX_PROCESSING_S)
        self._loop.call_later(processing_s, self._handle, request, responder)

    def _handle(self, request: HttpMessage, responder: Responder) -> None:
        if self.faults.is_down:
            responder.answer(503, {"error": "trouble"})
        elif not self._requests.take(1):
            responder.answer(429, {"error": "too many requests"})
        elif request.method == "POST" and self._occurs(self.faults.late_requests):
            lateness_s = self._random.uniform(MIN_LATENESS_S, MAX_LATENESS_S)
            self._loop.call_later(lateness_s, self._execute, request)
        else:
            status, value = self._execute(request)
            if self._occurs(self.faults.lost_answers):
                return
            if self._occurs(self.faults.malformed_answers):
                responder.answer_malformed(self._random, status, MALFORMED_BODIES)
                return
            responder.answer(status, value)

    def _occurs(self, share: float) -> bool:
        return share > 0 and self._random.random() < share

    def _execute(self, request: HttpMessage) -> tuple[int, Any]:
        url = urlsplit(request.target)
        if url.path == "/machine_types":
            return 200, {"builds": [self._with_spot_price(x) for x in self._types.values()]}
        if request.method == "GET" and url.path == "/rentals":
            return self._list({x: y[0] for x, y in parse_qs(url.query).items()})
        body = unpack(request.body)
        if request.method != "POST" or not isinstance(body, dict):
            return 400, {"error": "malformed"}
        if url.path == "/rentals":
            return self._rent(body)
        if url.path == "/rentals/release":
            return self._release(body["benches"])
        return 400, {"error": "malformed"}

    def _with_spot_price(self, machine_type: dict[str, Any]) -> dict[str, Any]:
        price = machine_type["market_price"] * self._random.uniform(*SPOT_PRICE_FACTORS)
        return {**machine_type, "market_price": price}

    def _rent(self, body: dict[str, Any]) -> tuple[int, Any]:
        name = body["hire"]
        if name not in self._rentals:
            kind = (body["build"], body["room"], body["loaners"])
            count = min(body["how_many"], MAX_RENTAL_MACHINES, self._available(kind))
            if count <= 0:
                return 503, {"error": "no capacity"}
            self._rentals[name] = [self._create(*kind).name for _ in range(count)]
        return 200, {"benches": self._rentals[name]}

    def _available(self, kind: tuple[str, str, bool]) -> int:
        used = sum(
            1 for x in self.machines.values() if x.kind == kind and x.terminated_at_s is None
        )
        return self.capacity.get(kind, MAX_RENTAL_MACHINES + used) - used

    def _create(self, sku: str, zone: str, is_spot: bool) -> Machine:
        number = len(self.machines)
        name, address = (
            f"host-{number:06d}",
            f"10.1.{number // ADDRESSES_PER_SUBNET}.{number % ADDRESSES_PER_SUBNET + 1}",
        )
        host = Host("agent", name, address)
        self._network.add_host(host)
        machine = Machine(host, self._types[sku], zone, is_spot, self._loop.time())
        self.machines[name] = machine
        if not self._occurs(self.faults.never_boots):
            self._loop.call_later(self._boot_s(machine), self._boot, machine)
        return machine

    def _boot_s(self, machine: Machine) -> float:
        if self._occurs(self.faults.instant_boots):
            return self._random.uniform(*INSTANT_BOOT_BOUNDS_S)
        is_late = self._occurs(self.faults.late_boots)
        factor = self._random.uniform(*(LATE_BOOT_FACTORS if is_late else BOOT_FACTORS))
        return float(machine.machine_type["startup_s"] * factor)

    def _boot(self, machine: Machine) -> None:
        if machine.terminated_at_s is None and machine.failed_at_s is None:
            machine.up_at_s = self._loop.time()
            self.on_up(machine)

    def _release(self, names: list[str]) -> tuple[int, Any]:
        if len(names) > MAX_RELEASE_MACHINES:
            return 400, {"error": "too many"}
        for name in names:
            if name in self.machines:
                self.terminate(self.machines[name])
        return 200, {}

    # the list

    def _list(self, query: dict[str, str]) -> tuple[int, Any]:
        as_of_s = self._loop.time() - self._list_lag_s * self._random.uniform(0.5, 1.5)
        after = query.get("from", "")
        limit = min(int(query.get("limit", MAX_LIST_MACHINES)), self.max_list_machines)
        listed = [x for x in self.machines.values() if x.name > after and _is_listed(x, as_of_s)]
        page = [self._entry(x, as_of_s) for x in listed[:limit]]
        return 200, {"benches": page, "more": len(listed) > limit}

    def _entry(self, machine: Machine, as_of_s: float) -> dict[str, Any]:
        status = "booting"
        if machine.up_at_s is not None and machine.up_at_s <= as_of_s:
            status = "running"
        if (
            machine.failed_at_s is not None
            and machine.failed_at_s + FAILURE_LIST_DELAY_S <= as_of_s
        ):
            status = "failed"
        return {
            "ref": machine.name,
            "endpoint": f"{machine.host.address}:{AGENT_PORT}",
            "build": machine.machine_type["sku"],
            "room": machine.zone,
            "loaners": machine.is_spot,
            "status": status,
            "age_s": as_of_s - machine.rented_at_s,
        }


def _is_listed(machine: Machine, as_of_s: float) -> bool:
    is_there = machine.terminated_at_s is None or machine.terminated_at_s > as_of_s
    return machine.rented_at_s <= as_of_s and is_there
