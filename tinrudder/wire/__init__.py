"""Messages between nodes and the transports that carry them."""
