"""In-memory state of a front: open batches, the connection pool and the engine registry."""
