"""The users of a simulated deployment: requests, retries, and the replies."""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Literal, TypeAlias

from marblestair.core.domain.jobs import JobSpec
from marblestair.core.runtime.outbox import UserReply
from tests.fakes.production import ProductionController
from tests.fakes.samples import job_spec

if TYPE_CHECKING:
    from tests.fakes.simulated_deployment import SimulatedDeployment

#: request of a user, by the name of the controller's method
UserRequest: TypeAlias = Literal["submit", "query", "cancel"]

#: how long a user waits for a reply, and for the state of a job
REPLY_TIMEOUT_S, QUERY_TIMEOUT_S = 5.0, 2.0
#: pause between two tries
RETRY_PAUSE_S = 1.0
#: tries after which a user gives up
MAX_SUBMISSIONS, MAX_CANCELS = 40, 60
#: statuses after which a submission is not repeated
FINAL_SUBMISSION_STATUSES = (200, 201, 400, 422)


class SimulatedUsers:
    """Sends users' requests to the nodes, and has the checker judge each reply."""

    def __init__(self, deployment: SimulatedDeployment) -> None:
        self._deployment = deployment
        self._pending: dict[int, Callable[[UserReply], None]] = {}

    def receive(self, replies: list[UserReply]) -> None:
        """Take the replies of a controller."""
        for reply in replies:
            receive = self._pending.pop(reply.request_id, None)
            if receive is not None:
                receive(reply)

    def request(self, node: str, kind: UserRequest, argument: JobSpec | str) -> list[UserReply]:
        """Send one request to a node; the list that is returned gets the reply.

        A submission takes the description of the job, the other requests take its id.
        """
        deployment = self._deployment
        replies: list[UserReply] = []
        if isinstance(argument, JobSpec):
            deployment.tasks.specs.setdefault(argument.id, argument)
        elif kind == "cancel":
            deployment.rules.cancel_requested.add(argument)
        controller = deployment.nodes.controllers.get(node)
        if controller is None:
            return replies
        number = next(deployment.request_numbers)

        def receive(reply: UserReply) -> None:
            replies.append(reply)
            deployment.rules.check_reply(kind, argument, reply, number)

        self._pending[number] = receive

        def deliver() -> None:
            nodes = deployment.nodes
            if nodes.controllers.get(node) is controller and not nodes.defer_while_frozen(
                node, deliver
            ):
                nodes.set_time(controller)
                if isinstance(controller, ProductionController):
                    controller.request(kind, number, argument)
                else:
                    handle = getattr(controller.user_requests, kind)
                    controller.context.spawn(handle(number, argument))
                nodes.flush(node)

        deliver()
        return replies

    def _choose_node(self) -> str:
        """A node whose controller runs, or any if none does."""
        nodes = self._deployment.nodes
        return self._deployment.rng.choice(nodes.running_names or nodes.names)

    def submit(self, spec: JobSpec, node: str | None = None) -> str:
        """Submit a job, with retries, until it is accepted or refused for good; its id."""
        deployment = self._deployment
        for _ in range(MAX_SUBMISSIONS):
            replies = self.request(node or self._choose_node(), "submit", spec)
            deployment.run_until(functools.partial(bool, replies), REPLY_TIMEOUT_S)
            if replies and replies[0].status in FINAL_SUBMISSION_STATUSES:
                return spec.id
            deployment.run(RETRY_PAUSE_S)
        raise AssertionError(f"{spec.id} was not accepted")

    def submit_many(self, numbers: Iterable[int], **changes: Any) -> list[str]:
        """Submit jobs that differ only in their numbers, one after another; their ids."""
        return [self.submit(job_spec(number, **changes)) for number in numbers]

    def cancel(self, job: str) -> str:
        """Cancel a job, with retries, until a state is answered; that state."""
        deployment = self._deployment
        for _ in range(MAX_CANCELS):
            replies = self.request(self._choose_node(), "cancel", job)
            deployment.run_until(functools.partial(bool, replies), REPLY_TIMEOUT_S)
            if replies and replies[0].status == 200:
                return replies[0].state
            deployment.run(RETRY_PAUSE_S)
        raise AssertionError(f"{job} was not cancelled")

    def cancel_once(self, job: str) -> None:
        """Ask one node that runs for a cancel, and do not wait for the reply."""
        self._deployment.rules.cancel_requested.add(job)
        for node in self._deployment.nodes.running_names[:1]:
            self.request(node, "cancel", job)

    def state_of(self, job: str, node: str | None = None) -> str:
        """Poll once; the state, or '' when none was answered."""
        replies = self.request(node or self._choose_node(), "query", job)
        self._deployment.run_until(lambda: bool(replies), QUERY_TIMEOUT_S)
        return replies[0].state if replies and replies[0].status == 200 else ""

    def wait_until_done(self, job: str, timeout_s: float) -> bool:
        """Poll until a job is done; whether it is."""
        deployment = self._deployment
        end = deployment.now + timeout_s
        while deployment.now < end:
            if self.state_of(job) == "done":
                return True
            deployment.run(RETRY_PAUSE_S)
        return False

    def unanswered_jobs(self, timeout_s: float = 75.0) -> list[str]:
        """Accepted jobs whose state no node answers within the time, each asked for by itself."""
        deployment = self._deployment
        jobs = list(deployment.rules.accepted_at)
        end = deployment.now + timeout_s
        while jobs and deployment.now < end:
            names = deployment.nodes.names
            replies = {
                job: self.request(deployment.rng.choice(names), "query", job) for job in jobs
            }
            deployment.run(QUERY_TIMEOUT_S)
            jobs = [job for job in jobs if not (replies[job] and replies[job][0].status == 200)]
        return jobs
