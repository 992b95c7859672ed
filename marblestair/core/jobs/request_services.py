"""Composes the components that handle the requests of users."""

from __future__ import annotations

from collections.abc import Container

from marblestair.core.jobs.acceptance import Acceptance, SliceAssignment
from marblestair.core.jobs.services import JobServices
from marblestair.core.jobs.user_requests import UserRequests
from marblestair.core.leadership.services import LeadershipServices
from marblestair.core.messaging.received_summaries import ReceivedSummaries
from marblestair.core.runtime.context import NodeContext
from marblestair.core.state.machine_catalog import MachineCatalog
from marblestair.core.state.store_view import StoreView


def compose_user_requests(  # noqa: PLR0913 - collaborators of two components
    context: NodeContext,
    view: StoreView,
    leading: LeadershipServices,
    jobs: JobServices,
    catalog: MachineCatalog,
    summaries: ReceivedSummaries,
    assignment: SliceAssignment,
    guaranteed_jobs: Container[str],
) -> UserRequests:
    """Return a new handler of user requests with a new ``Acceptance``."""
    acceptance = Acceptance(
        context,
        view,
        leading.leadership,
        catalog,
        summaries,
        assignment,
        guaranteed_jobs,
        jobs.final_states,
        jobs.answers,
        jobs.parent_lookup,
        jobs.announcements,
    )
    return UserRequests(
        context,
        view,
        leading.leadership,
        leading.connectivity,
        acceptance,
        jobs.answers,
        jobs.final_states,
        jobs.cancels,
        jobs.cancellations,
        jobs.job_managers,
        jobs.reader,
    )
