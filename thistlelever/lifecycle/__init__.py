"""Start and stop: configuration, log, the order in which a front comes up and goes down."""
