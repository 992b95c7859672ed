"""Tests by package, scenarios across packages, and the environment that they run in."""
