"""Which fronts of the tier are alive, and how sure that is: the judgement, without I/O or clock.

Uses the types of `wire.peers`; is told datagrams, turns and facts by `carrier.members`; tells a `View` to
whoever counts fronts. Never sends by itself, never decides on batches. Read `judge.Judge` first; the ways
weighed are in `docs/membership.md`.
"""
