"""Wire format of the users' interface: submissions, queries, cancels and health checks."""

from __future__ import annotations

import enum
import re

import msgspec

from marblestair.core.domain.amounts import are_valid_amounts
from marblestair.core.domain.jobs import JobKind, JobSpec, JobState, Priority
from marblestair.wire.codec import MAX_REQUEST_BODY_BYTES, BadRequestError, pack

#: maximum number of tasks in one job
MAX_TASKS_PER_JOB = 100_000
#: maximum of each resource amount, size and time in a submission, in the unit of its field
MAX_AMOUNT = 1e12
#: maximum number of characters in one name; bounds the job records, which contain the names
MAX_NAME_CHARS = 200
#: maximum number of names in one submission: class, team, image, zone and machine types together
MAX_NAMES_PER_SUBMISSION = 100

HEALTH_PATH = "/healthz"
JOBS_PATH = "/v1/jobs"
HEARTBEAT_PATH = "/v1/report"

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

#: "job-" and 1 to 20 digits: ids are short and need no escaping in keys of the store
_JOB_ID = re.compile(r"job-[0-9]{1,20}\Z")


def is_valid_job_id(job: str) -> bool:
    """Whether a job id has the form ``job-NUMBER``."""
    return _JOB_ID.match(job) is not None


class _Submission(msgspec.Struct):
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


_submission_decoder = msgspec.msgpack.Decoder(_Submission)


def decode_submission(body: bytes) -> JobSpec:
    """Decode and check a submission.

    Raises
    ------
    BadRequestError
        When the body is malformed, or a value is out of the accepted range.
    """
    if len(body) > MAX_REQUEST_BODY_BYTES:
        raise BadRequestError(
            f"body: must be at most {MAX_REQUEST_BODY_BYTES} bytes, got {len(body)}"
        )
    try:
        submission = _submission_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, ValueError) as error:
        raise BadRequestError(str(error)) from None
    _check_id_and_enumerations(submission)
    _check_amounts(submission)
    _check_names(submission)
    return _job_spec(submission, _distinct_dependencies(submission))


def _check_id_and_enumerations(submission: _Submission) -> None:
    if not is_valid_job_id(submission.ref):
        raise BadRequestError(
            f"ref: must be job-NUMBER with 1 to 20 digits, got {submission.ref!r:.40}"
        )
    if submission.shape not in _KINDS:
        raise BadRequestError(
            f"shape: must be one of {', '.join(_KINDS)}, got {submission.shape!r:.40}"
        )
    if submission.urgency not in _PRIORITIES:
        raise BadRequestError(
            f"urgency: must be one of {', '.join(_PRIORITIES)}, got {submission.urgency!r:.40}"
        )


def _check_amounts(submission: _Submission) -> None:
    if not 1 <= submission.pieces <= MAX_TASKS_PER_JOB:
        raise BadRequestError(
            f"pieces: must be from 1 to {MAX_TASKS_PER_JOB}, got {submission.pieces}"
        )
    amounts = {
        "cpus": submission.cpus,
        "gpus": submission.gpus,
        "mem_gb": submission.mem_gb,
        "size_gb": submission.size_gb,
        "expected_s": submission.expected_s,
        "bookmark_s": submission.bookmark_s,
        "bookmark_cost_s": submission.bookmark_cost_s,
        "due_s": submission.due_s or 0.0,
    }
    for field, amount in amounts.items():
        if not are_valid_amounts(amount) or amount > MAX_AMOUNT:
            raise BadRequestError(
                f"{field}: must be a number from 0 to {MAX_AMOUNT:g}, got {amount!r:.40}"
            )


def _check_names(submission: _Submission) -> None:
    names = [
        ("jobclass", submission.jobclass),
        ("owner", submission.owner),
        ("bundle", submission.bundle),
        ("room", submission.room or ""),
        *(("builds", name) for name in submission.builds or []),
    ]
    if len(names) > MAX_NAMES_PER_SUBMISSION:
        raise BadRequestError(
            "builds: jobclass, owner, bundle, room and builds must have at most"
            f" {MAX_NAMES_PER_SUBMISSION} names together, got {len(names)}"
        )
    for field, name in names:
        if len(name) > MAX_NAME_CHARS:
            raise BadRequestError(
                f"{field}: must have at most {MAX_NAME_CHARS} characters, got {len(name)}:"
                f" {name!r:.40}"
            )


def _distinct_dependencies(submission: _Submission) -> list[str]:
    """Return the ids of the jobs that a submission depends on, without duplicates."""
    jobs = list(dict.fromkeys(submission.awaits or []))
    for job in jobs:
        if not is_valid_job_id(job):
            raise BadRequestError(
                f"awaits: ids must be job-NUMBER with 1 to 20 digits, got {job!r:.40}"
            )
    return jobs


def _job_spec(submission: _Submission, depends_on: list[str]) -> JobSpec:
    return JobSpec(
        id=submission.ref,
        job_class=submission.jobclass,
        team=submission.owner,
        kind=_KINDS[submission.shape],
        priority=_PRIORITIES[submission.urgency],
        task_count=submission.pieces,
        cpus=submission.cpus,
        gpus=submission.gpus,
        mem_gb=submission.mem_gb,
        image=submission.bundle,
        image_gb=submission.size_gb,
        machine_types=submission.builds,
        zone=submission.room,
        single_zone=submission.together,
        spread_zones=submission.scatter,
        allows_spot=submission.loaners,
        estimated_run_s=submission.expected_s,
        checkpoint_interval_s=submission.bookmark_s,
        checkpoint_save_s=submission.bookmark_cost_s,
        deadline_s=submission.due_s,
        depends_on=depends_on,
    )


class _JobStatus(msgspec.Struct):
    ref: str
    status: str
    done: int | msgspec.UnsetType = msgspec.UNSET
    running: int | msgspec.UnsetType = msgspec.UNSET


def encode_job_status(
    job: str, state: str, done: int | None = None, running: int | None = None
) -> bytes:
    """Encode the body of a 200 or 201 response: a job's state, and its task counts if known."""
    status = _JobStatus(job, _JOB_STATES[JobState(state)])
    if done is not None:
        status.done = done
        status.running = running or 0
    return pack(status)


class RequestKind(enum.Enum):
    """Kinds of HTTP requests, distinguished by method and path."""

    SUBMIT = enum.auto()
    QUERY = enum.auto()
    CANCEL = enum.auto()
    HEALTH = enum.auto()
    HEARTBEAT = enum.auto()
    UNKNOWN_PATH = enum.auto()
    WRONG_METHOD = enum.auto()


class Route(msgspec.Struct, frozen=True):
    """The kind of a request and the job id in its path."""

    kind: RequestKind
    job: str = ""


def route_request(method: str, path: str) -> Route:
    """Map the method and path of a request to its kind."""
    if path == HEARTBEAT_PATH:
        return _route(RequestKind.HEARTBEAT, method, "POST")
    if path == HEALTH_PATH:
        return _route(RequestKind.HEALTH, method, "GET")
    if path == JOBS_PATH:
        return _route(RequestKind.SUBMIT, method, "POST")
    if path.startswith(f"{JOBS_PATH}/"):
        job, slash, action = path[len(JOBS_PATH) + 1 :].partition("/")
        if not slash:
            return _route(RequestKind.QUERY, method, "GET", job)
        if action == "withdraw":
            return _route(RequestKind.CANCEL, method, "POST", job)
    return Route(RequestKind.UNKNOWN_PATH)


def _route(kind: RequestKind, method: str, expected_method: str, job: str = "") -> Route:
    return Route(kind if method == expected_method else RequestKind.WRONG_METHOD, job)
