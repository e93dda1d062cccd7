"""Versioned distribution of the engine list from a publisher, through distributors, to the fronts.

This package holds the policy: it does no I/O, reads no clock and decides on no query. Besides msgspec (in
`codec`) it uses only the standard library. `versions` orders the versions, `records` defines the distributed
content, `messages` the updates between two parties, `replica` holds the content of one version, `publisher`
creates versions from input that `validation` accepts, `claim` decides who may publish, `election` when a
distributor claims that role by itself, `history` keeps the latest changes, `views` and `reconnect` compute
the update for one front, `failover` picks the distributor that a client asks, and `codec` encodes the
protocol. The alternatives considered are described in `docs/distribution.md`.
"""
