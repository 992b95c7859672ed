"""The simulated environment of the controllers: everything around their cores, and the checks."""
