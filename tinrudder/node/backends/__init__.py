"""Adapter to a node's back ends: messages, HTTP/1.1 transport, pooled connections, cancellation."""
