"""A simulated deployment: controllers, store, cloud, agents and users.

Time is simulated and all randomness comes from one seeded generator, so each run of a test is the
same. The invariants that users rely on are checked all the time; ``rules.violations`` lists each
breach.
"""

from __future__ import annotations

import collections
import itertools
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from marblestair import settings as st
from marblestair.core.runtime.outbox import LogLine
from tests.fakes.agent import FakeAgent
from tests.fakes.agent_link import AgentLink
from tests.fakes.cloud import FakeCloud
from tests.fakes.event_queue import EventQueue
from tests.fakes.network import CLOUD, STORE, USERS, SimulatedNetwork
from tests.fakes.nodes import SimulatedNodes
from tests.fakes.peer_link import PeerLink
from tests.fakes.rules import RuleChecker
from tests.fakes.store import FakeStore
from tests.fakes.store_link import StoreLink
from tests.fakes.tasks import TaskHistory
from tests.fakes.users import SimulatedUsers

#: number of the latest log lines that are kept
MAX_LOG_LINES = 20_000


class LoggedLine(NamedTuple):
    """A line of a controller's log."""

    at: float
    node: str
    text: str


class SimulatedDeployment:
    """Runs controllers in a simulated environment and checks their invariants."""

    def __init__(
        self, seed: int = 1, nodes: int = 3, *, in_production: bool = False, **cluster: Any
    ) -> None:
        self.rng = random.Random(seed)
        self._events = EventQueue()
        #: numbers of the requests between controllers and from users, in one sequence
        self.request_numbers = itertools.count(1)
        self.agents: dict[str, FakeAgent] = {}
        #: the latest log lines of all controllers
        self.log: collections.deque[LoggedLine] = collections.deque(maxlen=MAX_LOG_LINES)
        self.network = SimulatedNetwork(self._events, self.rng, self._hosts)
        self.nodes = SimulatedNodes(self, nodes, in_production, **cluster)
        self.store = FakeStore(self._events)
        self.store.set_limits(self.nodes.raw_settings["cluster"]["state"])
        self.cloud = FakeCloud(self)
        self.store_link = StoreLink(self)
        self.agent_link = AgentLink(self)
        self.peer_link = PeerLink(self)
        self.tasks = TaskHistory(self.rng, self._events)
        self.rules = RuleChecker(self)
        self.users = SimulatedUsers(self)
        for name in self.nodes.names:
            self.nodes.start(name)
        self.rules.check()

    @property
    def cluster(self) -> st.Cluster:
        """The cluster settings, which all nodes share."""
        return self.nodes.settings[0].cluster

    @property
    def agent_settings(self) -> st.Workers:
        """The agents' timing settings."""
        return self.cluster.workers

    @property
    def lease_s(self) -> float:
        """Duration of an agent's lease."""
        return self.agent_settings.lease_s

    @property
    def cancel_s(self) -> float:
        """Time within which the tasks of a cancelled job must end."""
        return self.agent_settings.cancel_s

    @property
    def now(self) -> float:
        """Seconds since the start of the deployment."""
        return self._events.now

    def schedule(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedule an action after a delay."""
        self._events.schedule(delay_s, action)

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        self._events.run(seconds)

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Advance the time until a condition holds or the timeout; return whether it holds."""
        return self._events.run_until(condition, timeout_s)

    def _hosts(self) -> list[str]:
        return [*self.nodes.names, *self.agents, STORE, CLOUD, USERS]

    @property
    def serving_agents(self) -> list[FakeAgent]:
        """The agents whose machines have booted and are not released."""
        return [agent for agent in self.agents.values() if agent.is_serving]

    @property
    def busy_agents(self) -> list[FakeAgent]:
        """The serving agents that have live tasks."""
        return [agent for agent in self.serving_agents if agent.live_tasks]

    def append_log(self, node: str, lines: list[LogLine]) -> None:
        """Keep a controller's log lines; fail on a line of level error."""
        errors = [line.text for line in lines if line.level == "error"]
        assert not errors, errors
        self.log += [LoggedLine(self.now, node, line.text) for line in lines]

    def logged(self, *words: str) -> list[LoggedLine]:
        """Return the log lines that contain all the given words."""
        return [line for line in self.log if all(word in line.text for word in words)]

    def end_failures(self) -> None:
        """End all injected failures and start the controllers that are not running."""
        self.network.heal()
        self.store.refused_nodes.clear()
        if self.store.is_down:
            self.store.end_outage()
        self.cloud.is_down = False
        self.store_link.end_failures()
        self.agent_link.end_failures()
        for agent in self.agents.values():
            agent.end_failures()
        for name in self.nodes.names:
            if self.nodes.controllers[name] is None:
                self.nodes.start(name)
        self.rules.failures_ended_at = self.now
