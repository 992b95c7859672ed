"""Invalid input from clients: malformed requests, reports and frames, and impossible jobs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from tests.tools.agents import REPORT_PATH
from tests.tools.http_service import get, post
from tests.tools.messages import build_frame, build_request, pack
from tests.tools.network import Address, Endpoint, Network
from tests.tools.processes import Host
from tests.tools.workload import job_submission

#: time after which a client closes its connection
HOLD_S = 4.0
#: pause between two chunks of a request that is sent in chunks
CHUNK_PAUSE_S = 0.05
OVERSIZED_BODY = b"\x00" * (70 * 1024)
OVERSIZED_HEAD = b"X-Long: " + b"a" * (20 * 1024)
JOBS_PATH = "/v1/jobs"


class RawClients:
    """Sends arbitrary bytes, each time from a new client on a new connection."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self._client_count = 0

    def send(self, address: Address, *chunks: bytes, hold_s: float = HOLD_S) -> None:
        """Connect, send the chunks one by one, and close the connection after ``hold_s``."""
        self._client_count += 1
        name = f"client-{self._client_count}"
        self._network.connect(
            Host("mischief", name, name),
            address,
            asyncio.Protocol,
            lambda endpoint: self._opened(endpoint, chunks, hold_s),
            lambda error: None,
        )

    def _opened(self, endpoint: Endpoint, chunks: tuple[bytes, ...], hold_s: float) -> None:
        for number, chunk in enumerate(chunks):
            self._network.loop.call_later(number * CHUNK_PAUSE_S, endpoint.write, chunk)
        self._network.loop.call_later(hold_s, endpoint.close)


def malformed_submissions() -> list[bytes]:
    """Return requests to submit jobs that a controller must reject as malformed."""
    bodies = [b"", b"\xc1", pack([1, 2]), pack("job"), pack({"ref": "job-000001"})]
    wrong: list[dict[str, Any]] = [
        {"ref": 7},
        {"ref": "job-x"},
        {"ref": "job-" + "1" * 30},
        {"shape": "swarm"},
        {"urgency": "now"},
        {"pieces": 0},
        {"pieces": 100_001},
        {"pieces": 2.5},
        {"pieces": 2**64 - 1},
        {"cpus": -1.0},
        {"cpus": float("nan")},
        {"mem_gb": float("inf")},
        {"size_gb": 1e13},
        {"due_s": -3.0},
        {"owner": "x" * 300},
        {"builds": ["c4"] * 120},
        {"builds": "c4"},
        {"awaits": "job-000001"},
        {"awaits": ["job-x"]},
        {"together": 1},
        {"bundle": None},
    ]
    bodies += [pack(job_submission(9000, **changes)) for changes in wrong]
    bodies += [
        pack({x: y for x, y in job_submission(9001).items() if x != "owner"}),
        OVERSIZED_BODY,
    ]
    return [build_request("POST", JOBS_PATH, body, closes_connection=False) for body in bodies]


def impossible_jobs(first_number: int) -> list[dict[str, Any]]:
    """Return submissions of jobs that can never run: unknown team, too large, no such machines."""
    changes: list[dict[str, Any]] = [
        {"owner": "nobody"},
        {"cpus": 500.0},
        {"gpus": 1.0, "owner": "tight"},
        {"cpus": 7.0, "owner": "tight"},
        {"shape": "group", "pieces": 60, "cpus": 4.0},
        {"builds": ["unheard-of"]},
        {"builds": ["c16"], "room": "c"},
        {"room": "nowhere"},
    ]
    return [job_submission(first_number + x, **change) for x, change in enumerate(changes)]


def unusual_requests() -> list[tuple[bytes, ...]]:
    """Return the chunks of requests: unknown paths, wrong methods, malformed or pipelined HTTP."""
    query = get(f"{JOBS_PATH}/job-000001")
    submission = post(JOBS_PATH, job_submission(9100))
    return [
        (get("/"),),
        (get("/v1/jobs"),),
        (get("/v1/jobs/"),),
        (get("/v1/jobs/job-abc"),),
        (get("/v1/jobs/job-99999999"),),
        (get("/v1/jobs/job-000001/withdraw"),),
        (get("/v1/jobs/job-000001/other"),),
        (post("/v1/jobs/job-000001", {}),),
        (post("/v1/jobs/job-99999999/withdraw", {}),),
        (post("/v1/jobs/job-abc/withdraw", {}),),
        (post("/healthz", {}),),
        (get("/v1/report"),),
        (build_request("DELETE", "/v1/jobs/job-000001", b"", closes_connection=True),),
        (b"GET /\xff\xfe HTTP/1.1\r\n\r\n",),
        (b"nonsense\r\n\r\n",),
        (b"GET / HTTP/9.9\r\n\r\n",),
        (b"GET / HTTP/1.1\r\n" + OVERSIZED_HEAD + b"\r\n\r\n",),
        (b"POST /v1/jobs HTTP/1.1\r\nContent-Length: x\r\n\r\n",),
        (b"GET /healthz HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",),
        (b"POST /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",),
        (b"GET /healthz HTTP/1.0\r\n\r\n",),
        tuple(submission[x : x + 50] for x in range(0, len(submission), 50)),
        (query * 3,),
        (query * 8,),
        (query[:10],),
    ]


