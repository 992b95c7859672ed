"""Scheduling of pending tasks: order, placement, preemption, quota, and transfers of machines."""
