"""Use of stored engine records after a restart, while discovery is unavailable.

Computes the ages of records as ranges from two clocks, grades records by age, and decides which engines are
used at once, probed first or probed last. Works on its arguments only: no I/O, no clock, and no decisions on
batches.
"""
