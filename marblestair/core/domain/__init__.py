"""Plain values of the scheduler: jobs, machines, agents, amounts. No state, no I/O."""
