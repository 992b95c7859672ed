"""One shard under one term: its machines, slices, heartbeats, commands and leases."""
