"""How far what a former life knew is to be trusted, and in which order a start goes by it.

For: ages as ranges of two clocks, grades of trust, which engines are used at once, asked first or left for
the last. Uses: facts handed in. Never: I/O, a clock, a decision on a batch.
"""
