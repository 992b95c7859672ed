"""What the core runs on: coroutines that wait for outside answers, their requests, and outputs."""
