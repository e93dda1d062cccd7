"""Group membership and failure detection among the fronts of a tier: SWIM with Lifeguard's extensions.

Pure state machines without I/O or clock. `carrier.members` hands in messages (types of `wire.peers`), ticks
and settings, sends the messages that come back, and passes the resulting `View` on. Nothing here sends by
itself or decides on queries. `failure_detector.FailureDetector` is the entry point that composes the parts;
`docs/membership.md` compares the alternatives.
"""
