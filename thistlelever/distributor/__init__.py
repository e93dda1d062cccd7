"""The distributor: a process that holds the whole engine list and sends each front the subset that it needs.

It stands between whoever publishes the list and the fronts, and never takes a query. All decisions are made
by `distribution` and `subsetting`; this package adds the HTTP interface (Tornado), the connections between
distributors and the storage. Fronts never import it."""
