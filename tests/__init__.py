"""Tests of each package, scenarios across packages, and their fakes and tools."""
