"""Assumption about the clocks of machines on which leases and promises rely."""

#: maximum difference between the rates of two machines' clocks, as a fraction of a duration
MAX_CLOCK_DRIFT_FRACTION = 0.002
