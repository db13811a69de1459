"""Typed resources, their validation, and the configuration that a node accepted."""
