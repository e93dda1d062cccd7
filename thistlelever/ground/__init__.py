"""Shared foundations, imported by all other packages: types, configuration, clock, log and counters."""
