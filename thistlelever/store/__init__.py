"""What a front keeps in memory: open batches, connections, the list of engines, counters."""
