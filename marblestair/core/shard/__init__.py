"""A shard that this node leads under one term: machines, slices, heartbeats, commands, leases."""
