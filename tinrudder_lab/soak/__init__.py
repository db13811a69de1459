"""A randomized soak test: real gateway processes on loopback, with injected faults."""
