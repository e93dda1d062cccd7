"""Versioned distribution of the engine list from a publisher, through distributors, to the fronts: the
policy, without I/O or clock.

Uses nothing but the standard library. Never opens a connection, never reads a clock, never decides on a
query. `versions` orders the versions, `records` is what is distributed, `messages` is what passes between
two parties, `replica` holds the content of one version, `publisher` makes versions of what `validation`
lets pass, `claim` says who may publish, `history` keeps the last changes, `views` says what one front is
told. The ways weighed are in `docs/distribution.md`.
"""
