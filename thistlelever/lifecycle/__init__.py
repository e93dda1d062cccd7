"""Start, reload and shutdown of a front, and the optional components that the operator file enables."""
