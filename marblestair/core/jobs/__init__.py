"""The life of a job: submission, its manager, cancellation, dependencies, answers and its end."""
