"""Adapter to the read-only configuration and member list of a node, in the stand-in's form."""
