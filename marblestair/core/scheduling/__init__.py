"""Scheduling: scheduling order, placement, preemption, quota, and transfers between shards."""
