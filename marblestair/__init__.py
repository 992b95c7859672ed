"""marblestair: a cluster scheduler with distributed control."""

__version__ = "0.1.0"
