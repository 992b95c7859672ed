"""Runtime of the core: coroutines, the requests that they make, and the outputs of a node."""
