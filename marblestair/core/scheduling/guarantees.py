"""Which jobs fit into the guaranteed quota of their teams."""

from __future__ import annotations

from marblestair.core.runtime.context import NodeContext
from marblestair.core.scheduling.quota import jobs_within_guarantee
from marblestair.core.shard.failures import FailureAttribution
from marblestair.core.state.store_view import StoreView


class Guarantees:
    """The jobs within their teams' guarantees, as one node's view has them."""

    def __init__(self, context: NodeContext, view: StoreView, failures: FailureAttribution) -> None:
        self._context = context
        self._view = view
        self._failures = failures
        self.jobs: set[str] = set()

    def __contains__(self, job: object) -> bool:
        """Whether a job is within its team's guarantee."""
        return job in self.jobs

    def update(self) -> None:
        """Find them anew."""
        self.jobs = jobs_within_guarantee(
            self._view.jobs, self._context.teams, self._failures.is_quarantined
        )