def malformed_reports() -> list[bytes]:
    """Return agents' reports that are malformed or come from machines that were never rented."""
    report: dict[str, Any] = {
        "bench": "host-999999",
        "endpoint": "10.1.200.1:9000",
        "build": "c4",
        "room": "a",
        "loaners": False,
        "shift": 1,
        "tally": 1,
        "baton": 0,
        "recall_s": None,
        "pieces": [],
    }
    task = {"piece": "job-000001/0", "try": 1, "status": "running"}
    changes: list[dict[str, Any]] = [
        {},
        {"bench": 3},
        {"tally": "many"},
        {"endpoint": "nowhere"},
        {"build": "unheard-of"},
        {"baton": 2**60},
        {"pieces": {}},
        {"pieces": [{"piece": "job-000001"}]},
        {"pieces": [{**task, "piece": "job-000001/x"}]},
        {"pieces": [{**task, "status": "dancing"}]},
        {"pieces": [task]},
        {"bench": "host-000000", "pieces": [task], "tally": 2**40},
    ]
    bodies = [pack({**report, **change}) for change in changes] + [b"\xc1", pack([])]
    return [build_request("POST", REPORT_PATH, body, closes_connection=False) for body in bodies]


def malformed_frames() -> list[bytes]:
    """Return frames between controllers that are malformed or carry invalid arguments."""
    notes: list[tuple[str, list[Any]]] = [
        ("summaries", []),
        ("summaries", [1, [[1, 2]], True, []]),
        ("summaries", [1, 2, 3, 4]),
        ("progress", ["x"]),
        ("progress", [[["job-000001", 0, 0, 1]]]),
        ("confirmed", ["job-000001"]),
        ("confirmed", ["job-000001", "x"]),
        ("ended", []),
        ("ended", ["job-000001", "queued"]),
        ("record", ["job-000001", None, 3]),
        ("record", ["job-000001", [1, 2], 3]),
        ("unheard-of", [1]),
    ]
    questions: list[tuple[str, list[Any]]] = [
        ("query", []),
        ("query", ["job-99999999"]),
        ("cancel", []),
        ("cancel", ["job-99999999"]),
        ("apply", ["job-99999999"]),
        ("apply", ["job-99999999", 7]),
        ("lock", [1]),
        ("lock", ["job-000001", 0, 1]),
        ("update", ["job-000001"]),
        ("release", ["x", "y"]),
        ("promise", ["node-0"]),
        ("promise", ["node-0", 1, 1]),
        ("arrive", ["job-99999999", 3]),
        ("arrive", [3]),
        ("entries", ["job-000001"]),
        ("entries", ["job-99999999", 0, [], 1]),
        ("unheard-of", []),
    ]
    frames = [build_frame(["note", "node-1", tag, arguments]) for tag, arguments in notes]
    frames += [
        build_frame(["ask", number, "node-1", tag, arguments])
        for number, (tag, arguments) in enumerate(questions)
    ]
    frames += [
        build_frame(["ask", 1, "stranger", "query", ["job-000001"]]),
        build_frame(["note", "stranger", "ended", ["job-000001", "done"]]),
        build_frame(["answer", 1, None]),
        build_frame(["note", "node-1"]),
        build_frame([]),
        build_frame({"note": 1}),
        b"\x00\x00\x00\x02\xc1\xc1",
        b"\xff\xff\xff\xff",
        b"\x00\x00",
    ]
    return frames


def schedule_actions(
    at: Callable[..., None], begin_s: float, pause_s: float, actions: list[Callable[[], None]]
) -> None:
    """Schedule actions at regular intervals, through ``at(time, action)``."""
    for number, action in enumerate(actions):
        at(begin_s + number * pause_s, action)
