"""Which engines a front holds, where there are too many for each front to hold all: the policy, without I/O
or clock. Chance comes from CRC-32 over names, so that every process computes the same subsets.
"""
