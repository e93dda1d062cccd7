"""Hierarchical fair queueing of batches by team, and estimates of how long a batch will wait.

Runs before the admission decisions, which still choose engines, further dispatches and refusals. Does no I/O
and reads no clock: times and facts are arguments, commands are results. The entry point is
`fair_queue.FairQueue`.
"""
