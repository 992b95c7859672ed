"""Autoscaling of the fleet: planning, rental and release of machines, and handling of lost ones."""
