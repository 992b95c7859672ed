"""Simulated users, who submit, poll and withdraw jobs through a load balancer."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from tests.tools.http_service import HttpCaller, get, post
from tests.tools.messages import HttpMessage, unpack
from tests.tools.network import Address, Network
from tests.tools.processes import Host
from tests.tools.workload import Job, Workload

SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S, PROBE_TIMEOUT_S = 5.0, 2.0, 1.0
POLL_INTERVAL_S, PROBE_INTERVAL_S = 5.0, 1.0
#: minimum delay before a request is retried, and the period within which it is retried
MIN_RETRY_DELAY_S, MAX_RETRY_PERIOD_S = 1.0, 60.0
#: number of consecutive failed probes after which a controller is considered unhealthy
UNHEALTHY_AFTER_PROBES = 2
#: delays after which a user polls again once the job has ended
QUERIES_AFTER_END_S = (1.0, 9.0, 40.0)
#: share of the requests that ask the controller to close the connection
CONNECTION_CLOSE_SHARE = 0.3
FINAL_STATES = ("done", "aborted")
NOT_RETRIED_STATUSES = (400, 422)


class LoadBalancer:
    """Probes the controllers and chooses a healthy one for each request."""

    def __init__(self, network: Network, controllers: list[Address], seed: str) -> None:
        self._network = network
        self._random = random.Random(f"{seed}/balancer")
        self._failures = dict.fromkeys(controllers, UNHEALTHY_AFTER_PROBES)
        host = Host("balancer", "balancer", "balancer")
        self._callers = {address: HttpCaller(network, host) for address in controllers}
        for address in controllers:
            network.loop.call_later(self._random.random(), self._probe, address)

    def choose(self) -> Address:
        """Return a random healthy controller, or any controller if none is healthy."""
        healthy = [x for x, failures in self._failures.items() if failures < UNHEALTHY_AFTER_PROBES]
        return self._random.choice(healthy or list(self._failures))

    def _probe(self, address: Address) -> None:
        caller = self._callers[address]
        caller.request(
            address,
            get("/healthz"),
            PROBE_TIMEOUT_S,
            lambda status, answer: self._handle_probe(address, status),
        )

    def _handle_probe(self, address: Address, status: int) -> None:
        self._failures[address] = 0 if status == 200 else self._failures[address] + 1
        self._network.loop.call_later(PROBE_INTERVAL_S, self._probe, address)


@dataclass(frozen=True)
class UserPlan:
    """A user's actions besides submitting and polling; times are from the first submission."""

    withdraw_after_s: float | None = None
    #: withdraw the job when a poll reports it as running with at least so many tasks done
    withdraw_at_done: int | None = None
    submit_again_after_s: float | None = None


