"""Which fronts of the tier are alive, and how sure that is: SWIM with Lifeguard, without I/O or clock.

Uses the types of `wire.peers`; is handed datagrams, turns and facts by `carrier.members`; gives a `View` to
whoever counts fronts. Never sends by itself, never decides on queries. Read `judge.Judge` first, which puts
the parts together; the alternatives weighed are in `docs/membership.md`.
"""
