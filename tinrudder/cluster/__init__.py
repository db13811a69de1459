"""Coordination of many nodes: embeddable, without HTTP and without queries."""
