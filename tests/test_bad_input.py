"""What malformed input gets: on the users' interface, from workers, in settings."""

from __future__ import annotations

import asyncio
import math
import pathlib
from typing import Any

import msgspec
import pytest

from marblestair import cli
from marblestair.net.framing import FramedConnection, frame
from marblestair.net.http_server import HttpServer
from marblestair.net.peers import PeerServer
from marblestair.node import Node
from marblestair.policy import Policy
from marblestair.settings import SettingsError, parse
from marblestair.wire.agents import decode_heartbeat
from marblestair.wire.cloud import decode_cloud_response
from marblestair.wire.codec import MAX_BODY, BadRequestError, pack
from marblestair.wire.store import decode_store_response
from marblestair.wire.users import RequestKind, Route, decode_submission, route_request
from tests.fakes.deployment import settings
from tests.fakes.peer_wire import WireMessage, deliver

GOOD: dict[str, Any] = {
    "ref": "job-000412",
    "jobclass": "train",
    "owner": "red",
    "shape": "batch",
    "urgency": "high",
    "pieces": 4,
    "cpus": 2.0,
    "gpus": 0.0,
    "mem_gb": 4.0,
    "bundle": "img-07",
    "size_gb": 1.5,
    "builds": ["t4"],
    "room": None,
    "together": False,
    "scatter": False,
    "loaners": True,
    "expected_s": 20.0,
    "bookmark_s": 0.0,
    "bookmark_cost_s": 0.0,
    "due_s": 60.0,
}


def test_a_good_submission_with_unknown_and_omitted_fields() -> None:
    body = {k: v for k, v in GOOD.items() if k not in ("room", "builds", "due_s")}
    spec = decode_submission(pack({**body, "later_field": [1, 2]}))
    assert (spec.id, spec.kind, spec.machine_types, spec.deadline_s) == (
        "job-000412",
        "array",
        None,
        None,
    )


@pytest.mark.parametrize(
    "change",
    [
        {"ref": "task-1"},
        {"ref": "job-1/../x"},
        {"ref": 7},
        {"pieces": 0},
        {"pieces": 100_001},
        {"pieces": -3},
        {"pieces": "many"},
        {"cpus": math.nan},
        {"mem_gb": math.inf},
        {"cpus": -1.0},
        {"cpus": 1e300},
        {"expected_s": "long"},
        {"due_s": -5.0},
        {"shape": "blob"},
        {"urgency": "now"},
        {"together": "yes"},
        {"builds": "t4"},
        {"bundle": "x" * 1000},
        {"owner": None},
    ],
)
def test_malformed_submissions(change: dict[str, Any]) -> None:
    with pytest.raises(BadRequestError):
        decode_submission(pack({**GOOD, **change}))


@pytest.mark.parametrize("field", sorted(set(GOOD) - {"builds", "room", "due_s"}))
def test_a_missing_field(field: str) -> None:
    with pytest.raises(BadRequestError):
        decode_submission(pack({k: v for k, v in GOOD.items() if k != field}))


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x93\x01\x02\x03", b"\x91" * 5000, b"{}"])
def test_bodies_that_are_no_map(body: bytes) -> None:
    with pytest.raises(BadRequestError):
        decode_submission(body)
    with pytest.raises(BadRequestError):
        decode_heartbeat(body)


def test_malformed_answers_of_outside_systems_count_as_failed_calls() -> None:
    from marblestair.core.runtime.cloud_requests import RentMachines
    from marblestair.core.runtime.store_requests import CompareAndSwap, Get, Watch

    for body in (b"", b"\xc1", pack([1]), pack({"benches": 3})):
        assert decode_cloud_response(RentMachines("r", "t", "z", False, 1), 200, body).status == 0
        assert decode_store_response(Get("k"), 200, body).status == 0
        assert decode_store_response(Watch("k", 1, 1), 200, body).status == 0
        # Without a revision neither an absence nor a change can be put in order.
        assert decode_store_response(Get("k"), 404, body).status == 0
        assert decode_store_response(CompareAndSwap([], [], ["k"]), 200, body).status == 0


class FakeTransport:
    """Records what a protocol writes."""

    def __init__(self) -> None:
        self.data = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        self.data += data

    def close(self) -> None:
        self.closed = True

    abort = close

    def pause_reading(self) -> None:
        pass

    def is_closing(self) -> bool:
        return self.closed


def talk(data: bytes) -> tuple[list[tuple[str, str, bytes]], FakeTransport]:
    seen: list[tuple[str, str, bytes]] = []

    def handler(conn: Any, method: str, path: str, body: bytes) -> None:
        seen.append((method, path, body))
        conn.respond(200, b"ok")

    from marblestair.net.http_server import Connection

    server = HttpServer(handler, lambda: 0.0, 10, MAX_BODY, 60.0)
    connection = Connection(server)
    t = FakeTransport()
    connection.connection_made(t)
    for i in range(0, len(data), 3000):
        if not t.closed:
            connection.data_received(data[i : i + 3000])
    return seen, t


