"""Shard leadership: leases, fencing, failover, leadership transfer and promises."""
