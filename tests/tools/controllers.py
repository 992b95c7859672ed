"""Starts, kills and restarts the controllers of a scenario."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any

from tests.tools.messages import build_frame
from tests.tools.network import Address, Endpoint, Network
from tests.tools.package_under_test import run_controller
from tests.tools.processes import Host, Process
from tests.tools.recording import Recorder

PUBLIC_PORT, FRAME_PORT = 8080, 8081
#: time after which an operator closes the connection of a status request
STATUS_TIMEOUT_S = 3.0


def controller_host(number: int) -> Host:
    """Return the host of a controller."""
    return Host("controller", f"node-{number}", f"10.0.0.{number + 1}")


class Controllers:
    """The controller processes of a scenario."""

    def __init__(
        self,
        network: Network,
        recorder: Recorder,
        settings: list[dict[str, Any]],
        policy_script: pathlib.Path | None,
    ) -> None:
        self._network = network
        self._recorder = recorder
        self._settings = settings
        self._policy_script = policy_script
        self.hosts = [controller_host(number) for number in range(len(settings))]
        self._processes: dict[int, Process] = {}
        #: the tasks of all processes; those of killed processes are kept too, so that no task is
        #: garbage-collected, and its cleanup code run, before the scenario ends
        self._programs: list[asyncio.Task[None]] = []
        for host in self.hosts:
            network.add_host(host)

    @property
    def addresses(self) -> dict[str, Address]:
        """Addresses by node name at which the controllers serve users and agents."""
        return {host.name: (host.address, PUBLIC_PORT) for host in self.hosts}

    def start(self, number: int) -> None:
        """Start a controller, unless it is running."""
        previous = self._processes.get(number)
        if previous is not None and previous.is_alive:
            return
        run = previous.run + 1 if previous is not None else 1
        process = self._processes[number] = Process(self.hosts[number], run)
        self._network.power_on(process.host)
        program = self._network.loop.create_task(
            run_controller(self._settings[number], self._policy_script), context=process.context()
        )
        program.add_done_callback(lambda task: self._record_exit(process, task))
        self._programs.append(program)

    def kill(self, number: int, is_power_loss: bool = False) -> None:
        """Kill a controller; after a power loss, its host does not reset its connections."""
        process = self._processes[number]
        if process.is_alive:
            self._network.kill(process, is_power_loss)

    def kill_and_restart(self, number: int, pause_s: float, is_power_loss: bool = False) -> None:
        """Kill a controller and restart it after a pause."""
        self.kill(number, is_power_loss)
        self._network.loop.call_later(pause_s, self.start, number)

    def kill_all(self) -> None:
        """Kill all controllers."""
        for number in range(len(self.hosts)):
            self.kill(number)

    def request_status(self, number: int) -> None:
        """Request a controller's status, as ``marblestair --status`` does."""
        operator = Host("operator", "operator", "operator")
        self._network.connect(
            operator,
            (self.hosts[number].address, FRAME_PORT),
            asyncio.Protocol,
            self._send_status_request,
            lambda error: None,
        )

    def _send_status_request(self, endpoint: Endpoint) -> None:
        endpoint.write(build_frame(["ask", 1, "status", "status", []]))
        self._network.loop.call_later(STATUS_TIMEOUT_S, endpoint.close)

    def _record_exit(self, process: Process, program: asyncio.Task[None]) -> None:
        """Record that a controller's program ended on its own, which is an error."""
        error = None if program.cancelled() else program.exception()
        self._recorder.on_exit(process, type(error).__name__)
        self._network.kill(process, is_power_loss=False)
