"""The users' field names, paths and words: the only place where they appear.

Everything that crosses an outside interface is encoded and decoded here; the rest of the
program uses the field's standard names (token, session, machine, task, attempt, team).
"""

from __future__ import annotations

import re
from typing import Any
from urllib.parse import quote

import msgspec

from marblestair.core.domain.agents import (
    CommandVerb,
    ExitReason,
    Heartbeat,
    TaskCommand,
    TaskState,
    TaskStatus,
)
from marblestair.core.domain.amounts import are_valid_amounts
from marblestair.core.domain.jobs import JobKind, JobSpec, JobState, Priority
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
from marblestair.core.runtime.store_requests import (
    CompareAndSwap,
    Get,
    GrantLease,
    KeyChange,
    ListKeys,
    RenewLease,
    StoredKey,
    StoreRequest,
    StoreResponse,
    Watch,
)

MAX_BODY = 64 * 1024
MAX_TASKS = 100_000
MAX_INT = 2**64

CONTENT_TYPE = "application/msgpack"

_KINDS = {"batch": JobKind.ARRAY, "group": JobKind.GANG, "daemon": JobKind.SERVICE}
_PRIORITIES = {
    "prod": Priority.PRODUCTION,
    "high": Priority.HIGH,
    "normal": Priority.NORMAL,
    "low": Priority.LOW,
}
_JOB_STATES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.DONE: "done",
    JobState.CANCELLED: "aborted",
}
_TASK_STATES = {
    "pulling": TaskState.FETCHING,
    "waiting": TaskState.WAITING,
    "running": TaskState.RUNNING,
    "saving": TaskState.SAVING,
    "exited": TaskState.EXITED,
}
_EXIT_REASONS = {
    "": ExitReason.NONE,
    "done": ExitReason.DONE,
    "halted": ExitReason.STOPPED,
    "mates_gone": ExitReason.PEERS,
    "alone": ExitReason.ALONE,
    "error": ExitReason.ERROR,
    "no_room": ExitReason.NO_ROOM,
    "in_use": ExitReason.BUSY,
    "unknown": ExitReason.UNKNOWN,
}
_VERBS = {
    CommandVerb.START: "launch",
    CommandVerb.STOP: "stop",
    CommandVerb.FORGET: "reap",
}

#: "job-" and a whole number; digits only, so that ids stay short and safe in keys
_JOB_ID = re.compile(r"job-[0-9]{1,20}\Z")


class BadRequestError(Exception):
    """The body is malformed."""


def valid_job_id(ref: str) -> bool:
    """Whether an id has the form in which users choose them."""
    return _JOB_ID.match(ref) is not None


def pack(value: Any) -> bytes:
    """Encode a body."""
    return msgspec.msgpack.encode(value)


# --- users ---------------------------------------------------------------------------------


class _Submit(msgspec.Struct):
    ref: str
    jobclass: str
    owner: str
    shape: str
    urgency: str
    pieces: int
    cpus: float
    gpus: float
    mem_gb: float
    bundle: str
    size_gb: float
    together: bool
    scatter: bool
    loaners: bool
    expected_s: float
    bookmark_s: float
    bookmark_cost_s: float
    builds: list[str] | None = None
    room: str | None = None
    due_s: float | None = None
    awaits: list[str] | None = None


_submit = msgspec.msgpack.Decoder(_Submit)

#: bound on names that end up in records; longer ones are refused as malformed
_MAX_NAME = 200


def parse_submit(body: bytes) -> JobSpec:
    """Decode and check a submission; raise BadRequestError when it is malformed."""
    if len(body) > MAX_BODY:
        raise BadRequestError("body too large")
    try:
        s = _submit.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, ValueError) as e:
        raise BadRequestError(str(e)) from None
    if not valid_job_id(s.ref):
        raise BadRequestError("ref: not of the form job-NUMBER")
    if s.shape not in _KINDS:
        raise BadRequestError("shape: unknown")
    if s.urgency not in _PRIORITIES:
        raise BadRequestError("urgency: unknown")
    if not 1 <= s.pieces <= MAX_TASKS:
        raise BadRequestError(f"pieces: must be from 1 to {MAX_TASKS}")
    amounts = (s.cpus, s.gpus, s.mem_gb, s.size_gb, s.expected_s, s.bookmark_s)
    if not are_valid_amounts(*amounts, s.bookmark_cost_s, s.due_s):
        raise BadRequestError("an amount is negative, infinite or not a number")
    if max(*amounts, s.bookmark_cost_s, s.due_s or 0.0) > 1e12:
        raise BadRequestError("an amount is out of range")
    names = [s.jobclass, s.owner, s.bundle, s.room or "", *(s.builds or [])]
    if any(len(n) > _MAX_NAME for n in names) or len(names) > 100:
        raise BadRequestError("a name is too long")
    awaits = list(dict.fromkeys(s.awaits or []))
    if not all(valid_job_id(ref) for ref in awaits):
        raise BadRequestError("awaits: not a list of ids of the form job-NUMBER")
    return JobSpec(
        id=s.ref,
        job_class=s.jobclass,
        team=s.owner,
        kind=_KINDS[s.shape],
        priority=_PRIORITIES[s.urgency],
        task_count=s.pieces,
        cpus=s.cpus,
        gpus=s.gpus,
        mem_gb=s.mem_gb,
        image=s.bundle,
        image_gb=s.size_gb,
        machine_types=s.builds,
        zone=s.room,
        single_zone=s.together,
        spread_zones=s.scatter,
        allows_spot=s.loaners,
        estimated_run_s=s.expected_s,
        checkpoint_interval_s=s.bookmark_s,
        checkpoint_save_s=s.bookmark_cost_s,
        deadline_s=s.due_s,
        depends_on=awaits,
    )


