"""Decides which front owns a batch, and which front takes it over when its owner is lost.

Provides: replicated records of open batches, kept by a few other fronts; who may dispatch, answer and
cancel a batch at any moment; what the successor of a lost front does with its batches. Depends on: the
messages of `wire.work`; the liveness of fronts, the time and the random seed are arguments. Does no I/O,
reads no clock and sends no dispatch; the choice of the engine is that of `admission`.
"""
