"""Client for a node's back ends: messages, HTTP/1.1 transport, connection pools, cancellation."""
