"""The job lifecycle: submission, management, cancellation, dependencies, status, completion."""
