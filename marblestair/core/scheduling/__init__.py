"""Scheduling of pending tasks: order, placement, preemption, and transfers between shards."""
