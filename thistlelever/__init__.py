"""thistlelever: an admission controller for batches on a pool of query engines."""
