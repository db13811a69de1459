"""Typed values that all rooms of a gateway pass: configuration, HTTP messages, outcomes."""
