"""The distributor: a process that holds the whole engine list and tells each front the part that it needs.

For: the control tier between whoever publishes the list and the fronts. Uses `distribution` and
`subsetting` for all that is decided, Tornado for HTTP. Never takes a query, and is never imported by a
front.
"""
