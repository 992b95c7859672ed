"""Wire format of the cloud's interface: machine types, rentals, releases and the machine list."""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from marblestair.core.domain.machines import MachineType
from marblestair.core.runtime.cloud_requests import (
    CloudRequest,
    CloudResponse,
    ListedMachine,
    ListMachines,
    ListMachineTypes,
    ReleaseMachines,
    RentMachines,
)
from marblestair.wire.codec import HttpRequest, pack

#: error text of a 503 response when the cloud has no free machine of the requested type
NO_CAPACITY = "no capacity"


class _Type(msgspec.Struct):
    sku: str
    cpus: float
    gpus: float
    mem_gb: float
    local_gb: float
    fetch_gb_per_s: float
    hourly: float
    market_price: float
    startup_s: float
    rooms: list[str]


class _Types(msgspec.Struct):
    builds: list[_Type]


class _Rented(msgspec.Struct):
    benches: list[str]


class _Machine(msgspec.Struct):
    ref: str
    endpoint: str
    build: str
    room: str
    loaners: bool
    status: str
    age_s: float


class _Machines(msgspec.Struct):
    benches: list[_Machine]
    more: bool = False


class _Rental(msgspec.Struct):
    hire: str
    build: str
    room: str
    loaners: bool
    how_many: int


class _Release(msgspec.Struct):
    benches: list[str]


def encode_cloud_request(request: CloudRequest) -> HttpRequest:
    """Encode a request to the cloud as an HTTP request."""
    if isinstance(request, ListMachineTypes):
        return HttpRequest("GET", "/machine_types")
    if isinstance(request, RentMachines):
        return HttpRequest("POST", "/rentals", pack(_rental(request)))
    if isinstance(request, ReleaseMachines):
        return HttpRequest("POST", "/rentals/release", pack(_Release(request.machines)))
    path = f"/rentals?limit={request.limit}"
    if request.after_name:
        path += "&from=" + quote(request.after_name)
    return HttpRequest("GET", path)


def _rental(request: RentMachines) -> _Rental:
    return _Rental(
        hire=request.name,
        build=request.machine_type,
        room=request.zone,
        loaners=request.spot,
        how_many=request.count,
    )


def decode_cloud_response(request: CloudRequest, status: int, body: bytes) -> CloudResponse:
    """Decode a response of the cloud; a malformed one gets status 0, as if none had arrived."""
    try:
        if status == 503:
            return CloudResponse(503, no_capacity=_error(body) == NO_CAPACITY)
        if status != 200:
            return CloudResponse(status)
        return _decode_success(request, body)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
        return CloudResponse(0)


def _error(body: bytes) -> object:
    decoded = msgspec.msgpack.decode(body) if body else {}
    return decoded.get("error", "") if isinstance(decoded, dict) else ""


def _decode_success(request: CloudRequest, body: bytes) -> CloudResponse:
    if isinstance(request, ListMachineTypes):
        types = msgspec.msgpack.decode(body, type=_Types)
        return CloudResponse(200, machine_types=[_machine_type(build) for build in types.builds])
    if isinstance(request, RentMachines):
        rented = msgspec.msgpack.decode(body, type=_Rented)
        return CloudResponse(200, machines=rented.benches)
    if isinstance(request, ListMachines):
        page = msgspec.msgpack.decode(body, type=_Machines)
        listed = [_listed_machine(machine) for machine in page.benches]
        return CloudResponse(200, listed=listed, has_more=page.more)
    return CloudResponse(200)


def _machine_type(build: _Type) -> MachineType:
    return MachineType(
        name=build.sku,
        cpus=build.cpus,
        gpus=build.gpus,
        mem_gb=build.mem_gb,
        cache_gb=build.local_gb,
        fetch_gb_per_s=build.fetch_gb_per_s,
        price=build.hourly,
        spot_price=build.market_price,
        boot_s=build.startup_s,
        zones=build.rooms,
    )


def _listed_machine(machine: _Machine) -> ListedMachine:
    return ListedMachine(
        name=machine.ref,
        address=machine.endpoint,
        machine_type=machine.build,
        zone=machine.room,
        spot=machine.loaners,
        state=machine.status,
        age_s=machine.age_s,
    )
