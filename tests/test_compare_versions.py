"""The check that two versions behave alike: it finds a change, and none where there is none."""

from __future__ import annotations

import asyncio
import pathlib
import re
import shutil

import pytest

from tests.tools import compare_versions, versions
from tests.tools.messages import FrameSplitter, HttpSplitter, build_frame, build_request
from tests.tools.network import Network
from tests.tools.processes import Host, Process
from tests.tools.simulated_loop import SimulatedLoop

SCENARIO, SEED = "submissions-3", 7


@pytest.fixture(scope="module")
def unchanged(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    """A copy of the working tree's package."""
    directory = tmp_path_factory.mktemp("unchanged")
    versions.copy_working_tree(directory)
    return directory


def changed_copy(
    unchanged: pathlib.Path, directory: pathlib.Path, pattern: str, replacement: str
) -> pathlib.Path:
    """A copy of the package in which a text is replaced, wherever it is."""
    shutil.copytree(unchanged, directory)
    count = 0
    for path in directory.rglob("*.py"):
        text, found = re.subn(pattern, replacement, path.read_text())
        path.write_text(text)
        count += found
    assert count, f"the package has no {pattern}: change another place"
    return directory


def test_the_working_tree_behaves_like_itself(
    unchanged: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    comparison = compare_versions.compare(unchanged, unchanged, SCENARIO, SEED, tmp_path)
    assert comparison.is_same, comparison.difference
    for kind in ("agent", "balancer", "cloud", "controller", "store", "user"):
        assert comparison.messages[kind] > 10


@pytest.mark.parametrize(
    ("pattern", "replacement", "shown"),
    [
        pytest.param(
            r"baton: int\n",
            r'baton: int = msgspec.field(name="token")\n',
            "body.baton: ",
            id="a field of an answer",
        ),
        pytest.param(
            r"asyncio\.sleep\(([a-z_]+)\)", r"asyncio.sleep(\1 * 1.01)", "time_s: ", id="a pause"
        ),
    ],
)
def test_a_small_change_is_found(
    unchanged: pathlib.Path, tmp_path: pathlib.Path, pattern: str, replacement: str, shown: str
) -> None:
    changed = changed_copy(unchanged, tmp_path / "changed", pattern, replacement)
    comparison = compare_versions.compare(unchanged, changed, SCENARIO, SEED, tmp_path)
    assert not comparison.is_same
    assert any(shown in line for line in comparison.difference), comparison.difference


def test_a_version_that_fails_at_start_differs(
    unchanged: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    changed = tmp_path / "changed"
    shutil.copytree(unchanged, changed)
    (changed / versions.PACKAGE / "__init__.py").write_text("raise RuntimeError('broken')\n")
    comparison = compare_versions.compare(unchanged, changed, SCENARIO, SEED, tmp_path)
    assert "RuntimeError: broken" in "".join(comparison.difference)


def test_two_plays_give_the_same_record(unchanged: pathlib.Path, tmp_path: pathlib.Path) -> None:
    records = [tmp_path / name for name in ("one", "two")]
    for record in records:
        versions.run_scenario(unchanged, SCENARIO, SEED, record)
    assert records[0].read_bytes() == records[1].read_bytes()


def test_an_unknown_commit_is_told(capsys: pytest.CaptureFixture[str]) -> None:
    assert compare_versions.main(["no-such-commit", "--scenario", SCENARIO]) == 2
    assert "no-such-commit" in capsys.readouterr().err


def test_the_list_names_every_scenario(capsys: pytest.CaptureFixture[str]) -> None:
    assert compare_versions.main(["--list"]) == 0
    names = [line.split()[0] for line in capsys.readouterr().out.splitlines()]
    assert SCENARIO in names
    assert len(names) == len(set(names))


def test_streams_are_split_into_messages_whatever_the_pieces() -> None:
    for splitter, message in (
        (HttpSplitter(), build_request("POST", "/v1/jobs", b"some body", closes_connection=False)),
        (FrameSplitter(), build_frame(["note", "node-0", "tag", [1, 2]])),
    ):
        stream = message * 3
        found = [x for byte in stream for x in splitter.feed(bytes([byte]))]
        assert found == [message] * 3


class Echo(asyncio.Protocol):
    """Notes what happens on its connection."""

    def __init__(self, notes: list[str]) -> None:
        self.notes = notes

    def data_received(self, data: bytes) -> None:
        self.notes.append(data.decode())

    def connection_lost(self, exc: Exception | None) -> None:
        self.notes.append(type(exc).__name__)


def test_a_killed_process_does_nothing_more_and_its_connections_are_reset() -> None:
    loop = SimulatedLoop()
    network = Network(loop, "seed")
    server, client = Host("server", "server", "10.0.0.1"), Host("client", "client", "10.0.0.2")
    network.add_host(server)
    process = Process(server, 1)
    served: list[str] = []
    seen: list[str] = []

    async def serve() -> None:
        try:
            await loop.create_server(lambda: Echo(served), server.address, 80)
            while True:
                await asyncio.sleep(1.0)
                served.append("tick")
        finally:
            served.append("torn down")

    program = loop.create_task(serve(), context=process.context())
    loop.call_later(
        0.5,
        lambda: network.connect(
            client,
            (server.address, 80),
            lambda: Echo(seen),
            lambda endpoint: endpoint.write(b"hello"),
            lambda error: None,
        ),
    )
    loop.call_later(2.5, lambda: network.kill(process, is_power_loss=False))
    loop.run_until(loop.time() + 10.0)
    assert not program.done()
    # It never ends: without this, its destruction is logged in whichever test runs at that time.
    program._log_destroy_pending = False
    assert served == ["hello", "tick", "tick"]
    assert seen == ["ConnectionResetError"]


def test_timers_due_at_one_time_run_in_the_order_in_which_they_were_set() -> None:
    for others in range(40):
        loop = SimulatedLoop()
        order: list[int] = []
        due_s = loop.time() + 1.0
        for number in range(others):
            loop.call_at(due_s - 0.5 + (number * 7 % 40) / 40, lambda: None)
        for number in range(10):
            loop.call_at(due_s, order.append, number)
        loop.run_until(due_s + 1.0)
        assert order == list(range(10))


def test_a_cut_holds_back_what_is_sent_and_delivers_it_in_order() -> None:
    loop = SimulatedLoop()
    network = Network(loop, "seed")
    server, client = Host("server", "server", "10.0.0.1"), Host("client", "client", "10.0.0.2")
    network.add_host(server)
    received: list[str] = []
    network.listen((server.address, 80), lambda: Echo(received))
    began_s = loop.time()

    def send(endpoint: asyncio.Transport) -> None:
        endpoint.write(b"one")
        loop.call_later(1.0, lambda: network.cut(client.name, server.name))
        loop.call_later(2.0, lambda: endpoint.write(b"two"))
        loop.call_later(3.0, lambda: endpoint.write(b"three"))

    network.connect(client, (server.address, 80), asyncio.Protocol, send, lambda error: None)
    loop.run_until(began_s + 5.0)
    assert received == ["one"]
    network.end_partitions()
    loop.run_until(began_s + 6.0)
    assert received == ["one", "two", "three"]
