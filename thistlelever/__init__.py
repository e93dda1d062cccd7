"""An admission controller for batches on a pool of query engines."""

__version__ = "0.3.0"
