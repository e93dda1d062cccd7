"""Rigs: each plays a seed's scenario with its faults on loopback, compares the books of both far sides, and
ends by itself with one JSON line: `python -m rigs.NAME --seed S`."""
