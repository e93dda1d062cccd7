"""The decisions of a front on dispatching batches."""