def job_answer(
    job: str, state: str, done: int | None = None, running: int | None = None
) -> dict[str, Any]:
    """The body that tells a user about a job."""
    out: dict[str, Any] = {"ref": job, "status": _JOB_STATES[JobState(state)]}
    if done is not None:
        out["done"] = done
        out["running"] = running or 0
    return out


def error_answer(text: str) -> dict[str, Any]:
    """The body of a refusal."""
    return {"error": text}


def route_user(method: str, path: str) -> tuple[str, str]:
    """Map a request line to ``(action, job id)``; unknown ones to ``none`` or ``method``."""
    if path == "/v1/report":
        return ("report" if method == "POST" else "method"), ""
    if path == "/healthz":
        return ("health" if method == "GET" else "method"), ""
    if path == "/v1/jobs":
        return ("submit" if method == "POST" else "method"), ""
    if path.startswith("/v1/jobs/"):
        job, slash, end = path[len("/v1/jobs/") :].partition("/")
        if not slash:
            return ("query" if method == "GET" else "method"), job
        if end == "withdraw":
            return ("cancel" if method == "POST" else "method"), job
    return "none", ""


# --- workers -------------------------------------------------------------------------------


class _Piece(msgspec.Struct):
    piece: str
    attempt: int = msgspec.field(name="try")
    status: str
    cause: str | None = None
    stored: bool | None = None


class _Report(msgspec.Struct):
    bench: str
    endpoint: str
    build: str
    room: str
    loaners: bool
    shift: int
    tally: int
    baton: int = 0
    recall_s: float | None = None
    pieces: list[_Piece] = []


_report = msgspec.msgpack.Decoder(_Report)


def parse_report(body: bytes) -> Heartbeat:
    """Decode a worker's report; raise BadRequestError when it is malformed."""
    try:
        r = _report.decode(body)
        tasks = []
        for p in r.pieces:
            job, _, index = p.piece.rpartition("/")
            state = _TASK_STATES.get(p.status, TaskState.UNRECOGNIZED)
            tasks.append(
                TaskStatus(
                    job,
                    int(index),
                    p.attempt,
                    state,
                    _EXIT_REASONS.get(p.cause or "", ExitReason.UNRECOGNIZED),
                    bool(p.stored),
                )
            )
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, ValueError) as e:
        raise BadRequestError(str(e)) from None
    return Heartbeat(
        r.bench,
        r.endpoint,
        r.build,
        r.room,
        r.loaners,
        r.shift,
        r.tally,
        r.baton,
        r.recall_s,
        tasks,
    )


def _order(command: TaskCommand) -> dict[str, Any]:
    out: dict[str, Any] = {
        "verb": _VERBS[command.verb],
        "piece": f"{command.job}/{command.index}",
        "try": command.attempt,
    }
    if command.verb is CommandVerb.STOP:
        out["wind_down_s"] = command.grace_s
    return out


def report_answer(token: int, commands: list[TaskCommand]) -> dict[str, Any]:
    """The body of a 200 to a worker's report."""
    return {"baton": token, "orders": [_order(command) for command in commands]}


def redirect_answer(node: str | None) -> dict[str, Any]:
    """The body of a 421 to a worker."""
    return {"foreman": node} if node else {}


DO_PATH = "/do"
INSPECT_PATH = "/inspect"


def do_body(token: int, session: int, commands: list[TaskCommand]) -> bytes:
    """The body of a direct command."""
    return pack(
        {"baton": token, "shift": session, "orders": [_order(command) for command in commands]}
    )


# --- cloud ---------------------------------------------------------------------------------


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


class _Bench(msgspec.Struct):
    ref: str
    endpoint: str
    build: str
    room: str
    loaners: bool
    status: str
    age_s: float


class _Benches(msgspec.Struct):
    benches: list[_Bench]
    more: bool = False


def cloud_request(op: CloudRequest) -> tuple[str, str, bytes]:
    """Encode a cloud call as method, path and body."""
    if isinstance(op, ListMachineTypes):
        return "GET", "/machine_types", b""
    if isinstance(op, RentMachines):
        body = {
            "hire": op.name,
            "build": op.machine_type,
            "room": op.zone,
            "loaners": op.spot,
            "how_many": op.count,
        }
        return "POST", "/rentals", pack(body)
    if isinstance(op, ReleaseMachines):
        return "POST", "/rentals/release", pack({"benches": op.machines})
    path = f"/rentals?limit={op.limit}"
    if op.after_name:
        path += "&from=" + quote(op.after_name)
    return "GET", path, b""


