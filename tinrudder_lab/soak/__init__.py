"""A randomized soak: real gateway processes on loopback, with faults from outside them."""
