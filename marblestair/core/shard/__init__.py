"""One shard led under one term: its machines, slices, heartbeats, commands and leases."""
