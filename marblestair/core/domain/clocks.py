"""Leases and promises rely on this assumption about the clocks of the machines."""

#: maximum difference between the rates of two machines' clocks, as a fraction of a duration
MAX_CLOCK_DRIFT_FRACTION = 0.002
