"""Which task starts where: order, placement, preemption, quota, and moves between shards."""