def cloud_result(op: CloudRequest, status: int, body: bytes) -> CloudResponse:
    """Decode a cloud answer; a malformed one counts as no answer."""
    try:
        if status == 503:
            err = msgspec.msgpack.decode(body) if body else {}
            text = err.get("error", "") if isinstance(err, dict) else ""
            return CloudResponse(503, no_capacity=text == "no capacity")
        if status != 200:
            return CloudResponse(status)
        if isinstance(op, ListMachineTypes):
            types = msgspec.msgpack.decode(body, type=_Types)
            return CloudResponse(
                200,
                machine_types=[
                    MachineType(
                        t.sku,
                        t.cpus,
                        t.gpus,
                        t.mem_gb,
                        t.local_gb,
                        t.fetch_gb_per_s,
                        t.hourly,
                        t.market_price,
                        t.startup_s,
                        t.rooms,
                    )
                    for t in types.builds
                ],
            )
        if isinstance(op, RentMachines):
            return CloudResponse(200, machines=msgspec.msgpack.decode(body, type=_Rented).benches)
        if isinstance(op, ListMachines):
            page = msgspec.msgpack.decode(body, type=_Benches)
            listed = [
                ListedMachine(b.ref, b.endpoint, b.build, b.room, b.loaners, b.status, b.age_s)
                for b in page.benches
            ]
            return CloudResponse(200, listed=listed, has_more=page.more)
        return CloudResponse(200)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
        return CloudResponse(0)


# --- state service -------------------------------------------------------------------------


def state_request(op: StoreRequest) -> tuple[str, str, bytes]:
    """Encode a state-service call as method, path and body."""
    if isinstance(op, Get):
        return "GET", "/keys/" + op.key, b""
    if isinstance(op, ListKeys):
        path = f"/keys?starts={quote(op.prefix, safe='/')}&limit={op.limit}"
        if op.after_key:
            path += "&from=" + quote(op.after_key, safe="/")
        return "GET", path, b""
    if isinstance(op, CompareAndSwap):
        ops: list[dict[str, Any]] = []
        for put in op.puts:
            item: dict[str, Any] = {"set": put.key, "value": put.value}
            if put.lease_id is not None:
                item["tenancy"] = put.lease_id
            ops.append(item)
        ops += [{"delete": k} for k in op.deletes]
        body: dict[str, Any] = {"guards": [{"path": k, "stamp": v} for k, v in op.preconditions]}
        if ops:
            body["apply"] = ops
        return "POST", "/commit", pack(body)
    if isinstance(op, GrantLease):
        return "POST", "/leases", pack({"ttl_ms": op.ttl_ms})
    if isinstance(op, RenewLease):
        return "POST", f"/leases/{op.lease_id}/renew", b""
    wait = f"&hold_ms={op.wait_ms}"
    return "GET", f"/watch?starts={quote(op.prefix, safe='/')}&from={op.after_revision}{wait}", b""


def state_result(op: StoreRequest, status: int, body: bytes) -> StoreResponse:
    """Decode a state-service answer; a malformed one counts as no answer."""
    try:
        data = msgspec.msgpack.decode(body) if body else {}
        if not isinstance(data, dict):
            raise ValueError("not a map")
        if status == 200 and isinstance(op, Get):
            return StoreResponse(200, value=data["value"], version=int(data["stamp"]))
        if status == 200 and isinstance(op, ListKeys):
            items = [StoredKey(i["path"], i["value"], int(i["stamp"])) for i in data["items"]]
            more = bool(data.get("more"))
            return StoreResponse(200, items=items, has_more=more, revision=int(data["ledger_rev"]))
        if status == 200 and isinstance(op, Watch):
            events = [
                KeyChange(e["set"], e["value"], int(e["stamp"]))
                if e.get("set") is not None
                else KeyChange(e["delete"], None, int(e["stamp"]))
                for e in data["log"]
            ]
            return StoreResponse(200, events=events, revision=int(data["ledger_rev"]))
        if isinstance(op, GrantLease) and status == 200:
            return StoreResponse(200, lease_id=int(data["tenancy"]))
        if (isinstance(op, Get) and status == 404) or (
            isinstance(op, CompareAndSwap) and status == 200
        ):
            # Without the revision nobody could tell whether something newer is known already.
            return StoreResponse(status, revision=int(data["ledger_rev"]))
        failed = data.get("failed") or []
        return StoreResponse(
            status, revision=int(data.get("ledger_rev") or 0), failed_keys=list(failed)
        )
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError, KeyError, TypeError):
        # It may have been carried out, unless the status alone says that it was not.
        return StoreResponse(status if status == 429 or status >= 500 else 0)
