"""Who leads which shard: leases, fencing, failover, leadership transfer and promises."""
