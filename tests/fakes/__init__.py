"""Fakes of everything around the controllers' cores, and the checks of the invariants."""
