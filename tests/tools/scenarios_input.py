"""Scenarios with invalid input, and with more clients than a controller accepts."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

from tests.tools import bad_input
from tests.tools.bad_input import RawClients
from tests.tools.controllers import FRAME_PORT
from tests.tools.deployment import Deployment
from tests.tools.http_service import get, post
from tests.tools.messages import build_frame
from tests.tools.network import Address
from tests.tools.scenarios_jobs import submit_mix
from tests.tools.workload import job_id, job_submission

#: start and duration of an outage of the store, after its malformed answers
OUTAGE_START_S, OUTAGE_S = 70.0, 14.0


def bad_input_everywhere(deployment: Deployment) -> None:
    """Malformed requests, heartbeats, frames and answers, and jobs that can never run."""
    submit_mix(deployment, 20, 70.0, first_number=0)
    raw_clients = RawClients(deployment.network)
    public_addresses = list(deployment.controllers.addresses.values())
    peer_addresses = [(host.address, FRAME_PORT) for host in deployment.controllers.hosts]
    requests = bad_input.unusual_requests()
    requests += [(x,) for x in bad_input.malformed_submissions()]
    requests += [(x,) for x in bad_input.malformed_reports()]
    for number, chunks in enumerate(requests):
        at_s = 8.0 + 0.4 * number
        deployment.at(
            at_s,
            partial(raw_clients.send, public_addresses[number % len(public_addresses)], *chunks),
        )
    for number, frame in enumerate(bad_input.malformed_frames()):
        at_s = 8.0 + 0.7 * number
        deployment.at(at_s, raw_clients.send, peer_addresses[number % len(peer_addresses)], frame)
    for number, description in enumerate(bad_input.impossible_jobs(900)):
        deployment.at(0.5 + number, deployment.users.submit, description)
    _send_malformed_answers(deployment)
    _request_promises(deployment, raw_clients, peer_addresses)


def _request_promises(
    deployment: Deployment, raw_clients: RawClients, addresses: list[Address]
) -> None:
    """Request promises during a store outage, in the name of an unknown controller incarnation."""
    store = deployment.store
    deployment.at(OUTAGE_START_S, store.begin_outage)
    deployment.at(OUTAGE_START_S + OUTAGE_S, store.end_outage)
    for number, address in enumerate(addresses):
        frame = build_frame(["ask", 1, "node-0", "promise", ["node-0", 7, 10**6]])
        deployment.at(OUTAGE_START_S + OUTAGE_S / 2 + number, raw_clients.send, address, frame)


def _send_malformed_answers(deployment: Deployment) -> None:
    """Let the store, the cloud and some agents send malformed answers for a time."""

    def set_malformed_share(share: float) -> None:
        store, cloud = deployment.store, deployment.cloud
        store.faults = replace(store.faults, malformed_answers=share)
        cloud.faults = replace(cloud.faults, malformed_answers=share)
        for agent in deployment.random_agents(3):
            agent.sends_malformed_answers = share > 0

    deployment.at(40.0, set_malformed_share, 0.15)
    deployment.at(60.0, set_malformed_share, 0.0)


def overload(deployment: Deployment) -> None:
    """Bursts of submissions and status queries, and more connections than are accepted."""
    submit_mix(deployment, 10, 50.0)
    raw_clients = RawClients(deployment.network)
    public_addresses = list(deployment.controllers.addresses.values())
    for number in range(250):
        at_s = 10.0 + 0.004 * number
        description = job_submission(1000 + number, pieces=1, expected_s=1.0)
        deployment.at(at_s, deployment.users.submit, description)
    for number in range(300):
        query = get(f"/v1/jobs/{job_id(5000 + number % 90)}")
        address = public_addresses[number % len(public_addresses)]
        deployment.at(25.0 + 0.002 * number, raw_clients.send, address, query)
    for number in range(100 * len(public_addresses)):
        address = public_addresses[number % len(public_addresses)]
        open_idle = partial(raw_clients.send, address, get("/healthz"), hold_s=20.0)
        deployment.at(35.0 + 0.003 * number, open_idle)
    for number in range(20):
        submission = post("/v1/jobs", job_submission(2000 + number, pieces=1))
        deployment.at(38.0 + 0.1 * number, raw_clients.send, public_addresses[0], submission)
