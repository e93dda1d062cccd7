"""State that a front keeps for clients between their calls: tickets, prepared statements and sessions.

No I/O and no clock: callers pass the time in. All containers here are bounded in size.
"""
