"""What is assumed of the clocks of machines."""

#: allowance for clocks that run at different speeds, as a fraction of the time that is counted
MAX_CLOCK_DRIFT_FRACTION = 0.002
