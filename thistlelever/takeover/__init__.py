"""Who owns which work, and who takes it over when its front is lost.

For: records of batches in hand, kept by a few other fronts; who may dispatch, answer and call off at every
moment; what an heir does with the work of the dead. Uses: the words of `wire.work`, which fronts are alive,
time and seed handed in. Never: I/O, a clock, a dispatch; which engine a batch goes to is decided as ever.
"""