def test_http_keeps_the_connection_and_answers() -> None:
    one = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"
    seen, t = talk(one + one)
    assert seen == [("POST", "/v1/jobs", b"hi")] * 2
    assert t.data.count(b"HTTP/1.1 200 OK") == 2 and not t.closed


@pytest.mark.parametrize(
    "data",
    [
        b"NONSENSE\r\n\r\n",
        b"\x00\x01\x02" * 10,
        b"GET / HTTP/1.1\r\n" + b"A: " + b"b" * 40_000 + b"\r\n\r\n",
        b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000,
    ],
)
def test_broken_or_oversized_http_is_refused_and_closed(data: bytes) -> None:
    seen, t = talk(data)
    assert seen == []
    assert t.closed and t.data.startswith(b"HTTP/1.1 400 ")


def test_connections_are_bounded() -> None:
    from marblestair.net.http_server import Connection

    server = HttpServer(lambda *_: None, lambda: 0.0, 2, 100, 60.0)
    transports = [FakeTransport() for _ in range(3)]
    for t in transports:
        Connection(server).connection_made(t)
    assert sum(t.closed for t in transports) == 1 and len(server.connections) == 2


def test_near_the_limit_users_make_room_for_workers() -> None:
    """One node left alone holds every worker: its sockets are for them first."""
    from marblestair.net.http_server import Connection

    now = [0.0]
    server = HttpServer(lambda *_: None, lambda: now[0], 6, 100, 60.0, crowded_at=3)
    open_: list[tuple[Connection, FakeTransport]] = []

    def connect(worker: bool) -> FakeTransport:
        now[0] += 1.0
        connection, t = Connection(server), FakeTransport()
        connection.connection_made(t)
        connection.is_from_agent = worker
        open_.append((connection, t))
        return t

    for _ in range(3):
        connect(False)
    assert not server.is_crowded
    for _ in range(3):
        connect(True)
    assert server.is_crowded and not any(t.closed for _, t in open_)
    # All places are taken: the longest idle users go, never a worker.
    assert [connect(True).closed for _ in range(3)] == [False] * 3
    assert [t.closed for c, t in open_ if not c.is_from_agent] == [True] * 3
    assert not any(t.closed for c, t in open_ if c.is_from_agent)
    # Only workers are left, all heard lately: then one more finds no place.
    assert connect(True).closed and len(server.connections) == 6


def test_an_answer_that_turns_a_user_away_closes_its_connection() -> None:
    from marblestair.net.http_server import Connection

    def handler(conn: Any, *_: Any) -> None:
        conn.respond(503, b"", "Retry-After: 2\r\n", close=True)

    connection, t = Connection(HttpServer(handler, lambda: 0.0, 6, 100, 60.0)), FakeTransport()
    connection.connection_made(t)
    connection.data_received(b"GET /v1/jobs/x HTTP/1.1\r\nHost: x\r\n\r\n")
    assert t.data.startswith(b"HTTP/1.1 503") and b"Retry-After: 2" in t.data
    assert b"Connection: close" in t.data and t.closed


def test_commands_for_hundreds_of_machines_take_turns_and_leave_few_connections() -> None:
    """A cancel of a large array stops tasks on every machine: bounded, and none is left out."""
    from marblestair.net import http_client
    from marblestair.net.http_client import HttpClient

    most = under_way = 0
    client = HttpClient(1, 5, 7)

    class Connection(http_client.ClientConnection):
        def send(self, data: bytes) -> asyncio.Future[tuple[int, bytes]]:
            nonlocal most, under_way
            under_way += 1
            most = max(most, under_way)
            f: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()

            def answer() -> None:
                nonlocal under_way
                under_way -= 1
                f.set_result((200, b""))

            asyncio.get_running_loop().call_soon(answer)
            return f

    async def test() -> list[tuple[int, bytes]]:
        loop = asyncio.get_running_loop()

        async def connect(*_: Any) -> tuple[Any, Connection]:
            connection, transport = Connection(), FakeTransport()
            connection.connection_made(transport)
            return transport, connection

        loop.create_connection = connect  # type: ignore[assignment,method-assign]
        calls = [client.request(f"10.1.0.{i}:9", "POST", "/do", b"", 5.0) for i in range(300)]
        return await asyncio.gather(*calls)

    assert asyncio.run(test()) == [(200, b"")] * 300
    assert most <= 5
    assert sum(len(x) for x in client._idle.values()) == client._idle_count == 7


def test_unknown_paths_and_methods() -> None:
    assert route_request("GET", "/nothing") == Route(RequestKind.UNKNOWN_PATH)
    assert route_request("GET", "/v1/jobs/job-1/other") == Route(RequestKind.UNKNOWN_PATH)
    assert route_request("DELETE", "/v1/jobs/job-1").kind is RequestKind.WRONG_METHOD
    assert route_request("GET", "/v1/jobs").kind is RequestKind.WRONG_METHOD
    assert route_request("GET", "/v1/report").kind is RequestKind.WRONG_METHOD
    assert route_request("POST", "/v1/jobs/job-1/withdraw") == Route(RequestKind.CANCEL, "job-1")


