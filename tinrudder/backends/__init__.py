"""Adapter to the back ends: messages, HTTP transport, cancellation."""
