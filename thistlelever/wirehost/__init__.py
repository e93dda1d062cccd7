"""Runs fronts behind the benchmark's binary protocol: codec, settings and host loop, but no decisions."""