def test_malformed_peer_frames_close_that_connection_only() -> None:
    notes: list[Any] = []
    server = PeerServer(lambda *a: notes.append(a), lambda *a: None)
    for data in (b"\xff" * 8, frame([])[:4] + b"\xc1", frame({"a": 1}), frame([])):  # type: ignore[arg-type]
        conn = FramedConnection(server._receive)
        t = FakeTransport()
        conn.connection_made(t)
        conn.data_received(data)
        assert t.closed
    conn = FramedConnection(server._receive)
    conn.connection_made(FakeTransport())
    whole = frame(["note", "n1", "summaries", [1, []]])
    for i in range(len(whole)):
        conn.data_received(whole[i : i + 1])
    assert notes == [("n1", "summaries", [1, []])]


def test_malformed_notes_do_not_end_the_core() -> None:
    from tests.fakes.world import World

    world = World(1)
    world.run(3.0)
    controller = world.cores["n0"]
    assert controller is not None
    for tag, arguments in (
        ("summaries", []),
        ("summaries", [controller.view.nodes["n1"], [["x"]]]),
        ("progress", [[1, 2]]),
        ("what", [1]),
    ):
        deliver(controller, "n1", WireMessage(tag, arguments))
    lines = controller.context.outbox.log_lines
    assert sum(line.level == "error" for line in lines) == 3
    lines.clear()
    world.run(1.0)


def test_malformed_messages_do_not_end_the_process(caplog: Any) -> None:
    node = Node(settings(0), Policy())
    replies: list[Any] = []
    node._receive_message("n1", "summaries", [])
    node._receive_message("n1", "what", [1])
    node._receive_request(replies.append, "n1", "apply", [])
    node._receive_request(replies.append, "n1", "what", [1])
    assert replies == [None, None]
    assert [record.levelname for record in caplog.records] == ["ERROR", "ERROR"]


def test_settings_errors_name_the_field(tmp_path: pathlib.Path, capsys: Any) -> None:
    good = msgspec.to_builtins(settings(0))
    parse(good)
    for path, value, text in (
        (("public_addr",), "nowhere", "public_addr"),
        (("cluster", "workers", "lease_s"), 0.0, "cluster.workers.lease_s"),
        (("cluster", "size"), "three", "cluster.size"),
        (("cluster", "state", "rps"), math.nan, "cluster.state.rps"),
        (("external",), {"cloud": "1.2.3.4:5"}, "external"),
    ):
        bad = msgspec.json.decode(msgspec.json.encode(good))
        at = bad
        for p in path[:-1]:
            at = at[p]
        at[path[-1]] = value
        with pytest.raises(SettingsError, match=text):
            parse(bad)
    f = tmp_path / "s.toml"
    f.write_text("node = \n")
    assert cli.main(["--check", str(f)]) == 2
    assert cli.main(["--config", str(tmp_path / "absent.toml")]) == 2
    err = capsys.readouterr().err.strip().splitlines()
    assert len(err) == 2 and all(x.startswith("marblestair: ") for x in err)


def test_the_budget_lets_the_lower_lane_go_first_and_serves_small_rates() -> None:
    from marblestair.net.budget import Budget

    async def test() -> list[str]:
        b = Budget(0.6, 1.0, max_wait_s=0.0)
        assert await b.take(1, 0)
        # The bucket is empty now; a call that cannot wait is told so at once.
        return ["refused" if not await b.take(0, 0) else "served"]

    assert asyncio.run(test()) == ["refused"]


@pytest.mark.parametrize(
    ("field", "changes"),
    [
        ("cluster.size", {"size": 5000}),
        (
            "cluster.teams",
            {"teams": [{"name": f"team-{i}", "cpus": 1.0, "cpus_max": 2.0} for i in range(400)]},
        ),
        ("cluster.machine_limits.core_share", {"machine_limits": dict(core_share=-0.3)}),
        ("cluster.machine_limits.mem_mb", {"machine_limits": dict(mem_mb=0.0)}),
        ("cluster.state.txn_ops", {"state": dict(rps=9.0, write_rps=9.0, value_kb=4.0, txn_ops=1)}),
        (
            "cluster.workers.lease_s",
            {
                "workers": dict(
                    report_s=5.0, lease_s=6.0, gang_wait_s=9.0, gang_peer_s=5.0, cancel_s=30.0
                )
            },
        ),
    ],
)
def test_settings_that_cannot_work_are_refused_with_their_field(
    field: str, changes: dict[str, Any]
) -> None:
    from marblestair.settings import SettingsError
    from tests.fakes.deployment import settings

    with pytest.raises(SettingsError, match=field.replace(".", r"\.")):
        settings(0, 3, **changes)
