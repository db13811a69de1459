"""Typed resources, their validation and their acceptance."""
