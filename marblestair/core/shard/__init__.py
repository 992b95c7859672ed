"""One shard under one term: its machines, slices, heartbeats and their reconciliation."""
