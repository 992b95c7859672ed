"""Late copies of start commands start nothing twice, and nothing after a cancel.

A start reaches a machine on one path only, the response to its heartbeat:

- The first response with the command. It may be up to four seconds late; after that, the agent no
  longer waits for it.
- A copy of that response. The agent takes a response only for the heartbeat that is in flight, so
  it drops the copy, like a response to a heartbeat of an earlier incarnation.
- A repeat of the command under the same attempt, in the response to a heartbeat that is newer than
  the first response and does not list the attempt. None follows a command that removes the attempt
  from the machine's list.
- A repeated heartbeat, at the same or another controller. Its response goes to nobody who waits.
- Direct commands, which an agent carries out whenever token and incarnation match, also late and
  more than once. They never start a task (the simulated agent asserts it).

The tests drive all of these through returns of controllers and machines within a second, also of
machines that count anew, through attempts that move to other machines, and through cancels.
"""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple

import pytest

from marblestair.core.domain.agents import CommandVerb
from tests.fakes.nodes import OutputKind
from tests.fakes.simulated_deployment import SimulatedDeployment
from tests.helpers import START_UP_S
from tests.scenarios.test_drawn_failures import random_job

#: ratio of messages that are copied, and of responses that arrive late
COPY_RATIO, LATE_RESPONSE_RATIO = 0.5, 0.05
#: bound of the time in which a controller or a machine returns
MAX_RETURN_S = 0.9
#: number of jobs of a drawn run
JOBS = 16


class Attempt(NamedTuple):
    """An attempt of a task."""

    job: str
    task_index: int
    attempt: int


class LateStarts:
    """Runs one deployment with copies of all messages between agents and controllers."""

    def __init__(self, seed: int) -> None:
        self.deployment = deployment = SimulatedDeployment(seed)
        self.rng = deployment.rng
        #: number of start commands for each attempt, in the responses of all controllers
        self.starts: Counter[Attempt] = Counter()
        #: attempts that a response removed from a machine's list, and those started after that
        self.forgotten: set[Attempt] = set()
        self.started_again: set[Attempt] = set()
        deployment.nodes.on_output = self._record_output
        deployment.agent_link.duplicate_ratio = 0.2
        deployment.agent_link.copy_ratio = COPY_RATIO
        deployment.agent_link.late_response_ratio = LATE_RESPONSE_RATIO
        deployment.run(START_UP_S)

    def _record_output(self, kind: OutputKind, node: str, value: Any) -> None:
        if kind is not OutputKind.HEARTBEAT_RESPONSE:
            return
        for command in value.commands:
            attempt = Attempt(command.job, command.index, command.attempt)
            if command.verb == CommandVerb.FORGET:
                self.forgotten.add(attempt)
            elif command.verb == CommandVerb.START:
                self.starts[attempt] += 1
                if attempt in self.forgotten:
                    self.started_again.add(attempt)

    def run(self) -> None:
        """Submit jobs, and inject a random event after each; then wait for the jobs' end."""
        deployment, rng = self.deployment, self.rng
        jobs: list[str] = []
        for number in range(1, JOBS + 1):
            jobs.append(deployment.users.submit(random_job(deployment, number)))
            deployment.run(rng.uniform(0.2, 5.0))
            self._inject(jobs)
        deployment.run(rng.uniform(0.0, 2.0 * deployment.lease_s))
        deployment.end_failures()
        for job in jobs:
            if job not in deployment.rules.cancel_requested:
                assert deployment.users.wait_until_done(job, 600.0), job
        deployment.run(2.0 * deployment.cancel_s)

    def _inject(self, jobs: list[str]) -> None:
        """Return a controller or a machine, move attempts to other machines, or cancel a job."""
        deployment, rng = self.deployment, self.rng
        nodes, agents = deployment.nodes, deployment.busy_agents
        event = rng.choice(["controller", "controllers", "machine", "reboot", "move", "cancel"])
        if event == "controller":
            nodes.kill(rng.choice(nodes.names), rng.uniform(0.05, MAX_RETURN_S))
        elif event == "controllers":
            nodes.kill_all(rng.uniform(0.05, MAX_RETURN_S))
        elif event == "cancel":
            job = rng.choice(jobs)
            deployment.users.request(rng.choice(nodes.names), "cancel", job)
        elif agents:
            agent = rng.choice(agents)
            if event == "machine":
                agent.restart()
            elif event == "reboot":
                agent.reboot()
            else:
                # The lease may expire before the machine goes on, so that its tasks move.
                agent.hang(rng.uniform(0.5, 1.5) * deployment.lease_s)
            if rng.random() < 0.5:
                deployment.schedule(
                    rng.uniform(0.0, 1.0),
                    lambda: nodes.kill(rng.choice(nodes.names), rng.uniform(0.05, MAX_RETURN_S)),
                )


@pytest.mark.parametrize("seed", range(700, 732))
def test_copies_of_start_commands_start_nothing_twice_and_nothing_cancelled(seed: int) -> None:
    """Guards against a late copy that lets a task run twice, or start after its cancel."""
    late_starts = LateStarts(seed)
    late_starts.run()
    assert late_starts.deployment.agent_link.copied_starts > 10
    assert late_starts.starts
    assert late_starts.forgotten
    assert not late_starts.started_again
    assert not late_starts.deployment.rules.violations