class User:
    """A user who submits one job and polls it until it ends."""

    def __init__(
        self, network: Network, balancer: LoadBalancer, job: Job, plan: UserPlan, seed: str
    ) -> None:
        self._network = network
        self._loop = network.loop
        self._balancer = balancer
        self._job = job
        self._plan = plan
        self._random = random.Random(f"{seed}/user/{job.name}")
        self._host = Host("user", job.name, f"user of {job.name}")
        self._path = f"/v1/jobs/{job.name}"
        self._poll_caller = HttpCaller(network, self._host)
        self._start_s = self._loop.time()
        self._is_withdrawing = False
        #: last reported status; '' before the job was accepted
        self.status = ""
        self._submit(self._loop.time())
        if plan.withdraw_after_s is not None:
            self._loop.call_later(plan.withdraw_after_s, self._withdraw, None)
        if plan.submit_again_after_s is not None:
            self._loop.call_later(plan.submit_again_after_s, self._submit_again)

    # requests

    def _send(self, request: bytes, timeout_s: float, on_answer: Any) -> None:
        """Send a request on a connection of its own."""
        caller = HttpCaller(self._network, self._host)

        def close_and_forward(status: int, answer: HttpMessage | None) -> None:
            caller.close()
            on_answer(status, answer)

        caller.request(self._balancer.choose(), request, timeout_s, close_and_forward)

    def _random_connection_close(self) -> bool:
        return self._random.random() < CONNECTION_CLOSE_SHARE

    def _submit(self, first_sent_s: float) -> None:
        request = post("/v1/jobs", self._job.description, self._random_connection_close())
        self._send(
            request,
            SUBMIT_TIMEOUT_S,
            lambda status, answer: self._handle_submission(status, answer, first_sent_s),
        )

    def _handle_submission(
        self, status: int, answer: HttpMessage | None, first_sent_s: float
    ) -> None:
        if status in (200, 201):
            self._record_status(answer)
            self._loop.call_later(self._random.uniform(0.1, POLL_INTERVAL_S), self._poll)
        elif (
            status not in NOT_RETRIED_STATUSES
            and self._loop.time() - first_sent_s < MAX_RETRY_PERIOD_S
        ):
            self._loop.call_later(self._retry_delay_s(answer), self._submit, first_sent_s)

    def _retry_delay_s(self, answer: HttpMessage | None) -> float:
        """Return the delay before a retry, at least that of the answer's Retry-After header."""
        retry_after_s = answer.headers.get("retry-after", "0") if answer is not None else "0"
        return max(MIN_RETRY_DELAY_S, float(retry_after_s)) + self._random.random()

    def _submit_again(self) -> None:
        self._send(
            post("/v1/jobs", self._job.description),
            SUBMIT_TIMEOUT_S,
            lambda status, answer: self._record_status(answer) if status in (200, 201) else None,
        )

    def _poll(self) -> None:
        if self._poll_caller.is_busy:
            return
        self._poll_caller.request(
            self._balancer.choose(),
            get(self._path, self._random_connection_close()),
            POLL_TIMEOUT_S,
            self._handle_poll,
        )

    def _handle_poll(self, status: int, answer: HttpMessage | None) -> None:
        had_ended = self.status in FINAL_STATES
        if status == 200:
            self._record_status(answer)
        if self.status not in FINAL_STATES:
            self._loop.call_later(POLL_INTERVAL_S * self._random.uniform(0.9, 1.1), self._poll)
        elif not had_ended:
            for pause_s in QUERIES_AFTER_END_S:
                self._loop.call_later(pause_s, self._poll)
            self._loop.call_later(QUERIES_AFTER_END_S[0], self._submit_again)

    def _withdraw(self, first_sent_s: float | None) -> None:
        first_sent_s = self._loop.time() if first_sent_s is None else first_sent_s
        self._is_withdrawing = True
        self._send(
            post(f"{self._path}/withdraw", {}),
            SUBMIT_TIMEOUT_S,
            lambda status, answer: self._handle_withdrawal(status, answer, first_sent_s),
        )

    def _handle_withdrawal(
        self, status: int, answer: HttpMessage | None, first_sent_s: float
    ) -> None:
        if status == 200:
            self._record_status(answer)
        elif status not in (400, 404) and self._loop.time() - first_sent_s < MAX_RETRY_PERIOD_S:
            self._loop.call_later(self._retry_delay_s(answer), self._withdraw, first_sent_s)

    def _record_status(self, answer: HttpMessage | None) -> None:
        """Store the reported status; withdraw the job if ``withdraw_at_done`` is reached."""
        body = unpack(answer.body) if answer is not None else None
        if not isinstance(body, dict):
            return
        self.status = body.get("status", "")
        done = body.get("done")
        withdraw_at_done = self._plan.withdraw_at_done
        if withdraw_at_done is not None and done is not None and not self._is_withdrawing:
            if done >= withdraw_at_done and self.status == "running":
                self._withdraw(None)


class Users:
    """All users of a scenario and their load balancer."""

    def __init__(
        self, network: Network, workload: Workload, controllers: list[Address], seed: str
    ) -> None:
        self._network = network
        self._workload = workload
        self._seed = seed
        self.balancer = LoadBalancer(network, controllers, seed)
        self.users: dict[str, User] = {}

    def submit(self, description: dict[str, Any], plan: UserPlan | None = None) -> None:
        """Submit a job now, and poll it until it ends."""
        job = self._workload.add(description)
        self.users[job.name] = User(
            self._network, self.balancer, job, plan or UserPlan(), self._seed
        )

    def send_get(self, path: str) -> None:
        """Send one GET request that belongs to no user's job."""
        caller = HttpCaller(self._network, Host("user", "stranger", "stranger"))
        caller.request(
            self.balancer.choose(),
            get(path),
            POLL_TIMEOUT_S,
            lambda status, answer: caller.close(),
        )
