"""Value types of the scheduler: jobs, machines, agents, settings and resource amounts."""
