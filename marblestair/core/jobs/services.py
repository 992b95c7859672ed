"""Composes the job components of a node: records, managers, cancels and answers."""

from __future__ import annotations

from marblestair.core.jobs.answers import Answers
from marblestair.core.jobs.cancel_registry import CancelRegistry
from marblestair.core.jobs.cancellations import Cancellations
from marblestair.core.jobs.completion_records import CompletionRecords
from marblestair.core.jobs.dependencies import DependencyGraph
from marblestair.core.jobs.dependency_reads import DependencyReads
from marblestair.core.jobs.final_states import FinalStates
from marblestair.core.jobs.job_managers import JobManagers
from marblestair.core.jobs.lookups import Lookups
from marblestair.core.jobs.managed_job import ManagedJob
from marblestair.core.jobs.manager_steps import ManagerSteps
from marblestair.core.jobs.migration_locks import MigrationLocks
from marblestair.core.jobs.parents import ParentLookup
from marblestair.core.jobs.progress_reports import ProgressReports
from marblestair.core.jobs.record_announcements import RecordAnnouncements
from marblestair.core.jobs.record_reader import RecordReader
from marblestair.core.leadership.services import LeadershipServices
from marblestair.core.runtime.context import NodeContext
from marblestair.core.state.store_view import StoreView


class JobServices:
    """Creates the components of this package for one node, except those for user requests."""

    def __init__(self, context: NodeContext, view: StoreView, leading: LeadershipServices) -> None:
        leadership, connectivity = leading.leadership, leading.connectivity
        self.managed_jobs: dict[str, ManagedJob] = {}
        self.final_states = FinalStates(context, view)
        self.cancels = CancelRegistry(context, view, leadership)
        self.dependencies = DependencyGraph(context, view, self.final_states, self.cancels)
        self.reader = RecordReader(view, connectivity, self.final_states)
        self.dependency_reads = DependencyReads(
            context, view, self.dependencies, self.managed_jobs, self.reader
        )
        self.cancellations = Cancellations(
            context,
            view,
            leadership,
            connectivity,
            self.cancels,
            self.dependencies,
            self.managed_jobs,
            self.reader,
        )
        self.announcements = RecordAnnouncements(context, view)
        self.progress_reports = ProgressReports(context, view, leadership, self.managed_jobs)
        self.migration_locks = MigrationLocks(
            context, view, leadership, self.managed_jobs, self.cancels, self.reader
        )
        self._compose_answers(context, view, leading)
        self._compose_managers(context, view, leading)

    def _compose_answers(
        self, context: NodeContext, view: StoreView, leading: LeadershipServices
    ) -> None:
        settings = context.settings
        requests_per_s = settings.cluster.state.rps / len(settings.nodes)
        self.lookups = Lookups(context.coroutines, requests_per_s)
        self.answers = Answers(
            context,
            view,
            leading.leadership,
            leading.connectivity,
            self.final_states,
            self.cancels,
            self.cancellations,
            self.dependencies,
            self.dependency_reads,
            self.managed_jobs,
            self.reader,
            self.lookups,
        )
        self.parent_lookup = ParentLookup(
            context, view, self.final_states, self.dependencies, self.reader, self.lookups
        )

    def _compose_managers(
        self, context: NodeContext, view: StoreView, leading: LeadershipServices
    ) -> None:
        self.manager_steps = ManagerSteps(view, self.cancellations, self.dependencies)
        self.completion_records = CompletionRecords(
            context, view, leading.leadership, leading.connectivity, self.reader
        )
        self.job_managers = JobManagers(
            context,
            view,
            leading.lease,
            leading.leadership,
            self.managed_jobs,
            self.manager_steps,
            self.progress_reports,
            self.completion_records,
            self.announcements,
            self.final_states,
            self.cancels,
            self.cancellations,
            self.dependencies,
            self.reader,
        )
